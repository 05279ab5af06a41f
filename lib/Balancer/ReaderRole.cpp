#include "ReaderRole.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <vector>

namespace berylridge {

namespace {

/// One reader may fail at any moment, and updates must not wait until another node detects that.
constexpr std::size_t readersPerZone = 2;
/// A starting node asks the seeds, which read the platform's state at once. If no peer has sent it
/// the state after this time, it reads from the platform itself.
constexpr Duration initialStateTimeout = std::chrono::milliseconds(700);
/// Starting nodes reach that timeout one after the other, spread over this much time for each peer,
/// so that those that follow receive the state from the first ones.
constexpr Duration initialReadSpreadPerPeer = std::chrono::milliseconds(5);
/// A starting node doesn't know yet which nodes of its zone precede it.
constexpr Duration rankLearningTime = std::chrono::milliseconds(1200);
/// Updates reach a node within one rotation of digests. A node that lacks one for this much longer
/// is not reached by its peers, for example because of a one-way network partition, and reads from
/// the platform itself for at least minReadTime.
constexpr Duration maxTimeBehind = std::chrono::milliseconds(500);
constexpr Duration minReadTime = std::chrono::seconds(5);
/// A reader whose digests have been missing for this long is not counted: ten digests in a zone of
/// 42 nodes.
constexpr Duration readerDigestTimeout = std::chrono::milliseconds(3000);
/// Each further rank delays the start of reading by this much. An outage of the platform stops all
/// readers at once; the delay keeps the other nodes from calling the platform simultaneously.
constexpr Duration takeoverDelayPerRank = std::chrono::milliseconds(500);
/// A surplus reader continues for this long, so that lost digests don't make nodes switch roles
/// back and forth.
constexpr Duration surplusReaderTimeout = std::chrono::seconds(2);

} // namespace

void ReaderRole::onPeerState(std::uint64_t catalogVersion, std::uint64_t directoryRevision)
{
    m_context.newestPeerCatalogVersion
        = std::max(m_context.newestPeerCatalogVersion, catalogVersion);
    m_newestPeerRevision = std::max(m_newestPeerRevision, directoryRevision);
}

bool ReaderRole::isStateKnownToPeers() const
{
    return m_context.newestPeerCatalogVersion > 0 && m_newestPeerRevision > 0;
}

Duration ReaderRole::MissingVersion::update(std::uint64_t ownVersion, std::uint64_t newestVersion,
                                            TimePoint now)
{
    const bool isMissing = missingSince && ownVersion < version;
    if (!isMissing) {
        version = newestVersion;
        missingSince = ownVersion < newestVersion ? std::optional(now) : std::nullopt;
    }
    return missingSince ? now - *missingSince : Duration(0);
}

bool ReaderRole::isPersistentlyBehind()
{
    const TimePoint now = m_context.now;
    const Duration catalogTime = m_missingCatalog.update(m_context.catalogVersion(),
                                                         m_context.newestPeerCatalogVersion, now);
    const Duration directoryTime
        = m_missingDirectory.update(m_context.directory.revision(), m_newestPeerRevision, now);
    return std::max(catalogTime, directoryTime) >= maxTimeBehind + m_context.peers.rotationTime();
}

Duration ReaderRole::answerAge() const
{
    const auto answeredAt = m_context.directory.platformUptime().answeredAt();
    return m_context.now - answeredAt.value_or(m_noAnswerSince);
}

/// Returns the time between the answers to one reader, and until its digest reaches this node.
Duration ReaderRole::maxAnswerAge() const
{
    return PlatformUptime::maxWatchTime + m_context.peers.rotationTime();
}

/// All readers may end at the same moment, and only a read tells that from an outage of the
/// platform. So that not all nodes call a platform that is down, the nodes of a zone begin one
/// after the other, each after the digests of those before it have arrived.
bool ReaderRole::shouldReplaceReaders() const
{
    const Duration overdue = answerAge() - maxAnswerAge();
    const bool knowsRank = m_context.now - m_startedAt >= rankLearningTime || otherSeedCount() == 0;
    if (m_isReading || overdue <= Duration(0) || !knowsRank)
        return false;
    const std::size_t callers
        = countInZone(PeerTable::liveTimeout, [](const NodeId &, const PeerTable::Peer &peer) {
              return peer.isCallingPlatform;
          });
    const std::size_t rank
        = countInZone(PeerTable::liveTimeout, [&](const NodeId &node, const PeerTable::Peer &peer) {
              return node < m_context.options.node && !peer.isCallingPlatform && !peer.isLeaving;
          });
    return callers <= readersPerZone
        && overdue >= m_context.peers.rotationTime() * static_cast<int>(rank);
}

bool ReaderRole::update()
{
    if (m_context.directory.platformUptime().answeredAt())
        m_noAnswerSince = m_context.now;
    m_isReading = shouldRead();
    return m_isReading;
}

bool ReaderRole::isSeed() const
{
    const std::vector<Endpoint> &seeds = m_context.options.seeds;
    return std::find(seeds.begin(), seeds.end(), m_context.options.endpoint) != seeds.end();
}

std::size_t ReaderRole::otherSeedCount() const
{
    return m_context.options.seeds.size() - (isSeed() ? 1 : 0);
}

/// After all nodes were killed, no node knows any state, and callers arrive as soon as a node is
/// up: the seeds must read without delay.
bool ReaderRole::shouldReadInitialState() const
{
    const bool isAloneOrSeed = isSeed() || otherSeedCount() == 0;
    if (m_isReading || (isAloneOrSeed && !isStateKnownToPeers()))
        return true;
    constexpr std::uint64_t spreadSteps = 1000;
    const auto step = static_cast<std::int64_t>(hash64(m_context.options.node.str()) % spreadSteps);
    const auto peers = static_cast<std::int64_t>(m_context.peers.size());
    const Duration spread
        = initialReadSpreadPerPeer * peers * step / static_cast<std::int64_t>(spreadSteps);
    return m_context.now - m_startedAt >= initialStateTimeout + spread;
}

bool ReaderRole::shouldRead()
{
    const TimePoint now = m_context.now;
    const bool knowsState = m_context.routeTable && m_context.directory.revision() > 0;
    if (!knowsState)
        return shouldReadInitialState();
    if (isPersistentlyBehind() || shouldReplaceReaders())
        m_mustReadUntil = now + minReadTime;
    if (now < m_mustReadUntil)
        return true;
    if (precedingReaders() >= readersPerZone) {
        m_tooFewReadersSince.reset();
        m_enoughReadersSince = m_enoughReadersSince.value_or(now);
        return m_isReading && now - *m_enoughReadersSince < surplusReaderTimeout;
    }
    m_enoughReadersSince.reset();
    if (m_isReading)
        return true;
    if (now - m_startedAt < rankLearningTime && otherSeedCount() > 0)
        return false;
    m_tooFewReadersSince = m_tooFewReadersSince.value_or(now);
    const std::size_t rank = precedingNodes();
    const std::size_t extra = rank < readersPerZone ? 0 : rank - readersPerZone + 1;
    return now - *m_tooFewReadersSince >= takeoverDelayPerRank * static_cast<int>(extra);
}

template <typename Matches>
std::size_t ReaderRole::countInZone(Duration maxSilence, Matches matches) const
{
    std::size_t count = 0;
    m_context.peers.forEach([&](const NodeId &node, const PeerTable::Peer &peer) {
        const bool isAlive = peer.lastMessageAt && m_context.now - *peer.lastMessageAt < maxSilence;
        const bool isSameZone = peer.zone == m_context.options.zone.str();
        count += isAlive && isSameZone && matches(node, peer) ? 1 : 0;
    });
    return count;
}

template <typename Matches>
std::size_t ReaderRole::countPreceding(Matches matches) const
{
    return countInZone(readerDigestTimeout, [&](const NodeId &node, const PeerTable::Peer &peer) {
        return node < m_context.options.node && matches(peer);
    });
}

std::size_t ReaderRole::precedingReaders() const
{
    return countPreceding(
        [](const PeerTable::Peer &peer) { return peer.isReadingPlatform && !peer.isLeaving; });
}

std::size_t ReaderRole::precedingNodes() const
{
    return countPreceding([](const PeerTable::Peer &) { return true; });
}

} // namespace berylridge
