#include "berylridge/Fleet/PeerTable.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <set>
#include <utility>

namespace berylridge {

namespace {

/// A zone counts as silent once no digest arrived from any of its nodes for this long. That is the
/// time of three digests from each node.
constexpr Duration minZoneSilenceTimeout = std::chrono::milliseconds(700);
/// In a fleet with many zones, the same for this many summaries from the zone.
constexpr std::int64_t summariesPerZoneSilence = 4;
/// A seed counts as known for this long after a digest from it or a peer list that contains it.
constexpr Duration seedReportTimeout = std::chrono::seconds(5);
constexpr std::size_t minLimitShareCount = 2;
/// Number of nodes that keep a record, and how many of them are in the zone of its sender.
constexpr std::size_t recordCopies = 3;
constexpr std::size_t recordCopiesInOwnZone = 2;

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
    peer.isCallingPlatform = digest.platform.waitingMs > 0;
    peer.keepsVersionHistory = digest.keepsVersionHistory;
    peer.rotation = digest.rotation;
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
        return now - lastReportedAt(peer) > removalTimeout;
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

PeerTable::Receivers PeerTable::nextReceivers(TimePoint now)
{
    Receivers receivers;
    // Receivers rotate instead of being chosen at random. With 42 receivers, each one receives a
    // digest every 0.3 s and its knowledge of this node is 0.15 s old on average. With random
    // choice the mean age is twice that.
    const std::size_t count = std::min(fanOut, digestReceiverCount());
    auto next = m_peers.upper_bound(m_lastReceiver);
    while (receivers.size() < count) {
        if (next == m_peers.end())
            next = m_peers.begin();
        if (isDigestReceiver(next->second)) {
            receivers.emplace_back(next->first, next->second.endpoint);
            m_lastReceiver = next->first;
        }
        ++next;
    }
    addNextSeed(receivers, now);
    return receivers;
}

/// A seed that is not a known live peer receives a digest too: this node may be new, or the nodes
/// that it knows may be a part of the fleet that was started separately.
void PeerTable::addNextSeed(Receivers &receivers, TimePoint now)
{
    const std::vector<Endpoint> &seeds = m_options.seeds;
    for (std::size_t i = 0; i < seeds.size(); ++i) {
        const Endpoint &seed = seeds[m_nextSeed++ % seeds.size()];
        const bool isKnown = seed == m_options.endpoint
            || std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
                                 return entry.second.endpoint == seed
                                     && now - lastReportedAt(entry.second) < seedReportTimeout;
                             });
        if (isKnown)
            continue;
        receivers.emplace_back(NodeId(), seed);
        return;
    }
}

std::size_t PeerTable::digestReceiverCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(),
                      [&](const auto &entry) { return isDigestReceiver(entry.second); }));
}

PeerTable::OwnZone PeerTable::ownZone() const
{
    OwnZone zone;
    for (const auto &[node, peer] : m_peers) {
        if (peer.zone != m_options.zone.str())
            continue;
        ++zone.peers;
        zone.precedingPeers += node < m_options.self ? 1 : 0;
    }
    return zone;
}

PeerTable::ZonePeers PeerTable::remotePeers() const
{
    ZonePeers zones;
    for (auto each = m_peers.begin(); each != m_peers.end(); ++each) {
        if (each->second.zone != m_options.zone.str())
            zones[each->second.zone].push_back(each);
    }
    return zones;
}

PeerTable::Receivers PeerTable::remoteReceivers(WallTime wall) const
{
    Receivers receivers;
    const ZonePeers zones = remotePeers();
    if (zones.empty())
        return receivers;
    const OwnZone own = ownZone();
    const std::size_t count = std::min(remoteFanOut(zones.size()), zones.size());
    const auto period = static_cast<std::size_t>(wall.time_since_epoch() / m_options.digestPeriod);
    // Each node of this zone starts at its own place, so that they select different receivers.
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t turn = period * count + i;
        const std::size_t zone = (turn + own.precedingPeers) % zones.size();
        const auto &nodes = std::next(zones.begin(), static_cast<std::ptrdiff_t>(zone))->second;
        const std::size_t start = own.precedingPeers * nodes.size() / (own.peers + 1);
        const std::size_t round = turn / zones.size();
        const auto &selected = nodes[(start + round) % nodes.size()];
        receivers.emplace_back(selected->first, selected->second.endpoint);
    }
    return receivers;
}

PeerTable::Receivers PeerTable::zoneRelays(TimePoint now)
{
    Receivers relays;
    if (!usesZoneSummaries())
        return relays;
    const std::size_t turn = m_nextRelay++;
    for (auto &[zone, nodes] : remotePeers()) {
        std::erase_if(nodes, [&](const auto &each) { return !isLive(each->second, now); });
        if (nodes.empty())
            continue;
        const auto &selected = nodes[turn % nodes.size()];
        relays.emplace_back(selected->first, selected->second.endpoint);
    }
    return relays;
}

