// Fleet membership as this node sees it. It combines the VM list, the messages that this node
// receives in its own availability zone, and the zone views that other zones send.
#pragma once

#include "berylridge/Chart/MemberStateMachine.h"
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
    Incarnation incarnation = 0; ///< 0 while no node has reported one.
    MemberState state = MemberState::Unknown;
    /// When its last message arrived; the start of this node if none has arrived.
    TimePoint lastMessageAt {};
    TimePoint lastHeartbeatAt {}; ///< When this node last sent it a heartbeat.
    TimePoint lastProbeAt {};
    /// Latest incarnation whose port refused this node's own probe.
    Incarnation refusedIncarnation = 0;
    std::uint64_t zoneDigest = 0;            ///< Hash of the member's view of its own zone.
    std::uint64_t counterpartZoneDigest = 0; ///< Hash of the member's view of this node's zone.
    std::uint64_t documentsDigest = 0;
    std::uint64_t vmListRevision = 0;
    bool isListed = false;
    bool hasDirectContact = false; ///< Whether this node itself has received messages from it.
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

/// An incarnation of a node that is known to have ended.
struct EndedIncarnation
{
    NodeId node;
    Incarnation incarnation = 0;
};

class Membership
{
public:
    Membership(const MemberStateMachine &stateMachine, MembershipOptions options, TimePoint now);

    void addSeeds(std::span<const VmEntry> seeds);
    /// Returns whether the list was newer than the one in use.
    bool onVmList(const VmList &list, TimePoint now);
    /// Records any authenticated message. Returns false if the message comes from an earlier
    /// incarnation of the node and must be ignored.
    bool onMessageReceived(const NodeId &from, Incarnation incarnation, TimePoint now);
    void onHeartbeat(const NodeId &from, const Heartbeat &heartbeat, TimePoint now);
    void onZoneView(const ZoneView &view, TimePoint now);
    void onGoodbye(const NodeId &from);
    void onProbeEnded(const NodeId &node, Incarnation incarnation, bool isRefused);
    /// Restarts all silence timeouts after a pause of this process, during which it received
    /// nothing.
    void onProcessResumed(TimePoint now);
    /// Updates the states of silent members and returns the members to probe now.
    std::vector<Member> tick(TimePoint now);

    /// Returns the members that are due a heartbeat now and records it as sent.
    std::vector<Member> dueHeartbeats(TimePoint now);
    ZoneView ownZoneView() const;

    const Member *find(const NodeId &node) const;
    const std::map<NodeId, Member> &members() const { return m_members; }
    const VmList &vmList() const { return m_vmList; }
    /// Returns whether the VM list marks a VM of that name, such as a target's VM, as leaving.
    bool isVmLeaving(std::string_view name) const;
    /// Returns whether all known nodes of another zone are gone, so that nodes of other zones may
    /// own its targets. Always false for this node's own zone and before the first VM list.
    bool isZoneVacant(const ZoneId &zone) const;
    /// Returns the nodes of all zones that may own pools, including this one if it is eligible.
    std::vector<NodeId> eligibleOwnersInFleet(TimePoint now) const;
    /// Returns the number of nodes that are not known to be gone, including this one.
    std::uint32_t nodeCountInFleet() const;

    /// Sets the state that this node reports to others: Joining, Live or Leaving.
    void setSelfState(MemberState state);
    /// Returns the nodes of a zone that may own pools, including this one if it is eligible.
    std::vector<NodeId> eligibleOwners(const ZoneId &zone, TimePoint now) const;
    /// Returns the number of nodes of this zone that are not known to be gone, including this one.
    std::uint32_t nodeCountInZone() const;
    /// Returns the number of nodes of this zone whose view of it equals this node's, including this
    /// one.
    std::uint32_t agreeingNodeCountInZone(TimePoint now) const;
    std::uint64_t zoneDigest(const ZoneId &zone, TimePoint now) const;

    /// Returns the incarnations that ended since the last call.
    std::vector<EndedIncarnation> takeEndedIncarnations();
    /// Returns the events since the last call.
    std::vector<LogRecord> takeLogRecords();
    /// Returns a counter that rises with each change of a member's state or of a zone's eligible
    /// owners.
    std::uint64_t changeCount() const { return m_changes; }
    const MemberStateMachine &stateMachine() const { return *m_stateMachine; }

private:
    std::vector<NodeId> nodesInState(const ZoneId &zone, MemberState state, TimePoint now) const;
    Member &member(const NodeId &node);
    unsigned heartbeatSlowdown() const;

    void step(Member &member, MemberSignal signal);
    void logMemberEvent(LogEventId id, const Member &member);
    void recordEndedIncarnation(const Member &member);
    const Member *counterpart(const ZoneId &zone) const;
    bool isZoneViewFresh(const ZoneId &zone, TimePoint now) const;

    const MemberStateMachine *m_stateMachine;
    MembershipOptions m_options;
    MemberState m_selfState = MemberState::Joining;
    std::map<NodeId, Member> m_members; ///< Excludes this node.
    /// For each other zone, when the last message from any of its nodes arrived.
    std::map<ZoneId, TimePoint> m_zoneLastMessageAt;
    VmList m_vmList;
    std::set<std::string, std::less<>> m_leavingVms;

    std::vector<EndedIncarnation> m_endedIncarnations;
    std::vector<LogRecord> m_log;
    std::uint64_t m_changes = 1;
    /// Factor by which heartbeat periods and timeouts in a large zone are longer.
    unsigned m_heartbeatSlowdown = 1;
};

} // namespace berylridge
