#include "GossipExchange.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace berylridge {

namespace {

using CrashKind = CrashDetector::Kind;

/// Every fifth digest carries a list of live nodes, and each of the first digests, because a node
/// that has just started is usually not the only one. The others need few lists.
constexpr std::uint64_t digestsPerPeerList = 5;
constexpr std::uint64_t startingDigests = 30;
/// Limits on the entries of one message, so that it fits into a datagram.
constexpr std::size_t maxPeersPerDigest = 16;
constexpr std::size_t maxInterruptedRequestsPerDigest = 16;
constexpr std::size_t maxPlacementsPerMessage = 80;
constexpr std::size_t maxCacheWritesPerMessage = 20;
constexpr std::size_t maxLoadsPerSummary = 80;
constexpr std::size_t maxFlowsPerSummary = 60;
/// Placement messages that are sent per period; the rest are sent in later periods.
constexpr int maxPlacementMessagesPerPeriod = 2;
constexpr std::size_t maxInterruptedPartsPerMessage = 36;
constexpr std::size_t maxQuarantinedPartsPerMessage = 12;
/// Each peer receives an interruption twice, because a peer that misses it lets one more target
/// crash.
constexpr unsigned interruptionRounds = 2;
/// In a StateRequest, asks for the directory alone.
constexpr std::uint64_t noCatalogWanted = std::numeric_limits<std::uint64_t>::max();
/// Maximum number of peers that are remembered until this node knows the state.
constexpr std::size_t maxWaitingPeers = 2048;

std::uint32_t clampToUint32(double value)
{
    constexpr double maxValue = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(value, 0.0, maxValue));
}

PlatformStatus toStatus(const std::optional<PlatformUptime::Report> &report)
{
    if (!report)
        return {};
    return {toMilliseconds(report->sinceAnswer), std::max(1U, toMilliseconds(report->upFor)),
            toMilliseconds(report->waitingFor), report->followsOutage};
}

} // namespace

void GossipExchange::sendDigests(const OwnStatus &status)
{
    queueUpdates();
    m_heartbeat = buildHeartbeat();
    m_heartbeat.isLeaving = status.isLeaving;
    m_heartbeat.isReadingPlatform = status.isReadingPlatform;
    m_heartbeat.keepsVersionHistory = status.keepsVersionHistory;
    m_heartbeat.rotation = static_cast<std::uint8_t>(status.rotation);
    const LoadDigest digest = buildDigest();
    const InterruptedPartsUpdate interruptedParts = takeInterruptedParts();
    if (m_context.peers.usesZoneSummaries())
        sendZoneSummaries(digest, interruptedParts);
    const std::vector<PlacementUpdate> updates = takePlacementMessages();
    for (auto &[node, endpoint] : m_context.peers.nextReceivers(m_context.now)) {
        m_context.emit(SendToNode {node, endpoint, BalancerMessage(digest)});
        for (const PlacementUpdate &update : updates)
            m_context.emit(SendToNode {node, endpoint, BalancerMessage(update)});
        if (!interruptedParts.parts.empty())
            m_context.emit(SendToNode {node, endpoint, BalancerMessage(interruptedParts)});
    }
    if (!knowsState() && !m_reader.isStateKnownToPeers())
        requestInitialState(digest);
    m_lastDigest = digest;
}

void GossipExchange::announceState()
{
    if (m_digestsSent == 0)
        return;
    const LoadDigest state = buildHeartbeat();
    m_lastDigest.catalogVersion = state.catalogVersion;
    m_lastDigest.directoryRevision = state.directoryRevision;
    m_lastDigest.platform = state.platform;
    m_lastDigest.peers.clear();
    m_lastDigest.interruptedRequests.clear();
    sendInOwnZone(m_lastDigest);
}