/// Appends the zone's live nodes with the highest weights for the key.
void PeerTable::addRankedNodes(const std::string &zone, std::uint64_t key, std::size_t count,
                               bool includesLeaving, TimePoint now, Receivers &receivers) const
{
    std::vector<std::pair<std::uint64_t, std::map<NodeId, Peer>::const_iterator>> ranked;
    for (auto each = m_peers.begin(); each != m_peers.end(); ++each) {
        const Peer &peer = each->second;
        const bool isUsed
            = peer.zone == zone && isLive(peer, now) && (includesLeaving || !peer.isLeaving);
        if (isUsed)
            ranked.emplace_back(hash64(each->first.str(), key), each);
    }
    count = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    for (std::size_t i = 0; i < count; ++i)
        receivers.emplace_back(ranked[i].second->first, ranked[i].second->second.endpoint);
}

/// Returns the other zones, those with the highest weights for the key first.
std::vector<std::string> PeerTable::rankedOtherZones(std::uint64_t key) const
{
    std::set<std::string> zones;
    for (const auto &[node, peer] : m_peers) {
        if (peer.zone != m_options.zone.str())
            zones.insert(peer.zone);
    }
    std::vector<std::string> ranked(zones.begin(), zones.end());
    std::sort(ranked.begin(), ranked.end(), [key](const std::string &a, const std::string &b) {
        return hash64(a, key) > hash64(b, key);
    });
    return ranked;
}

PeerTable::Receivers PeerTable::recordHolders(std::uint64_t key, TimePoint now) const
{
    Receivers holders;
    addRankedNodes(m_options.zone.str(), key, recordCopiesInOwnZone, false, now, holders);
    for (const std::string &zone : rankedOtherZones(key)) {
        if (holders.size() >= recordCopies)
            break;
        addRankedNodes(zone, key, 1, false, now, holders);
    }
    return holders;
}

/// The sender of the record may be in any zone. Its first copy elsewhere is in the first zone of
/// the ranking, or in the second one if the sender is in the first.
PeerTable::Receivers PeerTable::recordHoldersToAsk(std::uint64_t key, TimePoint now) const
{
    constexpr std::size_t askedZones = 2;
    Receivers holders;
    addRankedNodes(m_options.zone.str(), key, recordCopiesInOwnZone, true, now, holders);
    const std::vector<std::string> zones = rankedOtherZones(key);
    for (std::size_t i = 0; i < std::min(askedZones, zones.size()); ++i)
        addRankedNodes(zones[i], key, recordCopiesInOwnZone, true, now, holders);
    return holders;
}

PeerTable::Receivers PeerTable::versionHistoryKeepers(std::uint64_t key, TimePoint now) const
{
    Receivers keepers;
    for (const bool isOwnZone : {true, false}) {
        auto selected = m_peers.end();
        for (auto each = m_peers.begin(); each != m_peers.end(); ++each) {
            const Peer &peer = each->second;
            const bool isKeeper = peer.keepsVersionHistory && isLive(peer, now)
                && (peer.zone == m_options.zone.str()) == isOwnZone;
            if (isKeeper
                && (selected == m_peers.end()
                    || hash64(each->first.str(), key) > hash64(selected->first.str(), key)))
                selected = each;
        }
        if (selected != m_peers.end())
            keepers.emplace_back(selected->first, selected->second.endpoint);
    }
    return keepers;
}

unsigned PeerTable::periodsPerRotation() const
{
    const std::size_t periods = (digestReceiverCount() + fanOut - 1) / fanOut;
    return static_cast<unsigned>(std::max<std::size_t>(periods, 1));
}

unsigned PeerTable::periodsPerRemoteRotation() const
{
    const std::size_t zones = remotePeers().size();
    const std::size_t periods = (zones + remoteFanOut(zones) - 1) / remoteFanOut(zones);
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
            entries.push_back(entryOf(node, peer));
    }
    return entries;
}

std::vector<PeerEntry> PeerTable::entriesFor(const std::string &zone, std::size_t maxOthers,
                                             TimePoint now)
{
    std::vector<PeerEntry> entries = nextLiveEntries(maxOthers, now);
    std::erase_if(entries, [&](const PeerEntry &entry) { return entry.zone == zone; });
    for (const auto &[node, peer] : m_peers) {
        if (peer.zone == zone && hasLimitShare(peer, now))
            entries.push_back(entryOf(node, peer));
    }
    return entries;
}

bool PeerTable::isLive(const Peer &peer, TimePoint now) const
{
    const Duration timeout = isDigestReceiver(peer) ? liveTimeout : remoteLiveTimeout;
    return peer.lastMessageAt && now - *peer.lastMessageAt < timeout;
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

Duration PeerTable::zoneSilenceTimeout() const
{
    if (!usesZoneSummaries())
        return minZoneSilenceTimeout;
    return std::max(minZoneSilenceTimeout,
                    m_options.digestPeriod * periodsPerRemoteRotation() * summariesPerZoneSilence);
}

bool PeerTable::isZoneSilent(const std::string &zone, TimePoint now) const
{
    if (zone == m_options.zone.str())
        return false;
    const Duration timeout = zoneSilenceTimeout();
    bool hasCountedNode = false;
    for (const auto &[node, peer] : m_peers) {
        if (peer.zone != zone || !peer.lastMessageAt || peer.isLeaving)
            continue;
        if (now - *peer.lastMessageAt < timeout)
            return false;
        hasCountedNode = hasCountedNode || hasLimitShare(peer, now);
    }
    return hasCountedNode;
}

} // namespace berylridge
