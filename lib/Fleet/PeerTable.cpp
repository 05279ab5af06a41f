#include "berylridge/Fleet/PeerTable.h"

#include <algorithm>
#include <utility>

namespace berylridge {

namespace {

/// A zone counts as silent once no digest arrived from any of its nodes for this long. That is the
/// time of three digests from each node.
constexpr Duration zoneSilenceTimeout = std::chrono::milliseconds(700);
constexpr std::size_t minLimitShareCount = 2;

} // namespace

PeerTable::PeerTable(PeerTableOptions options)
    : m_options(std::move(options))
    // Each node starts its rotation at its own id, so that one period's digests are spread over all
    // receivers.
    , m_lastReceiver(m_options.self)
{
}

bool PeerTable::onMessageReceived(const NodeId &node, Incarnation incarnation,
                                  const LoadDigest &digest, TimePoint now)
{
    if (node == m_options.self)
        return false;
    Peer &peer = m_peers[node];
    if (incarnation < peer.incarnation)
        return false;
    peer.incarnation = incarnation;
    peer.zone = digest.zone;
    peer.endpoint = {digest.address, digest.port};
    peer.lastMessageAt = now;
    peer.isLeaving = digest.isLeaving;
    peer.isReadingPlatform = digest.isReadingPlatform;
    for (const PeerEntry &entry : digest.peers) {
        const NodeId named(entry.node);
        if (named == m_options.self)
            continue;
        Peer &other = m_peers[named];
        other.lastListedAt = now;
        if (other.lastMessageAt)
            continue;
        other.zone = entry.zone;
        other.endpoint = {entry.address, entry.port};
    }
    return true;
}

void PeerTable::removeSilent(TimePoint now)
{
    std::erase_if(m_peers, [&](const auto &entry) {
        const Peer &peer = entry.second;
        const TimePoint last
            = std::max(peer.lastMessageAt.value_or(peer.lastListedAt), peer.lastListedAt);
        return now - last > removalTimeout;
    });
}

void PeerTable::onProcessResumed(Duration gap)
{
    for (auto &[node, peer] : m_peers) {
        if (peer.lastMessageAt)
            *peer.lastMessageAt += gap;
        peer.lastListedAt += gap;
    }
}

std::vector<std::pair<NodeId, Endpoint>> PeerTable::nextReceivers(TimePoint now)
{
    std::vector<std::pair<NodeId, Endpoint>> receivers;
    // Receivers rotate instead of being chosen at random. With 73 peers, each peer receives a
    // digest every 0.6 s and its knowledge of this node is 0.3 s old on average. With random choice
    // the mean age is twice that, and one peer in fifteen takes this node for silent.
    const std::size_t count = std::min(fanOut, m_peers.size());
    auto next = m_peers.upper_bound(m_lastReceiver);
    while (receivers.size() < count) {
        if (next == m_peers.end())
            next = m_peers.begin();
        receivers.emplace_back(next->first, next->second.endpoint);
        m_lastReceiver = next->first;
        ++next;
    }
    // Seeds that are not live peers receive a digest too: this node may be new, or the nodes that
    // it knows may be a part of the fleet that was started separately.
    for (const Endpoint &seed : m_options.seeds) {
        const bool isKnown = seed == m_options.endpoint
            || std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
                                 return entry.second.endpoint == seed && isLive(entry.second, now);
                             });
        if (!isKnown)
            receivers.emplace_back(NodeId(), seed);
    }
    return receivers;
}

unsigned PeerTable::periodsPerRotation() const
{
    const std::size_t periods = (m_peers.size() + fanOut - 1) / fanOut;
    return static_cast<unsigned>(std::max<std::size_t>(periods, 1));
}

std::vector<PeerEntry> PeerTable::nextLiveEntries(std::size_t maxCount, TimePoint now)
{
    std::vector<PeerEntry> entries;
    auto next = m_peers.upper_bound(m_lastListed);
    for (std::size_t i = 0; i < m_peers.size() && entries.size() < maxCount; ++i, ++next) {
        if (next == m_peers.end())
            next = m_peers.begin();
        const auto &[node, peer] = *next;
        m_lastListed = node;
        if (isLive(peer, now))
            entries.push_back({node.str(), peer.zone, peer.endpoint.address, peer.endpoint.port});
    }
    return entries;
}

bool PeerTable::isLive(const Peer &peer, TimePoint now) const
{
    return peer.lastMessageAt && now - *peer.lastMessageAt < liveTimeout;
}

const PeerTable::Peer *PeerTable::find(const NodeId &node) const
{
    const auto found = m_peers.find(node);
    return found == m_peers.end() ? nullptr : &found->second;
}

std::size_t PeerTable::limitShareCount(TimePoint now) const
{
    const auto peerCount = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        return hasLimitShare(entry.second, now);
    });
    return std::max(minLimitShareCount, static_cast<std::size_t>(peerCount) + 1);
}

std::size_t PeerTable::liveCount(TimePoint now) const
{
    const auto peerCount = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        return isLive(entry.second, now);
    });
    return static_cast<std::size_t>(peerCount) + 1;
}

bool PeerTable::isZoneSilent(const std::string &zone, TimePoint now) const
{
    if (zone == m_options.zone.str())
        return false;
    bool hasCountedNode = false;
    for (const auto &[node, peer] : m_peers) {
        if (peer.zone != zone || !peer.lastMessageAt || peer.isLeaving)
            continue;
        if (now - *peer.lastMessageAt < zoneSilenceTimeout)
            return false;
        hasCountedNode = hasCountedNode || hasLimitShare(peer, now);
    }
    return hasCountedNode;
}

} // namespace berylridge