void GossipExchange::queueUpdates()
{
    const PeerTable &peers = m_context.peers;
    const bool hasRemoteReceivers = peers.usesZoneSummaries();
    const unsigned periods = peers.periodsPerRotation();
    const unsigned remotePeriods = peers.periodsPerRemoteRotation();
    for (const PlacementEntry &entry : m_targetSelector.takePlacements()) {
        m_placements.add(entry, periods);
        if (hasRemoteReceivers)
            m_remotePlacements.add(entry, remotePeriods);
    }
    for (const TargetSelector::CacheWrite &write : m_targetSelector.takeCacheWrites()) {
        m_cacheWrites.add({write.target, write.writtenTokens}, periods);
        if (hasRemoteReceivers)
            m_remoteCacheWrites.add({write.target, write.increase}, remotePeriods);
    }
    const unsigned interruptionPeriods = std::max(periods, remotePeriods) * interruptionRounds;
    for (const InterruptionEntry &entry :
         m_requests.crashDetector().takeReports(CrashKind::Request))
        m_interruptedRequests.add(entry, interruptionPeriods);
    for (const InterruptionEntry &entry : m_requests.crashDetector().takeReports(CrashKind::Part))
        m_interruptedParts.add(entry, interruptionPeriods);
}

void GossipExchange::sendZoneSummaries(const LoadDigest &digest,
                                       const InterruptedPartsUpdate &interruptedParts)
{
    LoadDigest heartbeat = m_heartbeat;
    heartbeat.interruptedRequests = digest.interruptedRequests;
    heartbeat.peers = digest.peers;
    std::vector<BalancerMessage> messages {BalancerMessage(std::move(heartbeat))};
    PlacementUpdate placements = takeRemotePlacements();
    if (!placements.placements.empty() || !placements.cacheWriteIncreases.empty())
        messages.emplace_back(std::move(placements));
    if (!interruptedParts.parts.empty())
        messages.emplace_back(interruptedParts);
    for (BalancerMessage &summary : buildZoneSummaries())
        messages.push_back(std::move(summary));
    for (const auto &[node, endpoint] : m_context.peers.remoteReceivers(m_context.wallNow)) {
        for (const BalancerMessage &message : messages)
            m_context.emit(SendToNode {node, endpoint, message});
    }
}

bool GossipExchange::isInOwnZone(const NodeId &node) const
{
    const PeerTable::Peer *peer = m_context.peers.find(node);
    return peer && peer->zone == m_context.options.zone.str();
}

std::vector<BalancerMessage> GossipExchange::buildZoneSummaries() const
{
    const auto isIncluded = [&](const NodeId &node) { return isInOwnZone(node); };
    std::vector<BalancerMessage> summaries;
    appendZoneLoads(summaries);
    const WorkspaceShares::RemoteDigest flows
        = m_requests.shares().sumOfNodes(isIncluded, maxFlowsPerSummary, m_context.now);
    ZoneFlowSummary summary;
    summary.zone = m_context.options.zone.str();
    summary.nodes = static_cast<std::uint32_t>(flows.nodes);
    summary.servedPerSecond = clampToUint32(flows.servedPerSecond);
    summary.rejectedPerSecond = clampToUint32(flows.rejectedPerSecond);
    summary.missedPerSecond = clampToUint32(flows.missedPerSecond);
    for (const WorkspaceShares::Flow &flow : flows.flows) {
        summary.flows.push_back(
            {flow.workspace, clampToUint32(flow.requested), clampToUint32(flow.admitted)});
    }
    summaries.emplace_back(std::move(summary));
    return summaries;
}

/// Appends as many summaries as are needed for all loaded targets. Their ranges cover all keys, so
/// that the receivers learn of targets that no longer have a load.
void GossipExchange::appendZoneLoads(std::vector<BalancerMessage> &summaries) const
{
    const TargetLoads::Sum sum = m_targetSelector.loads().sumOfNodes(
        [&](const NodeId &node) { return isInOwnZone(node); }, m_context.now);
    ZoneLoadSummary summary;
    summary.zone = m_context.options.zone.str();
    summary.nodes = static_cast<std::uint32_t>(sum.nodes);
    for (const auto &[target, load] : sum.loads) {
        if (load.running == 0 && load.tokens == 0)
            continue;
        if (summary.loads.size() == maxLoadsPerSummary) {
            summary.lastTarget = target - 1;
            summaries.emplace_back(summary);
            summary.firstTarget = target;
            summary.loads.clear();
        }
        summary.loads.push_back(
            {target, load.running, clampToUint32(static_cast<double>(load.tokens))});
    }
    summary.lastTarget = std::numeric_limits<TargetKey>::max();
    summaries.emplace_back(std::move(summary));
}

