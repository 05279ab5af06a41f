#include "ReaderRole.h"

#include <algorithm>

namespace berylridge {

namespace {

/// One reader may fail at any moment, and updates must not wait until another node detects that.
constexpr std::size_t readersPerZone = 2;
/// A starting node that learns from a digest that newer state exists requests it and receives
/// it within two digests. After this time it reads from the platform itself.
constexpr Duration peerStateTimeout = std::chrono::milliseconds(700);
/// Updates reach a node through its peers within three digests. A node that is behind for longer is
/// not reached by its peers, for example because of a one-way network partition, and reads from the
/// platform itself for at least minReadTime.
constexpr Duration maxTimeBehind = std::chrono::milliseconds(600);
constexpr Duration minReadTime = std::chrono::seconds(5);
/// A reader whose digests have been missing for this long is not counted. In a fleet of 300 nodes,
/// a node receives a digest from a given other node of its zone every 1.6 s.
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
    // After all nodes were killed, no node knows any state. Callers arrive as soon as a node is up.
    // If nodes rejected them while waiting for peers, the callers would retry at the same time and
    // overload the targets.
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
        const bool isAlive
            = peer.lastMessageAt && m_context.now - *peer.lastMessageAt < readerDigestTimeout;
        const bool isSameZone = peer.zone == m_context.options.zone.str();
        count += isAlive && isSameZone && node < m_context.options.node && matches(peer) ? 1 : 0;
    });
    return count;
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
