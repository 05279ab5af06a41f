#include "berylridge/Policy/PromptDirectory.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <array>
#include <cstring>

namespace berylridge {

namespace {

/// Part of a target's memory that unused parts outlive: the rest is in use by running requests, and
/// other parts that are used again count as new here.
constexpr double keptPart = 0.7;

ChainKey extend(ChainKey before, std::uint64_t part)
{
    std::array<char, sizeof(before) + sizeof(part)> bytes {};
    std::memcpy(bytes.data(), &before, sizeof(before));
    std::memcpy(bytes.data() + sizeof(before), &part, sizeof(part));
    return hash32({bytes.data(), bytes.size()});
}

} // namespace

PromptChain chainOf(const Prompt &prompt)
{
    PromptChain chain;
    chain.inputTokens = prompt.inputTokens;
    chain.outputTokens = prompt.outputTokens;
    ChainKey key = hash32(prompt.model);
    for (const PromptPart &part : prompt.parts) {
        key = extend(key, part.id);
        chain.links.push_back({key, part.tokens});
    }
    return chain;
}

std::size_t sharedLinks(const PromptChain &chain)
{
    return chain.links.empty() ? 0 : std::max<std::size_t>(chain.links.size() - 1, 1);
}

void PromptDirectory::onPlaced(ChainKey key, TargetKey target, TimePoint now)
{
    Part &part = m_parts[key];
    part.uses.add(1, now);
    const auto found = std::find_if(part.holders.begin(), part.holders.end(),
                                    [&](const Holder &each) { return each.target == target; });
    const std::uint64_t entered = m_memories[target].entered;
    if (found != part.holders.end())
        *found = {target, now, entered};
    else
        part.holders.push_back({target, now, entered});
}

void PromptDirectory::onRead(TargetKey target, std::uint64_t tokens, TimePoint now)
{
    Memory &memory = m_memories[target];
    memory.entered += tokens;
    memory.enteredPerSecond.add(static_cast<double>(tokens), now);
}

void PromptDirectory::forgetTarget(TargetKey target)
{
    for (auto &[key, part] : m_parts)
        std::erase_if(part.holders, [&](const Holder &each) { return each.target == target; });
}

void PromptDirectory::expire(TimePoint now)
{
    for (auto &[key, part] : m_parts)
        std::erase_if(part.holders,
                      [&](const Holder &each) { return now - each.usedAt > keptFor; });
    std::erase_if(m_parts, [](const auto &entry) { return entry.second.holders.empty(); });
}

std::uint32_t PromptDirectory::keptTokens(const PromptChain &chain, TargetKey target) const
{
    std::uint32_t kept = 0;
    for (const PromptChain::Link &link : chain.links) {
        const auto found = m_parts.find(link.key);
        if (found == m_parts.end())
            break;
        const auto &holders = found->second.holders;
        const bool isHeld = std::any_of(holders.begin(), holders.end(), [&](const Holder &each) {
            return each.target == target && isKept(each);
        });
        if (!isHeld)
            break;
        kept += link.tokens;
    }
    return std::min(kept, chain.inputTokens);
}

bool PromptDirectory::isKept(const Holder &holder) const
{
    const auto found = m_memories.find(holder.target);
    if (found == m_memories.end() || found->second.capacity == 0)
        return true;
    const Memory &memory = found->second;
    const auto since = static_cast<double>(memory.entered - holder.enteredAtUse);
    return since < keptPart * static_cast<double>(memory.capacity);
}

std::vector<SharedPart> PromptDirectory::sharedParts(const PromptChain &chain, TimePoint now) const
{
    std::vector<SharedPart> parts;
    for (std::size_t i = 0; i < sharedLinks(chain); ++i) {
        SharedPart &part = parts.emplace_back();
        part.tokens = chain.links[i].tokens;
        const auto found = m_parts.find(chain.links[i].key);
        if (found == m_parts.end())
            continue;
        part.usesPerSecond = found->second.uses.at(now);
        const auto &holders = found->second.holders;
        part.holders = static_cast<std::size_t>(std::count_if(
            holders.begin(), holders.end(), [this](const Holder &each) { return isKept(each); }));
    }
    return parts;
}

double PromptDirectory::keptSeconds(TargetKey target, TimePoint now) const
{
    const auto found = m_memories.find(target);
    if (found == m_memories.end() || found->second.capacity == 0)
        return toSeconds(keptFor);
    const Memory &memory = found->second;
    const double room = keptPart * static_cast<double>(memory.capacity);
    const double rate = std::max(1.0, memory.enteredPerSecond.at(now));
    return std::min(room / rate, toSeconds(keptFor));
}

} // namespace berylridge