InterruptedPartsUpdate GossipExchange::takeInterruptedParts()
{
    InterruptedPartsUpdate update {
        m_requests.crashDetector().nextQuarantinedParts(maxQuarantinedPartsPerMessage)};
    for (const InterruptionEntry &entry : m_interruptedParts.take(maxInterruptedPartsPerMessage))
        update.parts.push_back(entry);
    m_requests.crashDetector().updateEntries(CrashKind::Part, update.parts);
    return update;
}

PlacementUpdate GossipExchange::takeRemotePlacements()
{
    return {m_remotePlacements.take(maxPlacementsPerMessage),
            {},
            m_remoteCacheWrites.take(maxCacheWritesPerMessage)};
}

std::vector<PlacementUpdate> GossipExchange::takePlacementMessages()
{
    std::vector<PlacementEntry> placements
        = m_placements.take(maxPlacementsPerMessage * maxPlacementMessagesPerPeriod);
    std::vector<PlacementUpdate> updates;
    for (std::size_t first = 0; first < placements.size(); first += maxPlacementsPerMessage) {
        const auto begin = placements.begin() + static_cast<std::ptrdiff_t>(first);
        const auto count = std::min(maxPlacementsPerMessage, placements.size() - first);
        updates.push_back({{begin, begin + static_cast<std::ptrdiff_t>(count)}, {}, {}});
    }
    std::vector<TargetCacheWriteEntry> cacheWrites = m_cacheWrites.take(maxCacheWritesPerMessage);
    std::vector<TargetCacheWriteEntry> increases
        = m_cacheWriteIncreases.take(maxCacheWritesPerMessage);
    if (cacheWrites.empty() && increases.empty())
        return updates;
    if (updates.empty())
        updates.emplace_back();
    updates.front().cacheWrites = std::move(cacheWrites);
    updates.front().cacheWriteIncreases = std::move(increases);
    return updates;
}

/// Returns a digest without loads and flows.
LoadDigest GossipExchange::buildHeartbeat() const
{
    LoadDigest digest;
    const BalancerOptions &options = m_context.options;
    digest.zone = options.zone.str();
    digest.address = options.endpoint.address;
    digest.port = options.endpoint.port;
    digest.catalogVersion = m_context.catalogVersion();
    digest.directoryRevision = m_context.directory.revision();
    digest.isSummarized = true;
    digest.platform = toStatus(m_context.directory.platformUptime().ownReport(m_context.now));
    // A reader without an answer since the last outage has no report, but waits all the same.
    if (const auto wait = m_context.directory.platformUptime().ownWait(m_context.now))
        digest.platform.waitingMs = std::max(1U, toMilliseconds(*wait));
    return digest;
}

LoadDigest GossipExchange::buildDigest()
{
    LoadDigest digest = m_heartbeat;
    digest.isSummarized = false;
    for (const auto &[target, load] : m_targetSelector.loads().allOwn())
        digest.loads.push_back(
            {target, load.running, clampToUint32(static_cast<double>(load.tokens))});
    for (const auto &flow : m_requests.shares().ownFlows(m_context.now))
        digest.flows.push_back(
            {flow.workspace, clampToUint32(flow.requested), clampToUint32(flow.admitted)});
    digest.servedPerSecond = clampToUint32(m_requests.shares().servedPerSecond(m_context.now));
    digest.rejectedPerSecond = clampToUint32(m_requests.shares().rejectedPerSecond(m_context.now));
    digest.missedPerSecond = clampToUint32(m_requests.shares().missedPerSecond(m_context.now));
    digest.interruptedRequests = m_interruptedRequests.take(maxInterruptedRequestsPerDigest);
    m_requests.crashDetector().updateEntries(CrashKind::Request, digest.interruptedRequests);
    const bool isStarting = m_digestsSent < startingDigests;
    if (m_digestsSent++ % digestsPerPeerList == 0 || isStarting)
        digest.peers = m_context.peers.nextLiveEntries(maxPeersPerDigest, m_context.now);
    return digest;
}

