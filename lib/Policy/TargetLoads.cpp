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
    eraseNotices([&](TargetKey /*target*/, const Noticed &each) { return each.node == node; });
}

void TargetLoads::forgetNode(const NodeId &node)
{
    eraseNotices([&](TargetKey /*target*/, const Noticed &each) { return each.node == node; });
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
    eraseNotices([&](TargetKey target, const Noticed &each) {
        return each.zone == zone && target >= range.first && target <= range.last;
    });
}

TargetLoad TargetLoads::Noticed::loadAt(TimePoint now) const
{
    if (now >= endsAt)
        return {};
    if (endsAt - now >= busy)
        return {1, tokens};
    const double left = toSeconds(endsAt - now) / toSeconds(busy);
    return {1, static_cast<std::uint64_t>(left * tokens)};
}

void TargetLoads::onNotice(const NodeId &node, const Notice &notice, TimePoint now)
{
    addNotice(notice, {node, {}, notice.tokens, notice.busy, {}}, now);
}

void TargetLoads::onZoneNotice(const std::string &zone, const Notice &notice, TimePoint now)
{
    addNotice(notice, {{}, zone, notice.tokens, notice.busy, {}}, now);
}

void TargetLoads::addNotice(const Notice &notice, Noticed noticed, TimePoint now)
{
    noticed.endsAt = now + std::min(notice.wait + notice.busy, digestLifetime);
    m_noticed[notice.target].push_back(std::move(noticed));
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
    eraseNotices([&](TargetKey /*target*/, const Noticed &each) { return each.endsAt <= now; });
    std::erase_if(m_noticed, [](const auto &entry) { return entry.second.empty(); });
}

TargetLoad TargetLoads::own(TargetKey target) const
{
    const auto found = m_own.find(target);
    return found == m_own.end() ? TargetLoad {} : found->second;
}

TargetLoad TargetLoads::total(TargetKey target, TimePoint now) const
{
    TargetLoad load = own(target);
    if (const auto found = m_remoteSums.find(target); found != m_remoteSums.end())
        load.add(found->second);
    const auto noticed = m_noticed.find(target);
    if (noticed == m_noticed.end())
        return load;
    for (const Noticed &each : noticed->second)
        load.add(each.loadAt(now));
    return load;
}

} // namespace berylridge
