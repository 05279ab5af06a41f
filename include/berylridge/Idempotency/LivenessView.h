// Tracks, as far as rosters need it, which incarnations of other nodes are alive and which are
// proven to have terminated.
#pragma once

#include "berylridge/Config/Vms.h"
#include "berylridge/Idempotency/Roster.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace berylridge {

/// The state of one node according to the membership.
struct KeyMember
{
    NodeId node;
    /// The latest known incarnation; 0 for a listed node that has never sent a message.
    Incarnation incarnation = 0;
    bool isAlive = false;   ///< A message from the node arrived recently.
    bool isLeaving = false; ///< The node has begun a planned stop.
    /// The node's port has refused a connection since its last message.
    bool isTerminated = false;
};

/// Combines three sources: the membership, key messages that arrived, and the VM list. Missing
/// messages alone never count as termination.
class LivenessView
{
public:
    LivenessView(const NodeIncarnation &self, Duration livenessTimeout);

    /// Sets the time that the queries below refer to.
    void setNow(TimePoint now) { m_now = now; }
    /// Records that a key message from the incarnation arrived. Returns whether the incarnation was
    /// not alive before.
    bool recordMessage(const NodeIncarnation &nodeIncarnation);
    /// Replaces the membership's view. Returns whether anything changed.
    bool setMembers(std::span<const KeyMember> members);
    /// Records that another node has proof that the incarnation has terminated.
    void addTerminated(const NodeIncarnation &nodeIncarnation);
    /// Ignores a list that is not newer. Returns whether anything changed.
    bool setList(const VmList &list);

    /// Returns whether the incarnation has terminated: a later incarnation of the node has sent a
    /// message, its port has refused a connection, or no message arrives from it and a VM list
    /// newer than the given revision omits it.
    bool isTerminated(const NodeIncarnation &nodeIncarnation, std::uint64_t listRevision) const;
    /// Like isTerminated(), but ignores the VM list, of which other nodes may hold another
    /// revision.
    bool isProvenTerminated(const NodeIncarnation &nodeIncarnation) const;
    bool isAlive(const NodeIncarnation &nodeIncarnation) const;
    /// Returns the node's incarnation that is alive now; its number is 0 if there is none.
    NodeIncarnation aliveIncarnation(const NodeId &node) const;
    /// Returns whether a listed node has no incarnation that is alive and no proof of its
    /// termination.
    bool isUnresponsive(const NodeId &node) const;
    /// Returns all incarnations that are alive.
    std::vector<NodeIncarnation> aliveIncarnations() const;
    bool isLeaving(const NodeId &node) const;

    const VmList &list() const { return m_list; }
    const VmEntry *listed(const NodeId &node) const;

    std::string describe() const;

private:
    struct LastMessage
    {
        Incarnation incarnation = 0;
        TimePoint at;
    };

    Incarnation latestIncarnation(const NodeId &node) const;
    bool isIncarnationAlive(const NodeId &node, Incarnation incarnation) const;
    Duration m_livenessTimeout;
    TimePoint m_now;
    std::map<NodeId, KeyMember> m_members;
    std::map<NodeId, LastMessage> m_lastMessages; ///< The last key message of each node.
    /// For each node, the last incarnation that is known to have terminated; all earlier ones have
    /// too.
    std::map<NodeId, Incarnation> m_terminatedUpTo;
    VmList m_list;
};

} // namespace berylridge