void GossipExchange::onDigest(const NodeId &from, Incarnation incarnation, const LoadDigest &digest)
{
    const bool wasKnown = m_context.peers.find(from) != nullptr;
    if (!m_context.peers.onMessageReceived(from, incarnation, digest, m_context.now))
        return;
    if (!wasKnown)
        m_context.log(LogEventId::MemberJoined, from.str() + " zone " + digest.zone);
    mergeLoads(from, digest);
    mergeInterruptions(from, CrashKind::Request, digest.interruptedRequests, m_interruptedRequests);
    m_reader.onPeerState(digest.catalogVersion, digest.directoryRevision);
    onPlatformStatus(digest.platform);
    requestNewerState(from, digest);
}

void GossipExchange::onDirectoryRelayed(const DirectoryRelay &relay)
{
    m_directoryRequests.onResponse();
    onPlatformStatus(relay.platform);
}

void GossipExchange::onPlatformStatus(const PlatformStatus &status)
{
    const Duration wait = fromMilliseconds(status.waitingMs);
    if (status.upMs == 0) {
        m_context.directory.onPlatformWaitReported(wait, m_context.now);
        return;
    }
    m_context.directory.onPlatformReported({fromMilliseconds(status.answeredMs),
                                            fromMilliseconds(status.upMs), wait,
                                            status.followsOutage},
                                           m_context.now);
}

void GossipExchange::mergeLoads(const NodeId &from, const LoadDigest &digest)
{
    const bool isCountedInSummary = digest.isSummarized
        || (!isInOwnZone(from) && m_zoneSummaries.hasRecentSummary(digest.zone, m_context.now));
    if (isCountedInSummary) {
        m_targetSelector.loads().forgetNode(from);
        m_requests.shares().forgetNode(from);
        return;
    }
    std::vector<TargetLoads::RemoteEntry> loads;
    for (const TargetLoadEntry &entry : digest.loads)
        loads.push_back({entry.target, {entry.running, entry.tokens}});
    m_targetSelector.loads().onDigest(from, std::move(loads), m_context.now);
    WorkspaceShares::RemoteDigest update;
    for (const WorkspaceFlowEntry &entry : digest.flows) {
        update.flows.push_back({entry.workspace,
                                static_cast<double>(entry.requestedTokensPerSecond),
                                static_cast<double>(entry.admittedTokensPerSecond)});
    }
    update.servedPerSecond = digest.servedPerSecond;
    update.rejectedPerSecond = digest.rejectedPerSecond;
    update.missedPerSecond = digest.missedPerSecond;
    m_requests.shares().onDigest(from, std::move(update), m_context.now);
}

void GossipExchange::onInterruptedParts(const NodeId &from, const InterruptedPartsUpdate &update)
{
    mergeInterruptions(from, CrashKind::Part, update.parts, m_interruptedParts);
}

void GossipExchange::mergeInterruptions(const NodeId &from, CrashKind kind,
                                        std::span<const InterruptionEntry> entries,
                                        TransmitLimitedQueue<InterruptionEntry> &relayed)
{
    if (entries.empty())
        return;
    // A node sends its entries to few nodes of the other zones, so these relay them.
    const bool isRelay = m_context.peers.usesZoneSummaries() && !isInOwnZone(from);
    const unsigned periods = m_context.peers.periodsPerRotation();
    std::size_t newEntries = 0;
    for (const InterruptionEntry &entry : entries) {
        const bool isNew = m_requests.crashDetector().onReport(kind, entry);
        newEntries += isNew ? 1 : 0;
        if (isNew && isRelay)
            relayed.add(entry, periods);
    }
    logInterruptions(from, entries.size(), newEntries);
}

void GossipExchange::logInterruptions(const NodeId &from, std::size_t entries,
                                      std::size_t newEntries)
{
    const LogEventId id = LogEventId::InterruptionsReported;
    if (newEntries == 0 || !m_interruptionLines.tryTake(0, logEventInfo(id).level, m_context.now))
        return;
    Json::Value fields;
    fields["reported"] = Json::UInt64(entries);
    fields["new"] = Json::UInt64(newEntries);
    m_context.log(id, from.str(), std::move(fields));
}

void GossipExchange::onZoneLoads(const NodeId &from, const ZoneLoadSummary &summary)
{
    const bool isUsed
        = !isInOwnZone(from) && m_zoneSummaries.accepts(summary.zone, summary.nodes, m_context.now);
    if (!isUsed)
        return;
    std::vector<TargetLoads::RemoteEntry> loads;
    loads.reserve(summary.loads.size());
    for (const TargetLoadEntry &entry : summary.loads)
        loads.push_back({entry.target, {entry.running, entry.tokens}});
    m_targetSelector.loads().onZoneSummary(summary.zone, {summary.firstTarget, summary.lastTarget},
                                           loads, m_context.now);
}

