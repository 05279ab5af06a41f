#include "berylridge/Fleet/Membership.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <set>

namespace berylridge {

namespace {

/// Heartbeat period towards nodes that never sent a message or whose incarnation has ended. They
/// may come back before the VM list shows it.
constexpr Duration absentNodeHeartbeatPeriod = std::chrono::milliseconds(1000);
/// Heartbeat period between zones. It may be longer than within a zone, because a lost owner is
/// detected by its own zone, which sends its new view to other zones at once.
constexpr Duration crossZoneHeartbeatPeriod = std::chrono::milliseconds(500);
/// A zone counts as unreachable if no message from any of its nodes arrived for this long.
constexpr Duration zoneSilenceTimeout = std::chrono::milliseconds(2500);
/// A counterpart in another zone is replaced if it does not respond for this long.
constexpr Duration counterpartTimeout = std::chrono::milliseconds(1500);
/// Number of nodes up to which a zone's heartbeats are sent at the full rate.
constexpr unsigned fullRateZoneNodes = 8;
constexpr Duration probePeriod = std::chrono::milliseconds(500);

/// Returns whether a node in this state has a zone view that may be compared with others' views.
bool hasZoneView(MemberState state)
{
    return state == MemberState::Live || state == MemberState::Leaving;
}

} // namespace

Membership::Membership(const MemberStateMachine &stateMachine, MembershipOptions options,
                       TimePoint now)
    : m_stateMachine(&stateMachine)
    , m_options(std::move(options))
{
    m_zoneLastMessageAt[m_options.zone] = now;
}

void Membership::addSeeds(std::span<const VmEntry> seeds)
{
    for (const VmEntry &seed : seeds) {
        if (seed.node == m_options.self)
            continue;
        Member &entry = member(seed.node);
        entry.zone = seed.zone;
        entry.endpoint = {seed.address, seed.port};
    }
}

bool Membership::onVmList(const VmList &list, TimePoint now)
{
    if (list.revision <= m_vmList.revision)
        return false;
    m_vmList = list;
    m_leavingVms.clear();
    for (const VmEntry &vm : list.vms) {
        if (vm.isLeaving)
            m_leavingVms.insert(vm.node.str());
    }
    std::set<NodeId> listed;
    for (const VmEntry &vm : list.vms) {
        listed.insert(vm.node);
        if (vm.node == m_options.self)
            continue;
        Member &entry = member(vm.node);
        entry.isListed = true;
        // Only heartbeats carry their sender's address. A node that has sent other messages only
        // has no address yet, and nothing could be sent to it.
        if (!entry.hasDirectContact || entry.endpoint.address.empty()) {
            entry.zone = vm.zone;
            entry.endpoint = {vm.address, vm.port};
        }
        if (vm.isLeaving && entry.state == MemberState::Live)
            step(entry, MemberSignal::HeardLeaving);
    }
    for (auto &[node, entry] : m_members) {
        if (listed.contains(node))
            continue;
        entry.isListed = false;
        step(entry, MemberSignal::Unlisted);
    }
    // Removes unlisted nodes that are gone. The delay leaves time for late messages of their
    // incarnations.
    std::erase_if(m_members, [&](const auto &entry) {
        return !entry.second.isListed && entry.second.state == MemberState::Gone
            && now - entry.second.lastMessageAt > std::chrono::minutes(5);
    });
    ++m_changes;
    return true;
}

bool Membership::onMessageReceived(const NodeId &from, Incarnation incarnation, TimePoint now)
{
    if (from == m_options.self)
        return false;
    Member &entry = member(from);
    if (incarnation < entry.incarnation)
        return false;
    if (incarnation > entry.incarnation) {
        const bool hadIncarnation = entry.incarnation != 0;
        if (hadIncarnation)
            recordEndedIncarnation(entry);
        entry.incarnation = incarnation;
        // This also applies if the previous incarnation was known to have ended, because the new
        // one is a different process.
        step(entry, MemberSignal::NewIncarnation);
        logMemberEvent(LogEventId::MemberJoined, entry);
    }
    entry.lastMessageAt = now;
    entry.hasDirectContact = true;
    if (!entry.zone.isEmpty() && entry.zone != m_options.zone)
        m_zoneLastMessageAt[entry.zone] = now;
    return true;
}

void Membership::onHeartbeat(const NodeId &from, const Heartbeat &heartbeat, TimePoint now)
{
    Member &entry = member(from);
    entry.zone = ZoneId(heartbeat.zone);
    if (entry.zone != m_options.zone)
        m_zoneLastMessageAt[entry.zone] = now;
    entry.endpoint = {heartbeat.address, heartbeat.port};
    entry.zoneDigest = heartbeat.zoneDigest;
    entry.counterpartZoneDigest = heartbeat.counterpartZoneDigest;
    entry.documentsDigest = heartbeat.documentsDigest;
    entry.vmListRevision = heartbeat.vmListRevision;
    switch (static_cast<MemberState>(heartbeat.nodeState)) {
    case MemberState::Live:
        step(entry, MemberSignal::HeardReady);
        break;
    case MemberState::Leaving:
        step(entry, MemberSignal::HeardLeaving);
        break;
    default:
        step(entry, MemberSignal::HeardJoining);
        break;
    }
}

void Membership::onZoneView(const ZoneView &view, TimePoint now)
{
    const ZoneId zone(view.zone);
    if (zone == m_options.zone)
        return;
    m_zoneLastMessageAt[zone] = now;
    for (const ZoneMember &reported : view.members) {
        const NodeId node(reported.node);
        if (node == m_options.self)
            continue;
        Member &entry = member(node);
        if (reported.incarnation < entry.incarnation)
            continue;
        entry.zone = zone;
        if (!reported.address.empty())
            entry.endpoint = {reported.address, reported.port};
        if (reported.incarnation > entry.incarnation) {
            if (entry.incarnation != 0)
                recordEndedIncarnation(entry);
            entry.incarnation = reported.incarnation;
        }
        const auto state = static_cast<MemberState>(reported.state);
        if (state == entry.state)
            continue;
        if (state == MemberState::Gone)
            recordEndedIncarnation(entry);
        entry.state = state;
        ++m_changes;
    }
}

void Membership::onGoodbye(const NodeId &from)
{
    step(member(from), MemberSignal::Goodbye);
}

void Membership::onProbeEnded(const NodeId &node, Incarnation incarnation, bool isRefused)
{
    const auto found = m_members.find(node);
    if (found == m_members.end() || !isRefused || found->second.incarnation != incarnation)
        return;
    // If a message arrived while the probe was in flight, a new incarnation may only just have
    // opened its port.
    if (found->second.state != MemberState::Suspect && found->second.state != MemberState::Unknown)
        return;
    found->second.refusedIncarnation = incarnation;
    step(found->second, MemberSignal::ProbeRefused);
}

void Membership::onProcessResumed(TimePoint now)
{
    for (auto &[node, entry] : m_members)
        entry.lastMessageAt = now;
    for (auto &[zone, lastMessageAt] : m_zoneLastMessageAt)
        lastMessageAt = now;
}

std::vector<Member> Membership::tick(TimePoint now)
{
    m_heartbeatSlowdown = heartbeatSlowdown();

    std::vector<Member> probes;
    for (auto &[node, entry] : m_members) {
        // The state of a node in another zone is taken from that zone's own view, as long as the
        // view is fresh.
        const bool isOwnZone = entry.zone == m_options.zone;
        if (isOwnZone
            && (!entry.hasDirectContact
                || now - entry.lastMessageAt <= m_heartbeatSlowdown * m_options.suspectAfter))
            continue;
        if (!isOwnZone && (entry.incarnation == 0 || isZoneViewFresh(entry.zone, now)))
            continue;
        step(entry, MemberSignal::Silence);
        if (entry.state == MemberState::Suspect && !entry.isListed && m_vmList.revision != 0)
            step(entry, MemberSignal::Unlisted);
        if (entry.state != MemberState::Suspect || now - entry.lastProbeAt < probePeriod)
            continue;
        entry.lastProbeAt = now;
        probes.push_back(entry);
    }
    return probes;
}

std::vector<Member> Membership::dueHeartbeats(TimePoint now)
{
    std::vector<Member> due;
    std::set<ZoneId> otherZones;
    for (auto &[node, entry] : m_members) {
        if (entry.zone != m_options.zone) {
            otherZones.insert(entry.zone);
            continue;
        }
        const bool isPresent = entry.hasDirectContact && entry.state != MemberState::Gone;
        const Duration period = isPresent ? m_heartbeatSlowdown * m_options.heartbeatPeriod
                                          : absentNodeHeartbeatPeriod;
        if (now - entry.lastHeartbeatAt < period)
            continue;
        entry.lastHeartbeatAt = now;
        due.push_back(entry);
    }
    for (const ZoneId &zone : otherZones) {
        const Member *chosen = counterpart(zone);
        if (!chosen || now - chosen->lastHeartbeatAt < crossZoneHeartbeatPeriod)
            continue;
        Member &entry = member(chosen->node);
        entry.lastHeartbeatAt = now;
        due.push_back(entry);
    }
    // Nodes of other zones that chose this node as their counterpart need a response. Without it
    // they would consider this node silent and choose another one.
    for (auto &[node, entry] : m_members) {
        const bool needsResponse = entry.zone != m_options.zone && entry.hasDirectContact
            && now - entry.lastMessageAt < 2 * crossZoneHeartbeatPeriod
            && entry.lastHeartbeatAt < entry.lastMessageAt
            && now - entry.lastHeartbeatAt >= crossZoneHeartbeatPeriod;
        if (!needsResponse)
            continue;
        entry.lastHeartbeatAt = now;
        due.push_back(entry);
    }
    return due;
}

ZoneView Membership::ownZoneView() const
{
    ZoneView view;
    view.zone = m_options.zone.str();
    view.members.push_back({m_options.self.str(), m_options.incarnation,
                            static_cast<std::uint8_t>(m_selfState), m_options.endpoint.address,
                            m_options.endpoint.port});
    for (const auto &[node, entry] : m_members) {
        if (entry.zone != m_options.zone || entry.incarnation == 0)
            continue;
        view.members.push_back({node.str(), entry.incarnation,
                                static_cast<std::uint8_t>(entry.state), entry.endpoint.address,
                                entry.endpoint.port});
    }
    return view;
}

const Member *Membership::find(const NodeId &node) const
{
    const auto found = m_members.find(node);
    return found == m_members.end() ? nullptr : &found->second;
}

bool Membership::isVmLeaving(std::string_view name) const
{
    return m_leavingVms.find(name) != m_leavingVms.end();
}

bool Membership::isZoneVacant(const ZoneId &zone) const
{
    if (zone == m_options.zone || m_vmList.revision == 0)
        return false;
    return std::none_of(m_members.begin(), m_members.end(), [&](const auto &entry) {
        return entry.second.zone == zone && entry.second.state != MemberState::Gone;
    });
}

std::vector<NodeId> Membership::eligibleOwnersInFleet(TimePoint now) const
{
    std::set<ZoneId> zones {m_options.zone};
    for (const auto &[node, entry] : m_members)
        zones.insert(entry.zone);
    std::vector<NodeId> nodes;
    for (const ZoneId &zone : zones) {
        const std::vector<NodeId> ofZone = eligibleOwners(zone, now);
        nodes.insert(nodes.end(), ofZone.begin(), ofZone.end());
    }
    return nodes;
}

std::uint32_t Membership::nodeCountInFleet() const
{
    std::uint32_t count = 1;
    for (const auto &[node, entry] : m_members)
        count += entry.state != MemberState::Gone && (entry.isListed || entry.hasDirectContact) ? 1
                                                                                                : 0;
    return count;
}

void Membership::setSelfState(MemberState state)
{
    if (m_selfState == state)
        return;
    m_selfState = state;
    ++m_changes;
}

std::vector<NodeId> Membership::eligibleOwners(const ZoneId &zone, TimePoint now) const
{
    const std::vector<NodeId> live = nodesInState(zone, MemberState::Live, now);
    // If the last nodes of a zone are leaving, they have no successor. They keep owning the zone's
    // pools until they stop, since the requests that still wait there would get no slot otherwise.
    return live.empty() ? nodesInState(zone, MemberState::Leaving, now) : live;
}

std::vector<NodeId> Membership::nodesInState(const ZoneId &zone, MemberState state,
                                             TimePoint now) const
{
    std::vector<NodeId> nodes;
    const bool isOwnZone = zone == m_options.zone;
    if (isOwnZone && m_selfState == state)
        nodes.push_back(m_options.self);
    if (!isOwnZone && !isZoneViewFresh(zone, now))
        return nodes;
    for (const auto &[node, entry] : m_members) {
        if (entry.zone == zone && entry.state == state)
            nodes.push_back(node);
    }
    return nodes;
}

std::uint32_t Membership::nodeCountInZone() const
{
    std::uint32_t count = 1;
    for (const auto &[node, entry] : m_members) {
        const bool counts = entry.zone == m_options.zone && entry.state != MemberState::Gone
            && (entry.isListed || entry.hasDirectContact);
        count += counts ? 1 : 0;
    }
    return count;
}

std::uint32_t Membership::agreeingNodeCountInZone(TimePoint now) const
{
    const std::uint64_t own = zoneDigest(m_options.zone, now);
    std::uint32_t count = 1;
    for (const auto &[node, entry] : m_members) {
        const bool agrees
            = entry.zone == m_options.zone && hasZoneView(entry.state) && entry.zoneDigest == own;
        count += agrees ? 1 : 0;
    }
    return count;
}

std::uint64_t Membership::zoneDigest(const ZoneId &zone, TimePoint now) const
{
    std::vector<NodeId> nodes = eligibleOwners(zone, now);
    std::sort(nodes.begin(), nodes.end());
    std::uint64_t digest = 0;
    for (const NodeId &node : nodes) {
        Incarnation incarnation = m_options.incarnation;
        if (node != m_options.self)
            incarnation = m_members.at(node).incarnation;
        digest = hash64(node.str(), digest ^ incarnation);
    }
    return digest;
}

std::vector<EndedIncarnation> Membership::takeEndedIncarnations()
{
    return std::exchange(m_endedIncarnations, {});
}

std::vector<LogRecord> Membership::takeLogRecords()
{
    return std::exchange(m_log, {});
}

Member &Membership::member(const NodeId &node)
{
    auto [entry, isNew] = m_members.try_emplace(node);
    if (isNew)
        entry->second.node = node;
    return entry->second;
}

/// Returns the factor by which the heartbeat period in this zone is longer. All nodes of a zone
/// send heartbeats to each other, so the cost per node would grow with the zone. In a zone of more
/// than fullRateZoneNodes nodes the period grows instead, and silence is detected later by the same
/// factor.
unsigned Membership::heartbeatSlowdown() const
{
    return std::max(1U, (nodeCountInZone() + fullRateZoneNodes - 1) / fullRateZoneNodes);
}

void Membership::step(Member &member, MemberSignal signal)
{
    const MemberState before = member.state;
    if (!m_stateMachine->step(member.state, signal))
        return;
    ++m_changes;
    switch (member.state) {
    case MemberState::Suspect:
        logMemberEvent(LogEventId::MemberSuspect, member);
        break;
    case MemberState::Gone:
        logMemberEvent(LogEventId::MemberGone, member);
        recordEndedIncarnation(member);
        break;
    case MemberState::Live:
        if (before == MemberState::Suspect)
            logMemberEvent(LogEventId::MemberReturned, member);
        break;
    default:
        break;
    }
}

void Membership::logMemberEvent(LogEventId id, const Member &member)
{
    m_log.push_back({id,
                     member.node.str() + " zone " + member.zone.str() + " incarnation "
                         + std::to_string(member.incarnation)});
}

void Membership::recordEndedIncarnation(const Member &member)
{
    if (member.incarnation != 0)
        m_endedIncarnations.push_back({member.node, member.incarnation});
}

/// Returns the node of another zone with which this node exchanges heartbeats; null if there is
/// none.
const Member *Membership::counterpart(const ZoneId &zone) const
{
    const Member *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const auto &[node, entry] : m_members) {
        if (entry.zone != zone || entry.state == MemberState::Gone)
            continue;
        // A node that did not respond to heartbeats ranks below all others for as long as it is
        // silent.
        const bool isSilent = entry.lastHeartbeatAt > entry.lastMessageAt + counterpartTimeout;
        std::uint64_t weight = rendezvousWeight(m_options.self.str(), node.str()) >> 1;
        if (!isSilent)
            weight |= std::uint64_t {1} << 63;
        if (!best || weight > bestWeight) {
            best = &entry;
            bestWeight = weight;
        }
    }
    return best;
}

bool Membership::isZoneViewFresh(const ZoneId &zone, TimePoint now) const
{
    const auto found = m_zoneLastMessageAt.find(zone);
    return found != m_zoneLastMessageAt.end() && now - found->second <= zoneSilenceTimeout;
}

} // namespace berylridge
