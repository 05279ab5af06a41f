#include "FleetTalk.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace berylridge {

namespace {

/// A list of live nodes goes with each fifth digest: a new node needs one, the others none.
constexpr std::uint64_t peersEvery = 5;
/// Placements in one digest, so that it stays one datagram; the rest follow with the next.
constexpr std::size_t placementLimit = 40;
/// Newer state is on its way for so long before it is asked for again.
constexpr Duration askAgainAfter = std::chrono::milliseconds(400);

std::uint32_t clampTo32(double value)
{
    constexpr double most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(value, 0.0, most));
}

} // namespace

void FleetTalk::sendDigests(bool isLeaving, bool isReading)
{
    LoadDigest digest = ownDigest();
    digest.isLeaving = isLeaving;
    digest.isReading = isReading;
    for (auto &[node, endpoint] : m_context.peers.nextReceivers(m_context.now))
        m_context.act(SendToNode {node, endpoint, BalancerMessage(digest)});
}

LoadDigest FleetTalk::ownDigest()
{
    LoadDigest digest;
    const BalancerOptions &options = m_context.options;
    digest.zone = options.zone.str();
    digest.address = options.endpoint.address;
    digest.port = options.endpoint.port;
    digest.catalogVersion = m_context.table ? m_context.table->catalog().version : 0;
    digest.directoryRevision = m_context.directory.revision();
    for (const auto &[target, load] : m_board.loads().allOwn())
        digest.loads.push_back({target, load.running, clampTo32(static_cast<double>(load.tokens))});
    digest.placements = m_board.takePlacements(placementLimit);
    for (const auto &demand : m_requests.shares().ownDemands(m_context.now))
        digest.demands.push_back({demand.workspace, clampTo32(demand.tokensPerSecond)});
    digest.reads = m_board.takeReads();
    digest.servedPerSecond = clampTo32(m_requests.shares().servedPerSecond(m_context.now));
    digest.turnedAwayPerSecond = clampTo32(m_requests.shares().turnedAwayPerSecond(m_context.now));
    digest.brokenRuns = m_requests.takeBrokenRuns();
    if (m_digests++ % peersEvery == 0)
        digest.peers = m_context.peers.liveEntries(m_context.now);
    return digest;
}

void FleetTalk::onDigest(const NodeId &from, Incarnation incarnation, const LoadDigest &digest)
{
    const bool wasKnown = m_context.peers.find(from) != nullptr;
    if (!m_context.peers.onHeard(from, incarnation, digest, m_context.now))
        return;
    if (!wasKnown)
        m_context.log(LogEventId::MemberJoined, from.str() + " zone " + digest.zone);
    takeLoads(from, incarnation, digest);
    m_reader.onPeerState(digest.catalogVersion, digest.directoryRevision);
    askForNewer(from, digest);
}

void FleetTalk::takeLoads(const NodeId &from, Incarnation incarnation, const LoadDigest &digest)
{
    std::vector<TargetLoads::RemoteEntry> loads;
    for (const TargetLoadEntry &entry : digest.loads)
        loads.push_back({entry.target, {entry.running, entry.tokens}});
    m_board.loads().onDigest(from, std::move(loads), m_context.now);
    // Reads go first: what was placed with them is newer.
    for (const TargetReadEntry &entry : digest.reads)
        m_board.onRemoteRead(from, incarnation, entry);
    for (const PlacementEntry &entry : digest.placements)
        m_board.onRemotePlacement(entry.part, entry.target);
    WorkspaceShares::RemoteNews news;
    for (const WorkspaceDemandEntry &entry : digest.demands)
        news.demands.push_back({entry.workspace, static_cast<double>(entry.tokensPerSecond)});
    news.servedPerSecond = digest.servedPerSecond;
    news.turnedAwayPerSecond = digest.turnedAwayPerSecond;
    m_requests.shares().onDigest(from, std::move(news), m_context.now);
    for (const BrokenRunEntry &entry : digest.brokenRuns)
        m_requests.onRemoteBrokenRun(entry);
}

void FleetTalk::askForNewer(const NodeId &from, const LoadDigest &digest)
{
    const StateRequest have {m_context.table ? m_context.table->catalog().version : 0,
                             m_context.directory.revision()};
    const bool isBehind = digest.catalogVersion > have.catalogVersion
        || digest.directoryRevision > have.directoryRevision;
    if (!isBehind)
        return;
    TimePoint &askedAt = m_askedAt[from];
    if (askedAt > TimePoint {} && m_context.now - askedAt < askAgainAfter)
        return;
    askedAt = m_context.now;
    m_context.act(SendToNode {from, {digest.address, digest.port}, BalancerMessage(have)});
}

void FleetTalk::onStateRequest(const NodeId &from, const StateRequest &request)
{
    const PeerTable::Peer *peer = m_context.peers.find(from);
    if (!peer)
        return;
    const auto send = [&](BalancerMessage message) {
        m_context.act(SendToNode {from, peer->endpoint, std::move(message)});
    };
    if (m_context.table && m_context.table->catalog().version > request.catalogVersion)
        send(CatalogNews {m_context.table->catalog()});
    const TargetDirectory &directory = m_context.directory;
    if (directory.revision() > request.directoryRevision)
        send(DirectoryRelay {directory.newsSince(request.directoryRevision, m_context.now)});
}

} // namespace berylridge
