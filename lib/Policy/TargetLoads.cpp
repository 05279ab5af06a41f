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
    for (const RemoteEntry &entry : remote.entries)
        m_remoteSums[entry.target].add(entry.load);
}

void TargetLoads::forgetNode(const NodeId &node)
{
    const auto found = m_remotes.find(node);
    if (found == m_remotes.end())
        return;
    subtract(found->second);
    m_remotes.erase(found);
}

void TargetLoads::subtract(const Remote &remote)
{
    for (const RemoteEntry &entry : remote.entries)
        m_remoteSums[entry.target].subtract(entry.load);
}

void TargetLoads::onZoneSummary(const std::string &zone, TargetRange range,
                                std::span<const RemoteEntry> entries, TimePoint now)
{
    ZoneLoads &loads = m_zones[zone];
    const auto begin = loads.lower_bound(range.first);
    const auto end = loads.upper_bound(range.last);
    for (auto each = begin; each != end; ++each)
        m_remoteSums[each->first].subtract(each->second.load);
    loads.erase(begin, end);
    for (const RemoteEntry &entry : entries) {
        if (entry.target < range.first || entry.target > range.last)
            continue;
        if (loads.insert({entry.target, {entry.load, now}}).second)
            m_remoteSums[entry.target].add(entry.load);
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
    for (auto &[zone, loads] : m_zones) {
        std::erase_if(loads, [&](const auto &entry) {
            const bool isOld = now - entry.second.receivedAt > digestLifetime;
            if (isOld)
                m_remoteSums[entry.first].subtract(entry.second.load);
            return isOld;
        });
    }
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
    load.add(found->second);
    return load;
}

} // namespace berylridge
