#include "berylridge/Fleet/PeerTable.h"

#include <algorithm>
#include <utility>

namespace berylridge {

namespace {

/// All nodes of a zone silent for so long: three digests from each would have to be lost.
constexpr Duration zoneSilentLimit = std::chrono::milliseconds(700);
constexpr std::size_t countedLeast = 2;

} // namespace

PeerTable::PeerTable(PeerTableOptions options)
    : m_options(std::move(options))
    // Nodes begin at themselves, so that a period's digests spread over all receivers.
    , m_lastReceiver(m_options.self)
{
}

bool PeerTable::onHeard(const NodeId &node, Incarnation incarnation, const LoadDigest &digest,
                        TimePoint now)
{
    if (node == m_options.self)
        return false;
    Peer &peer = m_peers[node];
    if (incarnation < peer.incarnation)
        return false;
    peer.incarnation = incarnation;
    peer.zone = digest.zone;
    peer.endpoint = {digest.address, digest.port};
    peer.heardAt = now;
    peer.isLeaving = digest.isLeaving;
    peer.isReading = digest.isReading;
    for (const PeerEntry &entry : digest.peers) {
        const NodeId named(entry.node);
        if (named == m_options.self)
            continue;
        Peer &other = m_peers[named];
        other.listedAt = now;
        if (other.heardAt)
            continue;
        other.zone = entry.zone;
        other.endpoint = {entry.address, entry.port};
    }
    return true;
}

void PeerTable::forgetSilent(TimePoint now)
{
    std::erase_if(m_peers, [&](const auto &entry) {
        const Peer &peer = entry.second;
        const TimePoint last = std::max(peer.heardAt.value_or(peer.listedAt), peer.listedAt);
        return now - last > forgetLimit;
    });
}

void PeerTable::onWoke(Duration gap)
{
    for (auto &[node, peer] : m_peers) {
        if (peer.heardAt)
            *peer.heardAt += gap;
        peer.listedAt += gap;
    }
}

std::vector<std::pair<NodeId, Endpoint>> PeerTable::nextReceivers(TimePoint now)
{
    std::vector<std::pair<NodeId, Endpoint>> receivers;
    // In turn, not at random: with 73 peers each hears from this node every 0.6 s, and what it
    // knows is 0.3 s old on average; at random the mean age is twice that, and one in fifteen is
    // given up.
    const std::size_t count = std::min(fanOut, m_peers.size());
    auto next = m_peers.upper_bound(m_lastReceiver);
    while (receivers.size() < count) {
        if (next == m_peers.end())
            next = m_peers.begin();
        receivers.emplace_back(next->first, next->second.endpoint);
        m_lastReceiver = next->first;
        ++next;
    }
    // A node that hears few others asks the seeds: it may be new, or its part of the fleet may be.
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

unsigned PeerTable::periodsPerTurn() const
{
    const std::size_t periods = (m_peers.size() + fanOut - 1) / fanOut;
    return static_cast<unsigned>(std::max<std::size_t>(periods, 1));
}

std::vector<PeerEntry> PeerTable::someLiveEntries(std::size_t most, TimePoint now)
{
    std::vector<PeerEntry> entries;
    auto next = m_peers.upper_bound(m_lastListed);
    for (std::size_t i = 0; i < m_peers.size() && entries.size() < most; ++i, ++next) {
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
    return peer.heardAt && now - *peer.heardAt < liveLimit;
}

const PeerTable::Peer *PeerTable::find(const NodeId &node) const
{
    const auto found = m_peers.find(node);
    return found == m_peers.end() ? nullptr : &found->second;
}

std::size_t PeerTable::counted(TimePoint now) const
{
    const auto heard = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        return isCounted(entry.second, now);
    });
    return std::max(countedLeast, static_cast<std::size_t>(heard) + 1);
}

std::size_t PeerTable::live(TimePoint now) const
{
    const auto heard = std::count_if(m_peers.begin(), m_peers.end(),
                                     [&](const auto &entry) { return isLive(entry.second, now); });
    return static_cast<std::size_t>(heard) + 1;
}

bool PeerTable::isZoneSilent(const std::string &zone, TimePoint now) const
{
    if (zone == m_options.zone.str())
        return false;
    bool isAnyHeard = false;
    for (const auto &[node, peer] : m_peers) {
        if (peer.zone != zone || !peer.heardAt || peer.isLeaving)
            continue;
        if (now - *peer.heardAt < zoneSilentLimit)
            return false;
        isAnyHeard = isAnyHeard || isCounted(peer, now);
    }
    return isAnyHeard;
}

} // namespace berylridge
