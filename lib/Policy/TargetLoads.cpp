#include "berylridge/Policy/TargetLoads.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace berylridge {

void TargetLoads::begin(TargetKey target, std::uint32_t tokens)
{
    TargetLoad &load = m_own[target];
    ++load.running;
    load.tokens += tokens;
}

void TargetLoads::onPromptRead(TargetKey target, std::uint32_t tokens)
{
    TargetLoad &load = m_own[target];
    assert(load.tokens >= tokens && "more tokens read than were begun");
    load.tokens -= tokens;
}

void TargetLoads::end(TargetKey target)
{
    const auto found = m_own.find(target);
    assert(found != m_own.end() && found->second.running > 0
           && "a request ended that was not begun");
    if (--found->second.running == 0)
        m_own.erase(found);
}

void TargetLoads::onDigest(const NodeId &node, std::vector<RemoteEntry> entries, TimePoint now)
{
    Remote &remote = m_remotes[node];
    subtract(remote);
    remote.entries = std::move(entries);
    remote.digestReceivedAt = now;
    for (const RemoteEntry &entry : remote.entries) {
        TargetLoad &sum = m_remoteSums[entry.target];
        sum.running += entry.load.running;
        sum.tokens += entry.load.tokens;
    }
}

void TargetLoads::subtract(const Remote &remote)
{
    for (const RemoteEntry &entry : remote.entries) {
        TargetLoad &sum = m_remoteSums[entry.target];
        sum.running -= entry.load.running;
        sum.tokens -= entry.load.tokens;
    }
}

void TargetLoads::expire(TimePoint now)
{
    std::erase_if(m_remotes, [&](const auto &entry) {
        const bool isOld = now - entry.second.digestReceivedAt > digestLifetime;
        if (isOld)
            subtract(entry.second);
        return isOld;
    });
}

TargetLoad TargetLoads::own(TargetKey target) const
{
    const auto found = m_own.find(target);
    return found == m_own.end() ? TargetLoad {} : found->second;
}

TargetLoad TargetLoads::total(TargetKey target) const
{
    TargetLoad load = own(target);
    const auto found = m_remoteSums.find(target);
    if (found == m_remoteSums.end())
        return load;
    load.running += found->second.running;
    load.tokens += found->second.tokens;
    return load;
}

} // namespace berylridge
