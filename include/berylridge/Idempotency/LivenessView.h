// What a node knows of the others' lives, as far as rosters need it: who is heard, and who is
// proven to be gone.
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

/// What the membership knows of one node.
struct KeyMember
{
    NodeId node;
    Incarnation incarnation = 0; ///< The latest that was heard; 0 for a listed node never heard.
    bool isAlive = false;        ///< LastMessage lately.
    bool isLeaving = false;      ///< Has begun a planned stop.
    bool isTerminated = false;   ///< Its port refused a connection since it was heard last.
};

/// Three sources joined: the membership, key messages that arrived, and the VM list. A silent node
/// is never taken as gone.
class LivenessView
{
public:
    LivenessView(const NodeRun &self, Duration livenessTimeout);

    /// Later answers are given for this time.
    void setNow(TimePoint now) { m_now = now; }
    /// A key message of the run arrived. Returns whether the run was not heard before.
    bool recordMessage(const NodeRun &run);
    /// Takes the whole view; returns whether anything changed.
    bool setMembers(std::span<const KeyMember> members);
    /// Another node has the proof that the run has terminated.
    void addTerminated(const NodeRun &run);
    /// Ignores a list that isn't newer; returns whether anything changed.
    bool setList(const VmList &list);

    /// Proven: a later run of the node was heard, its port refused, or a VM list newer than the one
    /// that named it leaves it out while it is silent.
    bool isTerminated(const NodeRun &run, std::uint64_t listRevision) const;
    /// The same without the VM list, which other nodes may hold in another state.
    bool isProvenTerminated(const NodeRun &run) const;
    bool isAlive(const NodeRun &run) const;
    /// The run of the node that is heard now; incarnation 0 where none is.
    NodeRun aliveRun(const NodeId &node) const;
    /// A listed node of which no run is heard and whose port did not refuse either.
    bool isUnresponsive(const NodeId &node) const;
    /// All runs that are heard.
    std::vector<NodeRun> aliveRuns() const;
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
    bool isRunAlive(const NodeId &node, Incarnation incarnation) const;
    Duration m_silenceLimit;
    TimePoint m_now;
    std::map<NodeId, KeyMember> m_members;
    std::map<NodeId, LastMessage> m_lastMessages;   ///< By key messages.
    std::map<NodeId, Incarnation> m_terminatedUpTo; ///< All runs up to this one have terminated.
    VmList m_list;
};

} // namespace berylridge
