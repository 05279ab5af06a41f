#include "berylridge/Policy/PromptDirectory.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <array>
#include <cstring>

namespace berylridge {

namespace {

ChainKey extend(ChainKey before, std::uint64_t part)
{
    std::array<char, sizeof(before) + sizeof(part)> bytes {};
    std::memcpy(bytes.data(), &before, sizeof(before));
    std::memcpy(bytes.data() + sizeof(before), &part, sizeof(part));
    return shortHash({bytes.data(), bytes.size()});
}

} // namespace

PromptChain chainOf(const Prompt &prompt)
{
    PromptChain chain;
    chain.inputTokens = prompt.inputTokens;
    chain.outputTokens = prompt.outputTokens;
    ChainKey key = shortHash(prompt.model);
    for (const PromptPart &part : prompt.parts) {
        key = extend(key, part.id);
        chain.links.push_back({key, part.tokens});
    }
    return chain;
}

void PromptDirectory::onPlaced(ChainKey key, TargetKey target, TimePoint now)
{
    auto &holders = m_holders[key];
    const auto found = std::find_if(holders.begin(), holders.end(),
                                    [&](const Holder &each) { return each.target == target; });
    if (found != holders.end())
        found->usedAt = now;
    else
        holders.push_back({target, now});
}

void PromptDirectory::forgetTarget(TargetKey target)
{
    for (auto &[key, holders] : m_holders)
        std::erase_if(holders, [&](const Holder &each) { return each.target == target; });
}

void PromptDirectory::expire(TimePoint now)
{
    for (auto &[key, holders] : m_holders)
        std::erase_if(holders, [&](const Holder &each) { return now - each.usedAt > keptFor; });
    std::erase_if(m_holders, [](const auto &entry) { return entry.second.empty(); });
}

std::uint32_t PromptDirectory::keptTokens(const PromptChain &chain, TargetKey target) const
{
    std::uint32_t kept = 0;
    for (const PromptChain::Link &link : chain.links) {
        const auto found = m_holders.find(link.key);
        if (found == m_holders.end())
            break;
        const auto &holders = found->second;
        const bool isHeld = std::any_of(holders.begin(), holders.end(), [&](const Holder &each) {
            return each.target == target;
        });
        if (!isHeld)
            break;
        kept += link.tokens;
    }
    return std::min(kept, chain.inputTokens);
}

bool PromptDirectory::isKnown(const PromptChain &chain) const
{
    return !chain.links.empty() && m_holders.contains(chain.links.front().key);
}

} // namespace berylridge
