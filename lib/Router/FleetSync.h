// Declares the fleet duties of this node: heartbeats, distribution of documents and of the VM list,
// the reader role at the platform, and the node's own state from joining to a planned stop.
#pragma once

#include "CoreContext.h"

#include "berylridge/Router/Status.h"

#include <map>
#include <string>

namespace berylridge {

class FleetSync
{
public:
    explicit FleetSync(CoreContext &context);

    /// Lists what changed since the last call of takeChanges(). Other parts apply these changes.
    struct Changes
    {
        bool documents = false;
        bool vmList = false;
        bool members = false;
    };
    Changes takeChanges();

    void onHeartbeat(const NodeId &from, const Heartbeat &message);
    void onZoneView(const ZoneView &message);
    void onDocumentsRequest(const NodeId &from, const DocumentsRequest &message);
    void onDocumentsReply(const DocumentsReply &message, const NodeId &from);
    void onVmListMessage(const VmListMessage &message);
    void onGoodbye(const NodeId &from);
    void onProbeEnded(const ProbeEnded &event);

    void onDocument(const DocumentText &document, const std::string &who);
    void onVmList(const VmList &list);
    void onPlatformReachability(bool isReachable);
    void onLeave(const std::string &who);
    void onReturn(const std::string &who);
    void onProcessResumed();

    /// Runs the periodic work. `acceptsNewKeys` states whether callers' idempotency keys find
    /// witnesses.
    void tick(bool acceptsNewKeys);
    /// Completes a planned stop once no request is left or stopLimit has passed.
    void checkStop(std::size_t requests, TimePoint lastArrival);

    /// Sends heartbeats to all partners immediately, after a change that they should learn of, such
    /// as a new document.
    void announce();

    NodeState state() const { return m_state; }
    bool isJoining() const { return m_state == NodeState::Joining; }
    void fillStatus(NodeStatus &status) const;

private:
    void step(NodeSignal signal);
    void stop(NodeSignal signal);
    MemberState memberState() const;
    void checkReady();

    void chooseReaders();
    void sendHeartbeat(const Member &member);
    void pushZoneView();
    void requestDocuments(const NodeId &from);

    CoreContext &m_context;
    NodeState m_state;
    Changes m_changes;
    TimePoint m_startedAt;
    TimePoint m_leavingSince {};
    TimePoint m_resumedAt {}; ///< End of the last pause of this process.

    std::uint64_t m_sequence = 0;
    std::uint64_t m_handledMemberChanges = 0;
    std::uint64_t m_pushedDigest = 0;
    bool m_isReader = false;
    bool m_isPlatformReachable = true;
    bool m_acceptsNewKeys = false;
    bool m_isSynchronised = false; ///< Documents were compared with those of a ready node.
    std::map<NodeId, TimePoint> m_requestedAt; ///< Time of the last DocumentsRequest per node.
};

} // namespace berylridge
