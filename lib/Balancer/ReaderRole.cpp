#include "ReaderRole.h"

#include <algorithm>

namespace berylridge {

namespace {

/// One may be lost at any moment, and news must not wait for the next to notice.
constexpr std::size_t readersPerZone = 2;
/// A node that starts and hears of a state asks for it, and is answered within two digests; after
/// this it reads by itself.
constexpr Duration firstWait = std::chrono::milliseconds(700);
/// News reach a node through its peers within three digests. One that lags for longer is not
/// reached by them, as behind a cut in one direction, and has to read by itself, for so long at
/// least.
constexpr Duration behindLimit = std::chrono::milliseconds(600);
constexpr Duration holdTime = std::chrono::seconds(5);
/// A reader whose digests have been missing for so long is not counted. In a fleet of 300 a node
/// hears another of its zone every 1.6 s.
constexpr Duration heardLimit = std::chrono::milliseconds(3000);
/// Nodes further back in the order wait so much longer each before they read, so that an outage of
/// the platform, which silences all readers, does not make all nodes call it at once.
constexpr Duration waitPerRank = std::chrono::milliseconds(500);
/// A reader too many goes on so long, so that lost digests don't make nodes begin and cease by
/// turns.
constexpr Duration enoughLimit = std::chrono::seconds(2);

} // namespace

void ReaderRole::onPeerState(std::uint64_t catalogVersion, std::uint64_t directoryRevision)
{
    m_seenVersion = std::max(m_seenVersion, catalogVersion);
    m_seenRevision = std::max(m_seenRevision, directoryRevision);
}

bool ReaderRole::isStuckBehind()
{
    const std::uint64_t version = m_context.table ? m_context.table->catalog().version : 0;
    const std::uint64_t revision = m_context.directory.revision();
    const bool isProgress = version != m_ownVersion || revision != m_ownRevision;
    m_ownVersion = version;
    m_ownRevision = revision;
    const bool isBehind = version < m_seenVersion || revision < m_seenRevision;
    if (!isBehind)
        m_behindSince.reset();
    else if (isProgress || !m_behindSince)
        m_behindSince = m_context.now;
    return isBehind && m_context.now - *m_behindSince >= behindLimit;
}

bool ReaderRole::decide()
{
    m_isReading = wants();
    return m_isReading;
}

bool ReaderRole::wants()
{
    const TimePoint now = m_context.now;
    const bool knowsState = m_context.table && m_context.directory.revision() > 0;
    // After all nodes were killed nobody knows a state. Callers come as soon as a node is up, and
    // those whom it turns away as it waits for its peers come back together, more than the targets
    // bear at once.
    const bool isAnyKnown = m_seenVersion > 0 && m_seenRevision > 0;
    if (!knowsState)
        return !isAnyKnown || m_isReading || now - m_startedAt >= firstWait;
    if (isStuckBehind())
        m_holdUntil = now + holdTime;
    if (now < m_holdUntil)
        return true;
    if (readersBefore() >= readersPerZone) {
        m_shortSince.reset();
        m_enoughSince = m_enoughSince.value_or(now);
        return m_isReading && now - *m_enoughSince < enoughLimit;
    }
    m_enoughSince.reset();
    m_shortSince = m_shortSince.value_or(now);
    const std::size_t rank = nodesBefore();
    const std::size_t extra = rank < readersPerZone ? 0 : rank - readersPerZone + 1;
    return m_isReading || now - *m_shortSince >= waitPerRank * static_cast<int>(extra);
}

template <typename Matches>
std::size_t ReaderRole::countBefore(Matches matches) const
{
    std::size_t count = 0;
    m_context.peers.forEach([&](const NodeId &node, const PeerTable::Peer &peer) {
        const bool isHeard = peer.heardAt && m_context.now - *peer.heardAt < heardLimit;
        const bool isOfZone = peer.zone == m_context.options.zone.str();
        count += isHeard && isOfZone && node < m_context.options.node && matches(peer) ? 1 : 0;
    });
    return count;
}

std::size_t ReaderRole::readersBefore() const
{
    return countBefore(
        [](const PeerTable::Peer &peer) { return peer.isReading && !peer.isLeaving; });
}

std::size_t ReaderRole::nodesBefore() const
{
    return countBefore([](const PeerTable::Peer &) { return true; });
}

} // namespace berylridge
