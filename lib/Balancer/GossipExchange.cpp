#include "GossipExchange.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace berylridge {

namespace {

/// Every fifth digest carries a list of live nodes. A new node needs one; the others need none.
constexpr std::uint64_t digestsPerPeerList = 5;
/// Limits on the entries of one message, so that it fits into a datagram.
constexpr std::size_t maxPeersPerDigest = 16;
constexpr std::size_t maxInterruptedRequestsPerDigest = 16;
constexpr std::size_t maxPlacementsPerMessage = 80;
constexpr std::size_t maxCacheWritesPerMessage = 20;
/// Placement messages that are sent per period; the rest are sent in later periods.
constexpr int maxPlacementMessagesPerPeriod = 2;
/// Each peer receives an interrupted request twice, because a peer that misses it lets the request
/// crash one more target.
constexpr unsigned interruptedRequestRounds = 2;
/// Time for which a request for newer state is considered pending before it is repeated.
constexpr Duration stateRequestRetryDelay = std::chrono::milliseconds(400);

std::uint32_t clampToUint32(double value)
{
    constexpr double maxValue = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(value, 0.0, maxValue));
}

} // namespace

void GossipExchange::sendDigests(bool isLeaving, bool isReadingPlatform)
{
    queueUpdates();
    LoadDigest digest = buildDigest();
    digest.isLeaving = isLeaving;
    digest.isReadingPlatform = isReadingPlatform;
    const std::vector<PlacementUpdate> updates = takePlacementMessages();
    for (auto &[node, endpoint] : m_context.peers.nextReceivers(m_context.now)) {
        m_context.emit(SendToNode {node, endpoint, BalancerMessage(digest)});
        for (const PlacementUpdate &update : updates)
            m_context.emit(SendToNode {node, endpoint, BalancerMessage(update)});
    }
}

void GossipExchange::queueUpdates()
{
    const unsigned periodsPerRound = m_context.peers.periodsPerRotation();
    for (const PlacementEntry &entry : m_targetSelector.takePlacements())
        m_placements.add(entry, periodsPerRound);
    for (const TargetCacheWriteEntry &entry : m_targetSelector.takeCacheWrites())
        m_cacheWrites.add(entry, periodsPerRound);
    for (const InterruptedRequestEntry &entry : m_requests.takeInterruptedRequests())
        m_interruptedRequests.add(entry, periodsPerRound * interruptedRequestRounds);
}

std::vector<PlacementUpdate> GossipExchange::takePlacementMessages()
{
    std::vector<PlacementEntry> placements
        = m_placements.take(maxPlacementsPerMessage * maxPlacementMessagesPerPeriod);
    std::vector<PlacementUpdate> updates;
    for (std::size_t first = 0; first < placements.size(); first += maxPlacementsPerMessage) {
        const auto begin = placements.begin() + static_cast<std::ptrdiff_t>(first);
        const auto count = std::min(maxPlacementsPerMessage, placements.size() - first);
        updates.push_back({{begin, begin + static_cast<std::ptrdiff_t>(count)}, {}});
    }
    std::vector<TargetCacheWriteEntry> cacheWrites = m_cacheWrites.take(maxCacheWritesPerMessage);
    if (cacheWrites.empty())
        return updates;
    if (updates.empty())
        updates.emplace_back();
    updates.front().cacheWrites = std::move(cacheWrites);
    return updates;
}

LoadDigest GossipExchange::buildDigest()
{
    LoadDigest digest;
    const BalancerOptions &options = m_context.options;
    digest.zone = options.zone.str();
    digest.address = options.endpoint.address;
    digest.port = options.endpoint.port;
    digest.catalogVersion = m_context.routeTable ? m_context.routeTable->catalog().version : 0;
    digest.directoryRevision = m_context.directory.revision();
    for (const auto &[target, load] : m_targetSelector.loads().allOwn())
        digest.loads.push_back(
            {target, load.running, clampToUint32(static_cast<double>(load.tokens))});
    for (const auto &flow : m_requests.shares().ownFlows(m_context.now))
        digest.flows.push_back(
            {flow.workspace, clampToUint32(flow.requested), clampToUint32(flow.admitted)});
    digest.servedPerSecond = clampToUint32(m_requests.shares().servedPerSecond(m_context.now));
    digest.rejectedPerSecond = clampToUint32(m_requests.shares().rejectedPerSecond(m_context.now));
    digest.interruptedRequests = m_interruptedRequests.take(maxInterruptedRequestsPerDigest);
    if (m_digestsSent++ % digestsPerPeerList == 0)
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
    m_reader.onPeerState(digest.catalogVersion, digest.directoryRevision);
    requestNewerState(from, digest);
}

void GossipExchange::mergeLoads(const NodeId &from, const LoadDigest &digest)
{
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
    m_requests.shares().onDigest(from, std::move(update), m_context.now);
    for (const InterruptedRequestEntry &entry : digest.interruptedRequests)
        m_requests.onRemoteInterruptedRequest(entry);
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
    for (const PlacementEntry &entry : update.placements)
        m_targetSelector.onRemotePlacement(entry.prefix, entry.target);
}

void GossipExchange::requestNewerState(const NodeId &from, const LoadDigest &digest)
{
    const StateRequest ownState {m_context.routeTable ? m_context.routeTable->catalog().version : 0,
                                 m_context.directory.revision()};
    const bool isBehind = digest.catalogVersion > ownState.catalogVersion
        || digest.directoryRevision > ownState.directoryRevision;
    if (!isBehind)
        return;
    TimePoint &requestedAt = m_stateRequestedAt[from];
    if (requestedAt > TimePoint {} && m_context.now - requestedAt < stateRequestRetryDelay)
        return;
    requestedAt = m_context.now;
    m_context.emit(SendToNode {from, {digest.address, digest.port}, BalancerMessage(ownState)});
}

void GossipExchange::onStateRequest(const NodeId &from, const StateRequest &request)
{
    const PeerTable::Peer *peer = m_context.peers.find(from);
    if (!peer)
        return;
    const auto send = [&](BalancerMessage message) {
        m_context.emit(SendToNode {from, peer->endpoint, std::move(message)});
    };
    if (m_context.routeTable && m_context.routeTable->catalog().version > request.catalogVersion)
        send(CatalogUpdate {m_context.routeTable->catalog()});
    const TargetDirectory &directory = m_context.directory;
    if (directory.revision() > request.directoryRevision)
        send(DirectoryRelay {directory.updateSince(request.directoryRevision, m_context.now)});
}

} // namespace berylridge
