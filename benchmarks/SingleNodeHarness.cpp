#include "SingleNodeHarness.h"

#include "berylridge/Chart/MemberStateMachine.h"
#include "berylridge/Config/DocumentStore.h"
#include "berylridge/Idempotency/Roster.h"
#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <malloc.h>
#include <set>
#include <variant>

namespace berylridge {

namespace {

constexpr Duration simulationStep = std::chrono::milliseconds(10);
constexpr Duration warmUpTime = std::chrono::seconds(12);
constexpr Duration heartbeatPeriod = std::chrono::milliseconds(250);
constexpr Duration crossZoneHeartbeatPeriod = std::chrono::milliseconds(500);
constexpr Duration demandPeriod = std::chrono::milliseconds(400);
/// IP and UDP headers (28 bytes), the datagram's header (20 bytes) and its authenticator. Assumes
/// one message per datagram.
constexpr std::size_t datagramOverheadBytes = 28 + 20 + authenticatorSize;
constexpr Incarnation peerIncarnation = 7;

double threadCpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double heapBytesInUse()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

std::string zoneName(unsigned zone)
{
    return "z" + std::to_string(zone);
}

std::string credential(unsigned workspace)
{
    return "credential-" + std::to_string(workspace);
}

} // namespace

SingleNodeHarness::SingleNodeHarness(const FleetParameters &parameters)
    : m_parameters(parameters)
{
    VmList list;
    list.revision = 1;
    for (unsigned zone = 0; zone < parameters.zones; ++zone) {
        for (unsigned index = 0; index < parameters.nodesPerZone; ++index) {
            const std::string name = zoneName(zone) + "-n" + std::to_string(index);
            list.vms.push_back({NodeId(name), ZoneId(zoneName(zone)), "127.0.0.1",
                                static_cast<std::uint16_t>(7400 + index), false});
            if (zone == 0 && index == 0)
                continue;
            Peer peer;
            peer.node = NodeId(name);
            peer.zone = ZoneId(zoneName(zone));
            m_peers.emplace(peer.node, std::move(peer));
        }
    }
    for (unsigned service = 0; service < parameters.services; ++service) {
        m_documents.push_back(makeServiceDocument(service));
        for (Pool &pool : splitIntoPools(m_documents.back()))
            m_pools.emplace(pool.id, std::move(pool));
    }
    m_initialHeapBytes = heapBytesInUse();
    CoreOptions options;
    options.node = NodeId("z0-n0");
    options.zone = ZoneId("z0");
    options.endpoint = {"127.0.0.1", 7400};
    options.incarnation = 1;
    options.chartDirectory = BERYLRIDGE_SOURCE_DIR "/charts";
    auto core = RouterCore::create(std::move(options), m_clock.now(), m_clock.wallNow());
    if (!core) {
        std::fprintf(stderr, "%s\n", core.failureReason().c_str());
        std::exit(1);
    }
    m_core = *std::move(core);
    handleEvent(VmListArrived {list});
    publishDocuments();
}

SingleNodeHarness::~SingleNodeHarness() = default;

ServiceDocument SingleNodeHarness::makeServiceDocument(unsigned service) const
{
    ServiceDocument document;
    document.service = ServiceId("service" + std::to_string(service));
    for (unsigned zone = 0; zone < m_parameters.zones; ++zone) {
        for (unsigned index = 0; index < m_parameters.targetsPerZone; ++index) {
            TargetSpec target;
            target.target = TargetId(document.service.str() + '-' + zoneName(zone) + "-t"
                                     + std::to_string(index));
            target.zone = ZoneId(zoneName(zone));
            target.address = "127.0." + std::to_string(zone) + "." + std::to_string(service + 1);
            target.port = static_cast<std::uint16_t>(9000 + index);
            document.targets.push_back(std::move(target));
        }
    }
    for (unsigned index = 0; index < m_parameters.workspaces; ++index) {
        WorkspaceShare share;
        share.workspace = WorkspaceId("workspace" + std::to_string(index));
        share.credentialDigest = credentialDigest(credential(index));
        document.workspaces.push_back(std::move(share));
    }
    return document;
}

std::string SingleNodeHarness::writeDocumentText(unsigned service, unsigned revision) const
{
    const ServiceDocument &document = m_documents[service];
    std::string text = "{\"service\":\"" + document.service.str()
        + "\",\"kind\":\"model-engine\",\"slots\":8,\"coldSlots\":2,\"warmAfter\":8,"
          "\"queueTimeoutMs\":"
        + std::to_string(10000 + revision) + ",\"targets\":[";
    const char *separator = "";
    for (const TargetSpec &target : document.targets) {
        text += separator;
        text += "{\"target\":\"" + target.target.str() + "\",\"zone\":\"" + target.zone.str()
            + "\",\"address\":\"" + target.address + "\",\"port\":" + std::to_string(target.port)
            + "}";
        separator = ",";
    }
    text += "],\"workspaces\":[";
    separator = "";
    for (const WorkspaceShare &share : document.workspaces) {
        text += separator;
        text += "{\"workspace\":\"" + share.workspace.str()
            + "\",\"weight\":1,\"credentialDigest\":\"" + share.credentialDigest + "\"}";
        separator = ",";
    }
    return text + "]}";
}

void SingleNodeHarness::publishDocuments()
{
    DocumentStore referenceStore;
    for (unsigned service = 0; service < m_parameters.services; ++service) {
        const DocumentText text {"service/" + m_documents[service].service.str(), m_revision,
                                 writeDocumentText(service, m_revision)};
        const AcceptResult result = referenceStore.accept(text);
        for (const Diagnostic &diagnostic : result.diagnostics)
            std::fprintf(stderr, "%s\n", diagnostic.str().c_str());
        if (result.status != AcceptStatus::Accepted)
            std::exit(1);
        handleEvent(DocumentArrived {text});
    }
    m_documentsDigest = referenceStore.digest();
}

void SingleNodeHarness::handleEvent(const Event &event)
{
    Actions actions;
    const double before = threadCpuSeconds();
    m_core->handle(event, m_clock.now(), m_clock.wallNow(), actions);
    const double used = threadCpuSeconds() - before;
    if (m_isMeasuring)
        m_cpuSeconds += used;
    performActions(actions);
}

void SingleNodeHarness::performActions(const Actions &actions)
{
    for (const Action &action : actions) {
        if (const auto *send = std::get_if<SendToNode>(&action)) {
            onMessageSent(*send);
        } else if (const auto *dispatch = std::get_if<Dispatch>(&action)) {
            AttemptDone done;
            done.handle = dispatch->handle;
            done.attempt = dispatch->attempt;
            done.status = 200;
            done.bootId = "boot";
            m_scheduledEvents.push({m_clock.now() + m_parameters.requestTime, done});
        } else if (const auto *poll = std::get_if<PollTarget>(&action)) {
            TargetLoadReport report;
            report.target = poll->target;
            report.bootId = "boot";
            report.completed = 1000;
            m_scheduledEvents.push({m_clock.now() + simulationStep, report});
        }
    }
}

void SingleNodeHarness::count(const PeerMessage &message, bool isSent)
{
    if (!m_isMeasuring)
        return;
    const std::size_t bytes = packPeerMessage(message).size() + datagramOverheadBytes;
    (isSent ? m_sentBytes : m_receivedBytes) += bytes;
    m_bytesByKind[std::string(peerMessageKindName(peerMessageKind(message)))]
        += static_cast<double>(bytes);
}

void SingleNodeHarness::onMessageSent(const SendToNode &send)
{
    count(send.message, true);
    const auto found = m_peers.find(send.to);
    if (found == m_peers.end())
        return;
    if (const auto *key = std::get_if<KeyMessage>(&send.message)) {
        if (const auto *proposal = std::get_if<RosterProposal>(key)) {
            KeyMessage consent = RosterProposalReply {makeRoster(proposal->roster).id, true, {}};
            m_scheduledEvents.push({m_clock.now() + std::chrono::milliseconds(1),
                                    NodeMessage {send.to, peerIncarnation, std::move(consent)}});
        }
        return;
    }
    const auto *message = std::get_if<FleetMessage>(&send.message);
    if (const auto *heartbeat = std::get_if<Heartbeat>(message))
        m_zoneDigest = heartbeat->zoneDigest;
    else if (const auto *demand = std::get_if<PoolDemand>(message))
        onDemand(found->second, *demand);
    else if (const auto *grant = std::get_if<PoolGrant>(message))
        onGrant(found->second, *grant);
}

/// Simulates a peer that owns the pool and grants all that the core demands.
void SingleNodeHarness::onDemand(Peer &peer, const PoolDemand &demand)
{
    const auto pool = m_pools.find(demand.pool);
    if (pool == m_pools.end() || demand.demand.empty())
        return;
    PoolGrant grant;
    grant.pool = demand.pool;
    grant.number
        = ++peer.sequence + static_cast<std::uint64_t>(m_clock.now().time_since_epoch().count());
    grant.demandSentAt = demand.sentAt;
    grant.termMs = 2000;
    grant.quantumMs = 250;
    for (const FlowDemand &flowDemand : demand.demand) {
        const std::vector<TargetSpec> &targets = pool->second.targets;
        const TargetSpec &target = targets[peer.nextLease % targets.size()];
        grant.leases.push_back({hash64(peer.node.str(), peer.nextLease++),
                                targetHash(target.target), flowDemand.flow});
    }
    NodeMessage message {peer.node, peerIncarnation, FleetMessage(std::move(grant))};
    m_scheduledEvents.push({m_clock.now() + std::chrono::milliseconds(1), std::move(message)});
}

/// Simulates a peer that holds leases: runs a request on each granted lease, then returns it.
void SingleNodeHarness::onGrant(Peer &peer, const PoolGrant &grant)
{
    peer.lastGrant[grant.pool] = grant.number;
    for (const GrantedLease &lease : grant.leases) {
        peer.held[grant.pool][lease.lease] = {lease.lease, lease.target, lease.flow, 0};
        PoolReturn back;
        back.pool = grant.pool;
        back.leases.push_back({lease.lease, 2000, 1, false});
        back.bootId = "boot";
        back.sequence = 0;
        m_scheduledEvents.push(
            {m_clock.now() + m_parameters.requestTime,
             NodeMessage {peer.node, peerIncarnation, FleetMessage(std::move(back))}});
    }
}

void SingleNodeHarness::deliverToCore(Peer &peer, FleetMessage message)
{
    count(message, false);
    handleEvent(NodeMessage {peer.node, peerIncarnation, std::move(message)});
}

void SingleNodeHarness::heartbeat(Peer &peer)
{
    Heartbeat heartbeat;
    heartbeat.sequence = ++peer.sequence;
    heartbeat.zone = peer.zone.str();
    heartbeat.nodeState = static_cast<std::uint8_t>(MemberState::Live);
    heartbeat.documentsDigest = m_documentsDigest;
    heartbeat.vmListRevision = 1;
    heartbeat.address = "127.0.0.1";
    heartbeat.port = 7400;
    heartbeat.zoneDigest = m_zoneDigest;
    heartbeat.counterpartZoneDigest = hash64("view", m_zoneDigest);
    deliverToCore(peer, FleetMessage(std::move(heartbeat)));
}

void SingleNodeHarness::demand(Peer &peer)
{
    if (peer.zone != ZoneId("z0"))
        return;
    for (const PoolId id : m_ownedPools) {
        const Pool &pool = m_pools.at(id);
        PoolDemand message;
        message.pool = id;
        message.sequence = ++peer.sequence;
        message.sentAt = m_clock.now().time_since_epoch().count();
        message.owner = 1;
        message.lastGrant = peer.lastGrant[id];
        const std::uint64_t start = hash64(peer.node.str());
        for (unsigned flow = 0; flow < m_parameters.flowsPerDemand; ++flow) {
            const WorkspaceShare &share
                = m_documents[0].workspaces[(start + flow) % m_parameters.workspaces];
            message.demand.push_back({flowId(pool.service, share.workspace), 1, 100, 2000});
        }
        for (const auto &[lease, held] : peer.held[id])
            message.held.push_back(held);
        deliverToCore(peer, FleetMessage(std::move(message)));
    }
}

void SingleNodeHarness::findOwnedPools()
{
    m_ownedPools.clear();
    const NodeStatus status = m_core->status();
    for (const auto &[id, pool] : m_pools) {
        for (const TargetStatus &target : status.targets) {
            const bool isOfPool = target.target == pool.targets.front().target;
            if (isOfPool && target.owner == status.node)
                m_ownedPools.push_back(id);
        }
    }
}

void SingleNodeHarness::sendPeerMessages()
{
    std::set<ZoneId> contactedZones;
    for (auto &[node, peer] : m_peers) {
        const bool isSameZone = peer.zone == ZoneId("z0");
        // Only one node of each other zone is the core's counterpart and exchanges heartbeats.
        if (!isSameZone && !contactedZones.insert(peer.zone).second)
            continue;
        if (m_clock.now() >= peer.nextHeartbeat) {
            peer.nextHeartbeat
                = m_clock.now() + (isSameZone ? heartbeatPeriod : crossZoneHeartbeatPeriod);
            heartbeat(peer);
        }
        if (isSameZone && m_clock.now() >= peer.nextDemand) {
            peer.nextDemand = m_clock.now() + demandPeriod;
            demand(peer);
        }
    }
}

void SingleNodeHarness::generateRequests()
{
    m_dueRequestCount += m_parameters.requestsPerSecond * toSeconds(simulationStep);
    for (; m_dueRequestCount >= 1; m_dueRequestCount -= 1) {
        const std::uint64_t handle = m_nextHandle++;
        RequestArrived request;
        request.handle = handle;
        request.requestId = "request-" + std::to_string(handle);
        request.service = m_documents[handle % m_documents.size()].service;
        request.credential
            = credential(static_cast<unsigned>(hash64("w", handle) % m_parameters.workspaces));
        request.method = "GET";
        request.path = "/lookup";
        handleEvent(request);
    }
}

void SingleNodeHarness::generateDocumentChanges()
{
    m_dueChangeCount += m_parameters.changesPerHour / 3600 * toSeconds(simulationStep);
    for (; m_dueChangeCount >= 1; m_dueChangeCount -= 1) {
        ++m_revision;
        publishDocuments();
    }
}

void SingleNodeHarness::step()
{
    m_clock.advance(simulationStep);
    while (!m_scheduledEvents.empty() && m_scheduledEvents.top().at <= m_clock.now()) {
        const Event event = m_scheduledEvents.top().event;
        m_scheduledEvents.pop();
        if (const auto *message = std::get_if<NodeMessage>(&event)) {
            count(message->message, false);
            const auto *fleet = std::get_if<FleetMessage>(&message->message);
            const auto *back = fleet ? std::get_if<PoolReturn>(fleet) : nullptr;
            if (back)
                m_peers.at(message->from).held[back->pool].erase(back->leases.front().lease);
        }
        m_completedRequests += std::holds_alternative<AttemptDone>(event) && m_isMeasuring ? 1 : 0;
        handleEvent(event);
    }
    sendPeerMessages();
    generateRequests();
    generateDocumentChanges();
    if (m_core->nextTimer() <= m_clock.now())
        handleEvent(TimerDue {});
}

CoreCost SingleNodeHarness::run(Duration time)
{
    // The core learns the members of other zones from the views that their nodes send.
    for (unsigned zone = 1; zone < m_parameters.zones; ++zone) {
        ZoneView view;
        view.zone = zoneName(zone);
        Peer *sender = nullptr;
        for (auto &[node, peer] : m_peers) {
            if (peer.zone != ZoneId(view.zone))
                continue;
            sender = sender ? sender : &peer;
            view.members.push_back({node.str(), peerIncarnation,
                                    static_cast<std::uint8_t>(MemberState::Live), "127.0.0.1",
                                    7400});
        }
        if (sender)
            deliverToCore(*sender, FleetMessage(std::move(view)));
    }
    const TimePoint warmUpStart = m_clock.now();
    while (m_clock.now() < warmUpStart + warmUpTime) {
        step();
        if (m_ownedPools.empty())
            findOwnedPools();
    }
    m_isMeasuring = true;
    const TimePoint measurementStart = m_clock.now();
    while (m_clock.now() < measurementStart + time)
        step();
    m_isMeasuring = false;

    const double seconds = toSeconds(time);
    CoreCost cost;
    cost.cpuPerSecond = m_cpuSeconds / seconds;
    cost.memoryBytes = heapBytesInUse() - m_initialHeapBytes;
    cost.sentBytesPerSecond = static_cast<double>(m_sentBytes) / seconds;
    cost.receivedBytesPerSecond = static_cast<double>(m_receivedBytes) / seconds;
    cost.requestsPerSecond = static_cast<double>(m_completedRequests) / seconds;
    for (const auto &[kind, bytes] : m_bytesByKind)
        cost.bytesByKind[kind] = bytes / seconds;
    return cost;
}

} // namespace berylridge
