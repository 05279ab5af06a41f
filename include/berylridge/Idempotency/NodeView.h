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
    bool isHeard = false;        ///< Heard lately.
    bool isLeaving = false;      ///< Has begun a planned stop.
    bool isGone = false;         ///< Its port refused a connection since it was heard last.
};

/// Three sources joined: the membership, key messages that arrived, and the VM list. A silent node
/// is never taken as gone.
class NodeView
{
public:
    NodeView(const NodeRun &self, Duration silenceLimit);

    /// Later answers are given for this time.
    void setNow(TimePoint now) { m_now = now; }
    /// A key message of the run arrived. Returns whether the run was not heard before.
    bool hear(const NodeRun &run);
    /// Takes the whole view; returns whether anything changed.
    bool setMembers(std::span<const KeyMember> members);
    /// Another node has the proof that the run has ended.
    void addEnded(const NodeRun &run);
    /// Ignores a list that isn't newer; returns whether anything changed.
    bool setList(const VmList &list);

    /// Proven: a later run of the node was heard, its port refused, or a VM list newer than the one
    /// that named it leaves it out while it is silent.
    bool isGone(const NodeRun &run, std::uint64_t listRevision) const;
    /// The same without the VM list, which other nodes may hold in another state.
    bool isProvenGone(const NodeRun &run) const;
    bool isHeard(const NodeRun &run) const;
    /// The run of the node that is heard now; incarnation 0 where none is.
    NodeRun heardRun(const NodeId &node) const;
    /// A listed node of which no run is heard and whose port did not refuse either.
    bool isSilent(const NodeId &node) const;
    /// All runs that are heard.
    std::vector<NodeRun> heardRuns() const;
    bool isLeaving(const NodeId &node) const;

    const VmList &list() const { return m_list; }
    const VmEntry *listed(const NodeId &node) const;

    std::string describe() const;

private:
    struct Heard
    {
        Incarnation incarnation = 0;
        TimePoint at;
    };

    Incarnation latestRun(const NodeId &node) const;
    bool isHeardNow(const NodeId &node, Incarnation incarnation) const;
    Duration m_silenceLimit;
    TimePoint m_now;
    std::map<NodeId, KeyMember> m_members;
    std::map<NodeId, Heard> m_heard;          ///< By key messages.
    std::map<NodeId, Incarnation> m_goneUpTo; ///< All runs up to this one have ended.
    VmList m_list;
};

} // namespace berylridge
