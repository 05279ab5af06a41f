// Fleet membership without a VM list: nodes discover each other through a few seed addresses and
// through the peer lists in each other's load digests.
#pragma once

#include "berylridge/Fleet/BalancerMessages.h"
#include "berylridge/Support/Endpoint.h"
#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace berylridge {

struct PeerTableOptions
{
    NodeId self;
    ZoneId zone;
    Endpoint endpoint;           ///< Endpoint at which other nodes reach this one.
    std::vector<Endpoint> seeds; ///< Some may be stale or down; this node's own may be included.
    Duration digestPeriod = std::chrono::milliseconds(100);
};

/// Not thread-safe.
class PeerTable
{
public:
    /// A node counts as live if a digest from it arrived within this time. That is the time of five
    /// digests, each of which may be lost.
    static constexpr Duration liveTimeout = std::chrono::milliseconds(1000);
    /// The same for a node of another zone in a fleet that uses zone summaries.
    static constexpr Duration remoteLiveTimeout = std::chrono::seconds(5);
    /// For this long, a silent node still counts when a fleet-wide limit is divided among nodes,
    /// because it may still use its share behind a network partition.
    static constexpr Duration limitShareTimeout = std::chrono::seconds(10);
    /// After this time a silent node is removed, since its address may belong to another node.
    static constexpr Duration removalTimeout = std::chrono::seconds(60);
    /// Maximum number of peers that receive a digest in one period, so that the cost per node does
    /// not grow with the fleet. A fleet with more peers uses zone summaries: a node sends its own
    /// digests to the nodes of its zone only.
    static constexpr std::size_t fanOut = 14;
    /// Number of nodes of other zones that receive a summary of this node's zone in one period, and
    /// maximum number of periods in which one node of each other zone receives one.
    static constexpr std::size_t minRemoteFanOut = 2;
    static constexpr std::size_t maxRemotePeriods = 4;

    struct Peer
    {
        std::string zone;
        Endpoint endpoint;
        Incarnation incarnation = 0;
        std::optional<TimePoint> lastMessageAt; ///< Empty if it is known from peer lists only.
        TimePoint lastListedAt {};              ///< When a peer list last contained it.
        bool isLeaving = false;
        bool isReadingPlatform = false;   ///< Whether it reads the platform's state successfully.
        bool isCallingPlatform = false;   ///< Whether it sends requests to the platform.
        bool keepsVersionHistory = false; ///< See LoadDigest.
        std::uint8_t rotation = 0;        ///< Its RotationState; other values count as In.
    };

    explicit PeerTable(PeerTableOptions options);

    /// Records a digest. Returns false if it comes from an earlier incarnation of the node and must
    /// be ignored.
    bool onMessageReceived(const NodeId &node, Incarnation incarnation, const LoadDigest &digest,
                           TimePoint now);
    void removeSilent(TimePoint now);
    void setSeeds(std::vector<Endpoint> seeds) { m_options.seeds = std::move(seeds); }
    /// Extends all silence timeouts by a pause of this process, during which it received nothing.
    void onProcessResumed(Duration gap);

    /// Returns whether the fleet is so large that nodes of other zones receive summaries.
    bool usesZoneSummaries() const { return m_peers.size() > fanOut; }
    using Receivers = std::vector<std::pair<NodeId, Endpoint>>;
    /// Returns the receivers of this period's digest.
    Receivers nextReceivers(TimePoint now);
    /// Returns the receivers of this period's zone summary. The nodes of a zone take turns by the
    /// time of day, so that together they reach each node of the other zones at about equal
    /// intervals. A node whose clock is off only reaches some of them at other times.
    Receivers remoteReceivers(WallTime wall) const;
    /// Returns one live node of each other zone, another one each time. In a small fleet, whose
    /// digests reach all zones, there are none.
    Receivers zoneRelays(TimePoint now);
    /// Returns the nodes that keep a record for this node, by rendezvous hashing of the record's
    /// key: usually two of the own zone and one of another.
    Receivers recordHolders(std::uint64_t key, TimePoint now) const;
    /// Returns the nodes that probably keep a record with this key, of whichever node.
    Receivers recordHoldersToAsk(std::uint64_t key, TimePoint now) const;
    /// Returns live nodes that keep a history of software versions: one of the own zone and one of
    /// the others, as the key selects them.
    Receivers versionHistoryKeepers(std::uint64_t key, TimePoint now) const;
    /// Calls visit(node, peer) for each node that receives this node's digests.
    template <typename Visit>
    void forEachDigestReceiver(Visit visit) const
    {
        for (const auto &[node, peer] : m_peers) {
            if (isDigestReceiver(peer))
                visit(node, peer);
        }
    }
    /// Returns the number of periods within which each receiver of digests is one once.
    unsigned periodsPerRotation() const;
    /// Returns the number of periods within which one node of each other zone receives a summary
    /// from this node.
    unsigned periodsPerRemoteRotation() const;
    /// Returns the time within which each receiver of digests receives one.
    Duration rotationTime() const { return m_options.digestPeriod * periodsPerRotation(); }
    /// Returns whether a digest from any other node has arrived.
    bool hasReceivedDigest() const
    {
        return std::any_of(m_peers.begin(), m_peers.end(), [](const auto &entry) {
            return entry.second.lastMessageAt.has_value();
        });
    }
    /// Returns the number of other nodes that this node knows, live or not.
    std::size_t size() const { return m_peers.size(); }
    /// Returns the next live nodes in rotation, for the peer lists that nodes send each other.
    std::vector<PeerEntry> nextLiveEntries(std::size_t maxCount, TimePoint now);

