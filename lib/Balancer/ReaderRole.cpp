#include "ReaderRole.h"

#include <algorithm>

namespace berylridge {

namespace {

/// One may be lost at any moment, and news must not wait for the next to notice.
constexpr std::size_t readersPerZone = 2;
/// A node that starts and hears of a state asks for it, and is answered within two digests; after
/// this it reads by itself.
constexpr Duration peerStateTimeout = std::chrono::milliseconds(700);
/// News reach a node through its peers within three digests. One that lags for longer is not
/// reached by them, as behind a cut in one direction, and has to read by itself, for so long at
/// least.
constexpr Duration maxTimeBehind = std::chrono::milliseconds(600);
constexpr Duration minReadTime = std::chrono::seconds(5);
/// A reader whose digests have been missing for so long is not counted. In a fleet of 300 a node
/// hears another of its zone every 1.6 s.
constexpr Duration readerDigestTimeout = std::chrono::milliseconds(3000);
/// Nodes further back in the order wait so much longer each before they read, so that an outage of
/// the platform, which silences all readers, does not make all nodes call it at once.
constexpr Duration takeoverDelayPerRank = std::chrono::milliseconds(500);
/// A reader too many goes on so long, so that lost digests don't make nodes begin and cease by
/// turns.
constexpr Duration surplusReaderTimeout = std::chrono::seconds(2);

} // namespace

void ReaderRole::onPeerState(std::uint64_t catalogVersion, std::uint64_t directoryRevision)
{
    m_newestPeerVersion = std::max(m_newestPeerVersion, catalogVersion);
    m_newestPeerRevision = std::max(m_newestPeerRevision, directoryRevision);
}

bool ReaderRole::isPersistentlyBehind()
{
    const std::uint64_t version
        = m_context.routeTable ? m_context.routeTable->catalog().version : 0;
    const std::uint64_t revision = m_context.directory.revision();
    const bool isProgress = version != m_ownVersion || revision != m_ownRevision;
    m_ownVersion = version;
    m_ownRevision = revision;
    const bool isBehind = version < m_newestPeerVersion || revision < m_newestPeerRevision;
    if (!isBehind)
        m_behindSince.reset();
    else if (isProgress || !m_behindSince)
        m_behindSince = m_context.now;
    return isBehind && m_context.now - *m_behindSince >= maxTimeBehind;
}

bool ReaderRole::update()
{
    m_isReading = shouldRead();
    return m_isReading;
}

bool ReaderRole::shouldRead()
{
    const TimePoint now = m_context.now;
    const bool knowsState = m_context.routeTable && m_context.directory.revision() > 0;
    // After all nodes were killed nobody knows a state. Callers come as soon as a node is up, and
    // those whom it turns away as it waits for its peers come back together, more than the targets
    // bear at once.
    const bool isStateKnownToPeers = m_newestPeerVersion > 0 && m_newestPeerRevision > 0;
    if (!knowsState)
        return !isStateKnownToPeers || m_isReading || now - m_startedAt >= peerStateTimeout;
    if (isPersistentlyBehind())
        m_mustReadUntil = now + minReadTime;
    if (now < m_mustReadUntil)
        return true;
    if (precedingReaders() >= readersPerZone) {
        m_tooFewReadersSince.reset();
        m_enoughReadersSince = m_enoughReadersSince.value_or(now);
        return m_isReading && now - *m_enoughReadersSince < surplusReaderTimeout;
    }
    m_enoughReadersSince.reset();
    m_tooFewReadersSince = m_tooFewReadersSince.value_or(now);
    const std::size_t rank = precedingNodes();
    const std::size_t extra = rank < readersPerZone ? 0 : rank - readersPerZone + 1;
    return m_isReading
        || now - *m_tooFewReadersSince >= takeoverDelayPerRank * static_cast<int>(extra);
}

template <typename Matches>
std::size_t ReaderRole::countPreceding(Matches matches) const
{
    std::size_t count = 0;
    m_context.peers.forEach([&](const NodeId &node, const PeerTable::Peer &peer) {
        const bool isAlive = peer.heardAt && m_context.now - *peer.heardAt < readerDigestTimeout;
        const bool isSameZone = peer.zone == m_context.options.zone.str();
        count += isAlive && isSameZone && node < m_context.options.node && matches(peer) ? 1 : 0;
    });
    return count;
}

std::size_t ReaderRole::precedingReaders() const
{
    return countPreceding(
        [](const PeerTable::Peer &peer) { return peer.isReading && !peer.isLeaving; });
}

std::size_t ReaderRole::precedingNodes() const
{
    return countPreceding([](const PeerTable::Peer &) { return true; });
}

} // namespace berylridge
