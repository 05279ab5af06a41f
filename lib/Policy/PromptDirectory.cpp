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
    const std::uint64_t entered = m_memories[target].entered;
    if (found != holders.end())
        *found = {target, now, entered};
    else
        holders.push_back({target, now, entered});
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

std::size_t PromptDirectory::holders(const PromptChain &chain) const
{
    if (chain.links.empty())
        return 0;
    const auto found = m_holders.find(chain.links.front().key);
    if (found == m_holders.end())
        return 0;
    const auto kept = std::count_if(found->second.begin(), found->second.end(),
                                    [this](const Holder &each) { return isKept(each); });
    return static_cast<std::size_t>(kept);
}

} // namespace berylridge