    /// Returns the nodes of the zone and at most `maxOthers` others, for a node of the zone that
    /// has just started.
    std::vector<PeerEntry> entriesFor(const std::string &zone, std::size_t maxOthers,
                                      TimePoint now);

    bool isLive(const Peer &peer, TimePoint now) const;
    /// Returns whether the peer counts when a fleet-wide limit is divided among nodes. In a large
    /// fleet, peer lists report the nodes of other zones more often than these send messages.
    bool hasLimitShare(const Peer &peer, TimePoint now) const
    {
        const TimePoint reportedAt = lastReportedAt(peer);
        return reportedAt > TimePoint {} && now - reportedAt < limitShareTimeout;
    }
    const Peer *find(const NodeId &node) const;
    /// Calls visit(node, peer) for each known node.
    template <typename Visit>
    void forEach(Visit visit) const
    {
        for (const auto &[node, peer] : m_peers)
            visit(node, peer);
    }
    /// Returns the number of nodes that share a fleet-wide limit: this node and the peers with
    /// hasLimitShare(). It is at least two, so that a node that has not received any digest yet
    /// does not take a whole limit for itself.
    std::size_t limitShareCount(TimePoint now) const;
    /// Returns the number of live nodes, including this one.
    std::size_t liveCount(TimePoint now) const;
    /// Returns whether digests from another zone arrived before and have now stopped from all of
    /// its nodes.
    bool isZoneSilent(const std::string &zone, TimePoint now) const;

private:
    struct OwnZone
    {
        std::size_t peers = 0;
        std::size_t precedingPeers = 0; ///< Those whose ids precede this node's.
    };
    using ZonePeers = std::map<std::string, std::vector<std::map<NodeId, Peer>::const_iterator>>;

    static PeerEntry entryOf(const NodeId &node, const Peer &peer)
    {
        return {node.str(), peer.zone, peer.endpoint.address, peer.endpoint.port};
    }
    static TimePoint lastReportedAt(const Peer &peer)
    {
        return std::max(peer.lastMessageAt.value_or(peer.lastListedAt), peer.lastListedAt);
    }
    bool isDigestReceiver(const Peer &peer) const
    {
        return !usesZoneSummaries() || peer.zone == m_options.zone.str();
    }
    std::vector<std::string> rankedOtherZones(std::uint64_t key) const;
    void addRankedNodes(const std::string &zone, std::uint64_t key, std::size_t count,
                        bool includesLeaving, TimePoint now, Receivers &receivers) const;
    std::size_t digestReceiverCount() const;
    OwnZone ownZone() const;
    ZonePeers remotePeers() const;
    static std::size_t remoteFanOut(std::size_t zones)
    {
        return std::max(minRemoteFanOut, (zones + maxRemotePeriods - 1) / maxRemotePeriods);
    }
    Duration zoneSilenceTimeout() const;
    void addNextSeed(Receivers &receivers, TimePoint now);

    PeerTableOptions m_options;
    std::size_t m_nextSeed = 0;  ///< Position in the options' seeds.
    std::size_t m_nextRelay = 0; ///< Selects the nodes that zoneRelays() returns.
    NodeId m_lastReceiver;       ///< Last receiver of the previous period's digest.
    NodeId m_lastListed;         ///< Last node that was put into a peer list.
    std::map<NodeId, Peer> m_peers;
};

} // namespace berylridge