void GossipExchange::onZoneFlows(const NodeId &from, const ZoneFlowSummary &summary)
{
    const bool isUsed
        = !isInOwnZone(from) && m_zoneSummaries.accepts(summary.zone, summary.nodes, m_context.now);
    if (!isUsed)
        return;
    WorkspaceShares::RemoteDigest digest;
    digest.nodes = summary.nodes;
    digest.servedPerSecond = summary.servedPerSecond;
    digest.rejectedPerSecond = summary.rejectedPerSecond;
    digest.missedPerSecond = summary.missedPerSecond;
    for (const WorkspaceFlowEntry &entry : summary.flows) {
        digest.flows.push_back({entry.workspace,
                                static_cast<double>(entry.requestedTokensPerSecond),
                                static_cast<double>(entry.admittedTokensPerSecond)});
    }
    m_requests.shares().onZoneSummary(summary.zone, std::move(digest), m_context.now);
}

void GossipExchange::sendNotices()
{
    for (const RerunNotice &notice : m_requests.crashDetector().takeRerunNotices())
        sendToFleet(notice);
    const std::vector<DispatchNotice> notices = m_targetSelector.takeNotices();
    // In a small fleet, each digest reaches all nodes.
    if (!m_context.peers.usesZoneSummaries())
        return;
    for (const DispatchNotice &notice : notices)
        sendToFleet(notice);
}

/// Sends the message to the nodes that receive this node's digests, and to one node of each other
/// zone, which relays it in its zone.
void GossipExchange::sendToFleet(const BalancerMessage &message)
{
    sendInOwnZone(message);
    if (!m_context.peers.usesZoneSummaries())
        return;
    for (const auto &[node, endpoint] : m_context.peers.zoneRelays(m_context.now))
        m_context.emit(SendToNode {node, endpoint, message});
}

void GossipExchange::sendInOwnZone(const BalancerMessage &message)
{
    m_context.peers.forEachDigestReceiver([&](const NodeId &node, const PeerTable::Peer &peer) {
        if (m_context.peers.isLive(peer, m_context.now))
            m_context.emit(SendToNode {node, peer.endpoint, message});
    });
}

void GossipExchange::onRerunNotice(const NodeId &from, const RerunNotice &notice)
{
    m_requests.crashDetector().onRerunNotice(notice);
    const bool isRelay = m_context.peers.usesZoneSummaries()
        && notice.zone != m_context.options.zone.str() && !isInOwnZone(from);
    if (isRelay)
        sendInOwnZone(notice);
}

void GossipExchange::onDispatchNotice(const NodeId &from, Incarnation incarnation,
                                      const DispatchNotice &notice)
{
    const PeerTable::Peer *peer = m_context.peers.find(from);
    if (peer && peer->incarnation > incarnation)
        return;
    const bool isSummarized
        = m_context.peers.usesZoneSummaries() && notice.zone != m_context.options.zone.str();
    m_targetSelector.onDispatchNotice(from, isSummarized, notice);
    if (isSummarized && !isInOwnZone(from))
        sendInOwnZone(notice);
}

void GossipExchange::onPlacements(const NodeId &from, Incarnation incarnation,
                                  const PlacementUpdate &update)
{
    const PeerTable::Peer *peer = m_context.peers.find(from);
    if (peer && peer->incarnation > incarnation)
        return;
    // Applies the cache writes first, because the placements of the same message are newer.
    for (const TargetCacheWriteEntry &entry : update.cacheWrites)
        m_targetSelector.onRemoteCacheWrite(from, incarnation, entry);
    for (const TargetCacheWriteEntry &entry : update.cacheWriteIncreases)
        m_targetSelector.onRemoteCacheWriteIncrease(entry);
    for (const PlacementEntry &entry : update.placements)
        m_targetSelector.onRemotePlacement(entry.prefix, entry.target);
    if (m_context.peers.usesZoneSummaries() && peer && !isInOwnZone(from))
        relayInOwnZone(update);
}

