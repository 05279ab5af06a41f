#include "FleetTalk.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace berylridge {

namespace {

/// A list of live nodes goes with each fifth digest: a new node needs one, the others none.
constexpr std::uint64_t peersEvery = 5;
/// Entries of one message, so that it fits a datagram.
constexpr std::size_t peersLimit = 16;
constexpr std::size_t brokenRunsLimit = 16;
constexpr std::size_t placementsLimit = 80;
constexpr std::size_t readsLimit = 20;
/// Messages of placements in one period; the rest follow with the next.
constexpr int placementMessages = 2;
/// A broken run goes out twice to each peer: missed, it lets the request end one target more.
constexpr unsigned brokenRunTurns = 2;
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
    collectNews();
    LoadDigest digest = ownDigest();
    digest.isLeaving = isLeaving;
    digest.isReading = isReading;
    const std::vector<PlacementNews> news = placementNews();
    for (auto &[node, endpoint] : m_context.peers.nextReceivers(m_context.now)) {
        m_context.act(SendToNode {node, endpoint, BalancerMessage(digest)});
        for (const PlacementNews &each : news)
            m_context.act(SendToNode {node, endpoint, BalancerMessage(each)});
    }
}

void FleetTalk::collectNews()
{
    const unsigned turn = m_context.peers.periodsPerTurn();
    for (const PlacementEntry &entry : m_board.takePlacements())
        m_placements.add(entry, turn);
    for (const TargetReadEntry &entry : m_board.takeReads())
        m_reads.add(entry, turn);
    for (const BrokenRunEntry &entry : m_requests.takeBrokenRuns())
        m_brokenRuns.add(entry, turn * brokenRunTurns);
}

std::vector<PlacementNews> FleetTalk::placementNews()
{
    std::vector<PlacementEntry> placements = m_placements.take(placementsLimit * placementMessages);
    std::vector<PlacementNews> news;
    for (std::size_t first = 0; first < placements.size(); first += placementsLimit) {
        const auto begin = placements.begin() + static_cast<std::ptrdiff_t>(first);
        const auto count = std::min(placementsLimit, placements.size() - first);
        news.push_back({{begin, begin + static_cast<std::ptrdiff_t>(count)}, {}});
    }
    std::vector<TargetReadEntry> reads = m_reads.take(readsLimit);
    if (reads.empty())
        return news;
    if (news.empty())
        news.emplace_back();
    news.front().reads = std::move(reads);
    return news;
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
    for (const auto &flow : m_requests.shares().ownFlows(m_context.now))
        digest.flows.push_back({flow.workspace, clampTo32(flow.asked), clampTo32(flow.admitted)});
    digest.servedPerSecond = clampTo32(m_requests.shares().servedPerSecond(m_context.now));
    digest.turnedAwayPerSecond = clampTo32(m_requests.shares().turnedAwayPerSecond(m_context.now));
    digest.brokenRuns = m_brokenRuns.take(brokenRunsLimit);
    if (m_digests++ % peersEvery == 0)
        digest.peers = m_context.peers.someLiveEntries(peersLimit, m_context.now);
    return digest;
}

void FleetTalk::onDigest(const NodeId &from, Incarnation incarnation, const LoadDigest &digest)
{
    const bool wasKnown = m_context.peers.find(from) != nullptr;
    if (!m_context.peers.onHeard(from, incarnation, digest, m_context.now))
        return;
    if (!wasKnown)
        m_context.log(LogEventId::MemberJoined, from.str() + " zone " + digest.zone);
    takeLoads(from, digest);
    m_reader.onPeerState(digest.catalogVersion, digest.directoryRevision);
    askForNewer(from, digest);
}

void FleetTalk::takeLoads(const NodeId &from, const LoadDigest &digest)
{
    std::vector<TargetLoads::RemoteEntry> loads;
    for (const TargetLoadEntry &entry : digest.loads)
        loads.push_back({entry.target, {entry.running, entry.tokens}});
    m_board.loads().onDigest(from, std::move(loads), m_context.now);
    WorkspaceShares::RemoteNews news;
    for (const WorkspaceFlowEntry &entry : digest.flows)
        news.flows.push_back({entry.workspace, static_cast<double>(entry.askedPerSecond),
                              static_cast<double>(entry.admittedPerSecond)});
    news.servedPerSecond = digest.servedPerSecond;
    news.turnedAwayPerSecond = digest.turnedAwayPerSecond;
    m_requests.shares().onDigest(from, std::move(news), m_context.now);
    for (const BrokenRunEntry &entry : digest.brokenRuns)
        m_requests.onRemoteBrokenRun(entry);
}

void FleetTalk::onPlacements(const NodeId &from, Incarnation incarnation, const PlacementNews &news)
{
    const PeerTable::Peer *peer = m_context.peers.find(from);
    if (peer && peer->incarnation > incarnation)
        return;
    // Reads go first: what was placed with them is newer.
    for (const TargetReadEntry &entry : news.reads)
        m_board.onRemoteRead(from, incarnation, entry);
    for (const PlacementEntry &entry : news.placements)
        m_board.onRemotePlacement(entry.part, entry.target);
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
