// Who belongs to the fleet, as this node knows it from the VM list, from what it hears itself in
// its own availability zone, and from the views that other zones send.
#pragma once

#include "berylridge/Chart/MemberLife.h"
#include "berylridge/Config/Vms.h"
#include "berylridge/Fleet/Messages.h"
#include "berylridge/Support/Endpoint.h"
#include "berylridge/Support/Id.h"
#include "berylridge/Support/LogEvent.h"
#include "berylridge/Support/Time.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace berylridge {

struct Member
{
    NodeId node;
    ZoneId zone;
    Endpoint endpoint;
    Incarnation incarnation = 0; ///< 0 until it was heard or told of.
    MemberState state = MemberState::Unknown;
    TimePoint
        lastMessageAt {}; ///< Last message from it; the start of this node where there was none.
    TimePoint lastHeartbeatAt {}; ///< Last heartbeat to it.
    TimePoint lastProbeAt {};
    Incarnation refusedIncarnation
        = 0;                      ///< The latest run whose port refused this node's own probe.
    std::uint64_t zoneDigest = 0; ///< Of its view of its own zone.
    std::uint64_t counterpartZoneDigest = 0; ///< Of what it holds of this node's zone.
    std::uint64_t documentsDigest = 0;
    std::uint64_t vmListRevision = 0;
    bool isListed = false;
    bool hasDirectContact = false; ///< By this node itself.
};

struct MembershipOptions
{
    NodeId self;
    ZoneId zone;
    Endpoint endpoint;
    Incarnation incarnation = 0;
    Duration heartbeatPeriod {0};
    Duration suspectAfter {0};
};

/// A run of a node that is known to have ended.
struct EndedIncarnation
{
    NodeId node;
    Incarnation incarnation = 0;
};

class Membership
{
public:
    Membership(const MemberLife &chart, MembershipOptions options, TimePoint now);

    void addSeeds(std::span<const VmEntry> seeds);
    /// Returns whether the list was newer than the one in use.
    bool onVmList(const VmList &list, TimePoint now);
    /// Any authenticated message. False when it is from an earlier run of the node and must be
    /// ignored.
    bool onMessageReceived(const NodeId &from, Incarnation incarnation, TimePoint now);
    void onHeartbeat(const NodeId &from, const Heartbeat &heartbeat, TimePoint now);
    void onZoneView(const ZoneView &view, TimePoint now);
    void onGoodbye(const NodeId &from);
    void onProbeEnded(const NodeId &node, Incarnation incarnation, bool isRefused);
    /// After a pause of this process: the silence was its own.
    void onProcessResumed(TimePoint now);
    /// Looks for silent members; returns those to probe now.
    std::vector<Member> tick(TimePoint now);

    /// Members to send a heartbeat now; marks them as sent to.
    std::vector<Member> dueHeartbeats(TimePoint now);
    ZoneView ownZoneView() const;

    const Member *find(const NodeId &node) const;
    const std::map<NodeId, Member> &members() const { return m_members; }
    const VmList &vmList() const { return m_vmList; }
    /// Whether the VM list has a VM of that name among those that leave: a target's, for instance.
    bool isVmLeaving(std::string_view name) const;
    /// Whether the VM list names no node of the zone that may still run. Then other zones' nodes
    /// may own its targets.
    bool isZoneVacant(const ZoneId &zone) const;
    /// All nodes of all zones that may own pools, this one included where it is among them.
    std::vector<NodeId> eligibleOwnersInFleet(TimePoint now) const;
    /// All nodes that are not known to be gone, this one included.
    std::uint32_t nodeCountInFleet() const;

    /// Joining, Live or Leaving: what this node tells others of itself.
    void setSelfState(MemberState state);
    /// Nodes of a zone that may own pools, this one included where it is among them.
    std::vector<NodeId> eligibleOwners(const ZoneId &zone, TimePoint now) const;
    /// Nodes of this zone that are not known to be gone, this one included.
    std::uint32_t nodeCountInZone() const;
    /// Nodes of this zone that hold the same view of it, this one included.
    std::uint32_t agreeingNodeCountInZone(TimePoint now) const;
    std::uint64_t zoneDigest(const ZoneId &zone, TimePoint now) const;

    /// Runs that ended since the last call.
    std::vector<EndedIncarnation> takeEndedIncarnations();
    /// Events since the last call.
    std::vector<LogRecord> takeLogRecords();
    /// Rises with each change of any zone's eligibleOwners nodes or states.
    std::uint64_t changeCount() const { return m_changes; }
    const MemberLife &chart() const { return *m_chart; }

private:
    std::vector<NodeId> nodesInState(const ZoneId &zone, MemberState state, TimePoint now) const;
    Member &member(const NodeId &node);
    unsigned heartbeatSlowdown() const;

    void step(Member &member, MemberSign sign);
    void logMemberEvent(LogEventId id, const Member &member);
    void recordEndedIncarnation(const Member &member);
    const Member *counterpart(const ZoneId &zone) const;
    bool isZoneViewFresh(const ZoneId &zone, TimePoint now) const;

    const MemberLife *m_chart;
    MembershipOptions m_options;
    MemberState m_selfState = MemberState::Joining;
    std::map<NodeId, Member> m_members; ///< Without this node.
    std::map<ZoneId, TimePoint>
        m_zoneLastMessageAt; ///< Other zones: last heartbeat from any of their nodes.
    VmList m_vmList;
    std::set<std::string, std::less<>> m_leavingVms;

    std::vector<EndedIncarnation> m_endedIncarnations;
    std::vector<LogRecord> m_log;
    std::uint64_t m_changes = 1;
    unsigned m_heartbeatSlowdown = 1; ///< By which a large zone's heartbeats are slower.
};

} // namespace berylridge