/// A node of another zone sends its updates to one node of this zone only.
void GossipExchange::relayInOwnZone(const PlacementUpdate &update)
{
    const unsigned periods = m_context.peers.periodsPerRotation();
    for (const PlacementEntry &entry : update.placements)
        m_placements.add(entry, periods);
    for (const TargetCacheWriteEntry &entry : update.cacheWriteIncreases)
        m_cacheWriteIncreases.add(entry, periods);
}

StateRequest GossipExchange::ownState() const
{
    return {m_context.catalogVersion(), m_context.directory.revision()};
}

bool GossipExchange::knowsState() const
{
    return m_context.routeTable && m_context.directory.revision() > 0;
}

void GossipExchange::requestNewerState(const NodeId &from, const LoadDigest &digest)
{
    StateRequest request = ownState();
    const bool isCatalogRequested = digest.catalogVersion > request.catalogVersion
        && m_catalogRequests.tryStart(m_context.now);
    const bool isDirectoryRequested = digest.directoryRevision > request.directoryRevision
        && m_directoryRequests.tryStart(m_context.now);
    if (!isCatalogRequested && !isDirectoryRequested)
        return;
    if (!isCatalogRequested)
        request.catalogVersion = noCatalogWanted;
    m_context.emit(SendToNode {from, {digest.address, digest.port}, BalancerMessage(request)});
}

/// Asks one seed at a time. Seeds that start at the same time as this node may not be up yet, so it
/// asks one in each period until a seed responds with its list of nodes.
void GossipExchange::requestInitialState(const LoadDigest &digest)
{
    const std::vector<Endpoint> &seeds = m_context.options.seeds;
    if (seeds.empty())
        return;
    const bool isDue = m_catalogRequests.tryStart(m_context.now);
    if (m_context.peers.hasReceivedDigest() && !isDue)
        return;
    m_directoryRequests.tryStart(m_context.now);
    for (std::size_t i = 0; i < seeds.size(); ++i) {
        const Endpoint &seed = seeds[m_nextSeed++ % seeds.size()];
        if (seed == m_context.options.endpoint)
            continue;
        // The seed answers only nodes whose digest it has.
        m_context.emit(SendToNode {NodeId(), seed, BalancerMessage(digest)});
        m_context.emit(SendToNode {NodeId(), seed, BalancerMessage(ownState())});
        return;
    }
}

void GossipExchange::onStateRequest(const NodeId &from, const StateRequest &request)
{
    const PeerTable::Peer *peer = m_context.peers.find(from);
    if (!peer)
        return;
    if (!knowsState()) {
        if (m_waitingPeers.size() < maxWaitingPeers)
            m_waitingPeers[from] = request;
        sendPeers(from, *peer);
        return;
    }
    const auto send = [&](BalancerMessage message) {
        m_context.emit(SendToNode {from, peer->endpoint, std::move(message)});
    };
    if (m_context.catalogVersion() > request.catalogVersion)
        send(CatalogUpdate {m_context.routeTable->catalog()});
    const TargetDirectory &directory = m_context.directory;
    if (directory.revision() > request.directoryRevision)
        send(DirectoryRelay {directory.updateSince(request.directoryRevision, m_context.now),
                             toStatus(directory.platformUptime().report(m_context.now))});
    if (request.catalogVersion == 0)
        sendPeers(from, *peer);
}

/// A node that has just started knows the seeds only.
void GossipExchange::sendPeers(const NodeId &to, const PeerTable::Peer &peer)
{
    const std::vector<PeerEntry> entries
        = m_context.peers.entriesFor(peer.zone, maxPeersPerDigest * 2, m_context.now);
    LoadDigest digest = m_heartbeat;
    std::size_t first = 0;
    do {
        const auto begin = entries.begin() + static_cast<std::ptrdiff_t>(first);
        const auto count = std::min(maxPeersPerDigest, entries.size() - first);
        digest.peers.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
        m_context.emit(SendToNode {to, peer.endpoint, BalancerMessage(digest)});
        first += count;
    } while (first < entries.size());
}

void GossipExchange::answerWaitingPeers()
{
    if (!knowsState())
        return;
    for (const auto &[node, request] : std::exchange(m_waitingPeers, {}))
        onStateRequest(node, request);
}

} // namespace berylridge
