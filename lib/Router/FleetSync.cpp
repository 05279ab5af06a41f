#include "FleetSync.h"

#include "berylridge/Policy/Pool.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>

namespace berylridge {

namespace {

/// Nodes per zone that watch the platform. With two, one may fail without a gap.
constexpr std::size_t readersPerZone = 2;
constexpr Duration minDocumentsRequestInterval = std::chrono::milliseconds(200);
/// Maximum document text in one reply, in bytes. The receiver requests the rest again.
constexpr std::size_t maxReplyBytes = 512 << 10;
/// Time that the load balancer needs after the start of a planned stop to see that this node is not
/// ready.
constexpr Duration balancerNoticeDelay = std::chrono::seconds(2);
/// Time without a new request after which the load balancer is assumed to have stopped sending.
constexpr Duration quietPeriod = std::chrono::seconds(1);
/// Part of stopLimit in which requests are taken whatever their time limits, because the load
/// balancer still sends some and nearly all end long before their limits.
constexpr int longRequestsDivisor = 3;

} // namespace

FleetSync::FleetSync(CoreContext &context)
    : m_context(context)
    , m_state(context.stateMachines.node.initial())
    , m_startedAt(context.now)
{
}

FleetSync::Changes FleetSync::takeChanges()
{
    const std::uint64_t count = m_context.membership.changeCount();
    m_changes.members = count != m_handledMemberChanges;
    m_handledMemberChanges = count;
    return std::exchange(m_changes, {});
}

void FleetSync::onHeartbeat(const NodeId &from, const Heartbeat &message)
{
    Membership &membership = m_context.membership;
    membership.onHeartbeat(from, message, m_context.now);
    const bool hasOtherDocuments
        = message.documentsDigest != m_context.documents.digest() && message.documentsDigest != 0;
    const bool hasNewerVmList = message.vmListRevision > membership.vmList().revision;
    if (hasOtherDocuments || hasNewerVmList)
        requestDocuments(from);
    else if (static_cast<MemberState>(message.nodeState) == MemberState::Live)
        m_isSynchronised = true;
    const bool isOtherZone = ZoneId(message.zone) != m_context.options.zone;
    const std::uint64_t digest
        = hash64("view", membership.zoneDigest(m_context.options.zone, m_context.now));
    if (isOtherZone && message.counterpartZoneDigest != digest)
        m_context.send(from, FleetMessage(membership.ownZoneView()));
}

void FleetSync::onZoneView(const ZoneView &message)
{
    m_context.membership.onZoneView(message, m_context.now);
}

void FleetSync::requestDocuments(const NodeId &from)
{
    TimePoint &at = m_requestedAt[from];
    if (at != TimePoint {} && m_context.now - at < minDocumentsRequestInterval)
        return;
    at = m_context.now;
    DocumentsRequest request;
    for (const auto &[name, document] : m_context.documents.texts())
        request.have.push_back({name, document.version});
    request.vmListRevision = m_context.membership.vmList().revision;
    m_context.send(from, FleetMessage(std::move(request)));
}

void FleetSync::onDocumentsRequest(const NodeId &from, const DocumentsRequest &message)
{
    DocumentsReply reply;
    std::size_t bytes = 0;
    for (const auto &entry : m_context.documents.texts()) {
        const DocumentText &document = entry.second;
        const auto known = std::find_if(
            message.have.begin(), message.have.end(),
            [&](const DocumentVersionEntry &head) { return head.name == document.name; });
        if (known != message.have.end() && known->version >= document.version)
            continue;
        bytes += document.text.size();
        if (!reply.documents.empty() && bytes > maxReplyBytes)
            break;
        reply.documents.push_back({document.name, document.version, document.text});
    }
    // An empty reply is sent too: it tells a starting node that its documents are complete.
    m_context.send(from, FleetMessage(std::move(reply)));

    const VmList &list = m_context.membership.vmList();
    if (list.revision <= message.vmListRevision)
        return;
    VmListMessage vms;
    vms.revision = list.revision;
    for (const VmEntry &vm : list.vms)
        vms.vms.push_back({vm.node.str(), vm.zone.str(), vm.address, vm.port, vm.isLeaving});
    m_context.send(from, FleetMessage(std::move(vms)));
}

void FleetSync::onDocumentsReply(const DocumentsReply &message, const NodeId &from)
{
    for (const DocumentMessage &document : message.documents)
        onDocument({document.name, document.version, document.text}, "node " + from.str());
    const Member *member = m_context.membership.find(from);
    if (member && member->state == MemberState::Live)
        m_isSynchronised = true;
}

void FleetSync::onVmListMessage(const VmListMessage &message)
{
    VmList list;
    list.revision = message.revision;
    for (const VmMessage &vm : message.vms)
        list.vms.push_back({NodeId(vm.node), ZoneId(vm.zone), vm.address, vm.port, vm.isLeaving});
    onVmList(list);
}

void FleetSync::onGoodbye(const NodeId &from)
{
    m_context.membership.onGoodbye(from);
}

void FleetSync::onProbeEnded(const ProbeEnded &event)
{
    m_context.membership.onProbeEnded(event.node, event.incarnation, event.isRefused);
}

void FleetSync::onDocument(const DocumentText &document, const std::string &who)
{
    const AcceptResult result = m_context.documents.accept(document);
    const std::string version = std::to_string(document.version);
    if (result.status == AcceptStatus::Refused) {
        for (const Diagnostic &diagnostic : result.diagnostics)
            m_context.log(LogEventId::DocumentRefused, diagnostic.str());
        m_context.audit(AuditKind::DocumentRefused, who, document.name, std::to_string(result.from),
                        version);
        return;
    }
    if (result.status == AcceptStatus::Stale)
        return;
    m_context.log(LogEventId::DocumentAccepted,
                  document.name + " version " + version + " by " + who);
    m_context.audit(AuditKind::DocumentAccepted, who, document.name, std::to_string(result.from),
                    version);
    m_changes.documents = true;
}

void FleetSync::onVmList(const VmList &list)
{
    if (!m_context.membership.onVmList(list, m_context.now))
        return;
    m_context.log(LogEventId::VmListArrived, "revision " + std::to_string(list.revision));
    m_changes.vmList = true;
}

void FleetSync::onPlatformReachability(bool isReachable)
{
    if (m_isPlatformReachable == isReachable)
        return;
    m_isPlatformReachable = isReachable;
    m_context.log(isReachable ? LogEventId::PlatformBack : LogEventId::PlatformSilent, "");
}

void FleetSync::onLeave(const std::string &who)
{
    if (m_state == NodeState::Leaving || m_state == NodeState::Stopped)
        return;
    m_context.audit(AuditKind::NodeState, who, m_context.options.node.str(),
                    m_context.stateMachines.node.name(m_state), "leaving");
    m_leavingSince = m_context.now;
    const Duration stopLimit = m_context.options.stopLimit;
    m_context.takesLongRequestsUntil = m_leavingSince + stopLimit / longRequestsDivisor;
    m_context.stopsAt = m_leavingSince + stopLimit;
    step(NodeSignal::LeaveOrdered);
    m_context.log(LogEventId::NodeLeaving, "by " + who);
    m_context.emit(Readiness {false});
    for (const auto &[node, member] : m_context.membership.members())
        m_context.send(node, FleetMessage(Goodbye {++m_sequence}));
}

void FleetSync::onReturn(const std::string &who)
{
    if (m_state != NodeState::Leaving)
        return;
    m_context.audit(AuditKind::NodeState, who, m_context.options.node.str(), "leaving", "joining");
    m_context.takesLongRequestsUntil = m_context.stopsAt = TimePoint::max();
    step(NodeSignal::ReturnOrdered);
    checkReady();
    announce();
}

void FleetSync::onProcessResumed()
{
    m_context.membership.onProcessResumed(m_context.now);
    m_resumedAt = m_context.now;
}

void FleetSync::tick(bool acceptsNewKeys)
{
    m_acceptsNewKeys = acceptsNewKeys;
    for (const Member &silent : m_context.membership.tick(m_context.now))
        m_context.emit(ProbeNode {silent.node, silent.endpoint, silent.incarnation});
    checkReady();
    chooseReaders();
    for (const Member &member : m_context.membership.dueHeartbeats(m_context.now))
        sendHeartbeat(member);
    pushZoneView();
    for (LogRecord &record : m_context.membership.takeLogRecords())
        m_context.log(record.id, std::move(record.detail));
}

void FleetSync::checkStop(std::size_t requests, TimePoint lastArrival)
{
    if (m_state != NodeState::Leaving)
        return;
    const TimePoint now = m_context.now;
    // Requests that arrived during a pause of the process are still unread in the sockets when it
    // resumes. If the quiet period included the pause, the process would exit and drop them.
    const TimePoint quietSince = std::max(lastArrival, m_resumedAt);
    const bool isQuiet
        = now - quietSince >= quietPeriod && now - m_leavingSince >= balancerNoticeDelay;
    if (requests == 0 && isQuiet) {
        m_context.log(LogEventId::NodeStopped, "");
        stop(NodeSignal::Emptied);
        return;
    }
    if (now < m_context.stopsAt)
        return;
    m_context.log(LogEventId::StopLimitReached,
                  std::to_string(requests) + " requests were running");
    stop(NodeSignal::LimitReached);
}

void FleetSync::stop(NodeSignal signal)
{
    step(signal);
    m_context.takesLongRequestsUntil = m_context.stopsAt = m_context.now;
    m_context.emit(Stopped {});
}

void FleetSync::fillStatus(NodeStatus &status) const
{
    status.node = m_context.options.node;
    status.zone = m_context.options.zone;
    status.state = m_context.stateMachines.node.name(m_state);
    status.incarnation = m_context.options.incarnation;
    status.isReader = m_isReader;
    status.vmListRevision = m_context.membership.vmList().revision;
    for (const auto &[name, document] : m_context.documents.texts())
        status.documents.push_back({name, document.version});
    for (const auto &[node, member] : m_context.membership.members()) {
        MemberStatus entry;
        entry.node = node;
        entry.zone = member.zone;
        entry.state = m_context.stateMachines.member.name(member.state);
        entry.incarnation = member.incarnation;
        entry.silentSeconds
            = member.hasDirectContact ? toSeconds(m_context.now - member.lastMessageAt) : -1;
        status.members.push_back(std::move(entry));
    }
}

void FleetSync::step(NodeSignal signal)
{
    if (!m_context.stateMachines.node.step(m_state, signal))
        return;
    m_context.membership.setSelfState(memberState());
}

/// Returns this node's state as reported to other nodes.
MemberState FleetSync::memberState() const
{
    if (m_state == NodeState::Ready)
        return MemberState::Live;
    return m_state == NodeState::Joining ? MemberState::Joining : MemberState::Leaving;
}

/// Makes the node ready once it may rely on its documents. A starting node has no state,
/// and the platform may be stale, so documents from the platform alone could be older than those of
/// the rest of the fleet. The node therefore waits until its documents were compared with those of
/// a ready node. If no ready node responds within readinessWait, it uses the platform's documents.
void FleetSync::checkReady()
{
    if (m_state != NodeState::Joining || m_context.documents.digest() == 0)
        return;
    const Duration waited = m_context.now - m_startedAt;
    if (!m_isSynchronised && waited < m_context.options.readinessWait)
        return;
    // Requests with idempotency keys that arrive before the nodes agree on witnesses would be
    // refused as "may have run". A fleet that cannot agree, such as a partitioned zone, still
    // serves all other requests after three times readinessWait.
    if (!m_acceptsNewKeys && waited < 3 * m_context.options.readinessWait)
        return;
    step(NodeSignal::DocumentsKnown);
    m_context.log(LogEventId::NodeReady, "");
    m_context.emit(Readiness {true});
    announce();
}

/// Selects the readers of this zone: the nodes with the highest rendezvous hash among those that
/// send heartbeats watch the platform. The platform's load thus grows with the number of zones, not
/// of nodes.
void FleetSync::chooseReaders()
{
    std::vector<NodeId> candidates;
    if (m_state != NodeState::Leaving && m_state != NodeState::Stopped)
        candidates.push_back(m_context.options.node);
    for (const auto &[node, member] : m_context.membership.members()) {
        const bool isPresent
            = member.state == MemberState::Live || member.state == MemberState::Joining;
        if (isPresent && member.zone == m_context.options.zone)
            candidates.push_back(node);
    }
    bool isReader = false;
    for (std::size_t rank = 0; rank < readersPerZone && !candidates.empty(); ++rank) {
        const NodeId reader = rendezvousWinner("platform reader", candidates);
        isReader = isReader || m_context.isSelf(reader);
        std::erase(candidates, reader);
    }
    if (isReader == m_isReader)
        return;
    m_isReader = isReader;
    m_context.log(LogEventId::ReaderRole, isReader ? "begins" : "ceases");
    m_context.emit(WatchPlatform {isReader});
}

void FleetSync::sendHeartbeat(const Member &member)
{
    const Membership &membership = m_context.membership;
    Heartbeat heartbeat;
    heartbeat.sequence = ++m_sequence;
    heartbeat.zone = m_context.options.zone.str();
    heartbeat.nodeState = static_cast<std::uint8_t>(memberState());
    heartbeat.documentsDigest = m_context.documents.digest();
    heartbeat.vmListRevision = membership.vmList().revision;
    heartbeat.address = m_context.options.endpoint.address;
    heartbeat.port = m_context.options.endpoint.port;
    heartbeat.zoneDigest = membership.zoneDigest(m_context.options.zone, m_context.now);
    heartbeat.counterpartZoneDigest
        = hash64("view", membership.zoneDigest(member.zone, m_context.now));
    m_context.send(member.node, FleetMessage(std::move(heartbeat)));
}

void FleetSync::announce()
{
    for (const auto &[node, member] : m_context.membership.members()) {
        const bool isOwnZone = member.zone == m_context.options.zone;
        const bool isInContact = member.hasDirectContact && member.state != MemberState::Gone;
        if (isOwnZone || isInContact)
            sendHeartbeat(member);
    }
}

/// Sends this zone's view to other zones as soon as a node of this zone joins or leaves.
void FleetSync::pushZoneView()
{
    const Membership &membership = m_context.membership;
    const std::uint64_t digest = membership.zoneDigest(m_context.options.zone, m_context.now);
    if (digest == m_pushedDigest)
        return;
    m_pushedDigest = digest;
    const ZoneView view = membership.ownZoneView();
    for (const auto &[node, member] : membership.members()) {
        const bool isPartner = member.zone != m_context.options.zone && member.hasDirectContact
            && m_context.now - member.lastMessageAt < std::chrono::seconds(2);
        if (isPartner)
            m_context.send(node, FleetMessage(view));
    }
}

} // namespace berylridge
