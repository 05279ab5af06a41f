#include "berylridge/Policy/PromptCacheDirectory.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <array>
#include <cstring>

namespace berylridge {

namespace {

/// Fraction of a target's cache that is available to unused parts: the rest is in use by running
/// requests, and parts that are used again are counted as new ones here.
constexpr double usableCacheFraction = 0.7;

PrefixKey extendKey(PrefixKey before, std::uint64_t part)
{
    std::array<char, sizeof(before) + sizeof(part)> bytes {};
    std::memcpy(bytes.data(), &before, sizeof(before));
    std::memcpy(bytes.data() + sizeof(before), &part, sizeof(part));
    return hash32({bytes.data(), bytes.size()});
}

} // namespace

PrefixChain prefixChainOf(const Prompt &prompt)
{
    PrefixChain chain;
    chain.inputTokens = prompt.inputTokens;
    chain.outputTokens = prompt.outputTokens;
    PrefixKey key = hash32(prompt.model);
    for (const PromptPart &part : prompt.parts) {
        key = extendKey(key, part.id);
        chain.links.push_back({key, part.tokens});
    }
    return chain;
}

std::vector<std::uint64_t> sharedPartIds(const Prompt &prompt)
{
    std::vector<std::uint64_t> ids;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
        ids.push_back(prompt.parts[i].id);
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    return ids;
}

std::size_t sharedLinkCount(const PrefixChain &chain)
{
    return chain.links.empty() ? 0 : std::max<std::size_t>(chain.links.size() - 1, 1);
}

void PromptCacheDirectory::onPromptSent(PrefixKey key, TargetKey target, TimePoint now)
{
    Part &part = m_parts[key];
    part.uses.add(1, now);
    refreshCopy(part, target, now);
}

void PromptCacheDirectory::onCopyStarted(PrefixKey key, TargetKey target, TimePoint now)
{
    refreshCopy(m_parts[key], target, now);
}

void PromptCacheDirectory::refreshCopy(Part &part, TargetKey target, TimePoint now)
{
    const auto found = std::find_if(part.copies.begin(), part.copies.end(),
                                    [&](const Copy &each) { return each.target == target; });
    const std::uint64_t tokensWritten = m_caches[target].tokensWritten;
    if (found != part.copies.end())
        *found = {target, now, tokensWritten};
    else
        part.copies.push_back({target, now, tokensWritten});
}

void PromptCacheDirectory::onTokensWritten(TargetKey target, std::uint64_t tokens, TimePoint now)
{
    TargetCache &cache = m_caches[target];
    cache.tokensWritten += tokens;
    cache.tokensWrittenPerSecond.add(static_cast<double>(tokens), now);
}

void PromptCacheDirectory::forgetTarget(TargetKey target)
{
    for (auto &[key, part] : m_parts)
        std::erase_if(part.copies, [&](const Copy &each) { return each.target == target; });
}

void PromptCacheDirectory::expire(TimePoint now)
{
    for (auto &[key, part] : m_parts)
        std::erase_if(part.copies,
                      [&](const Copy &each) { return now - each.usedAt > maxCacheLifetime; });
    std::erase_if(m_parts, [](const auto &entry) { return entry.second.copies.empty(); });
}

std::uint32_t PromptCacheDirectory::cachedTokens(const PrefixChain &chain, TargetKey target) const
{
    std::uint32_t cached = 0;
    for (const PrefixChain::Link &link : chain.links) {
        const auto found = m_parts.find(link.key);
        if (found == m_parts.end())
            break;
        const auto &copies = found->second.copies;
        const bool isHeld = std::any_of(copies.begin(), copies.end(), [&](const Copy &each) {
            return each.target == target && isCached(each);
        });
        if (!isHeld)
            break;
        cached += link.tokens;
    }
    return std::min(cached, chain.inputTokens);
}

bool PromptCacheDirectory::isCached(const Copy &copy) const
{
    const auto found = m_caches.find(copy.target);
    if (found == m_caches.end() || found->second.capacity == 0)
        return true;
    const TargetCache &cache = found->second;
    const auto since = static_cast<double>(cache.tokensWritten - copy.tokensWrittenAtUse);
    return since < usableCacheFraction * static_cast<double>(cache.capacity);
}

std::vector<SharedPart> PromptCacheDirectory::sharedParts(const PrefixChain &chain,
                                                          TimePoint now) const
{
    std::vector<SharedPart> parts;
    for (std::size_t i = 0; i < sharedLinkCount(chain); ++i) {
        SharedPart &part = parts.emplace_back();
        part.tokens = chain.links[i].tokens;
        const auto found = m_parts.find(chain.links[i].key);
        if (found == m_parts.end())
            continue;
        part.usesPerSecond = found->second.uses.at(now);
        const auto &copies = found->second.copies;
        part.copies = static_cast<std::size_t>(std::count_if(
            copies.begin(), copies.end(), [this](const Copy &each) { return isCached(each); }));
    }
    return parts;
}

double PromptCacheDirectory::cacheLifetimeSeconds(TargetKey target, TimePoint now) const
{
    const auto found = m_caches.find(target);
    if (found == m_caches.end() || found->second.capacity == 0)
        return toSeconds(maxCacheLifetime);
    const TargetCache &cache = found->second;
    const double room = usableCacheFraction * static_cast<double>(cache.capacity);
    const double rate = std::max(1.0, cache.tokensWrittenPerSecond.at(now));
    return std::min(room / rate, toSeconds(maxCacheLifetime));
}

} // namespace berylridge
