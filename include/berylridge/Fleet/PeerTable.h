// Fleet membership without a VM list: nodes discover each other through a few seed addresses and
// through the peer lists in each other's load digests.
#pragma once

#include "berylridge/Fleet/BalancerMessages.h"
#include "berylridge/Support/Endpoint.h"
#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylridge {

struct PeerTableOptions
{
    NodeId self;
    ZoneId zone;
    Endpoint endpoint;           ///< Endpoint at which other nodes reach this one.
    std::vector<Endpoint> seeds; ///< Some may be stale or down; this node's own may be included.
};

/// Not thread-safe.
class PeerTable
{
public:
    /// A node counts as live if a digest from it arrived within this time. That is the time of five
    /// digests, each of which may be lost.
    static constexpr Duration liveTimeout = std::chrono::milliseconds(1000);
    /// For this long, a silent node still counts when a fleet-wide limit is divided among nodes,
    /// because it may still use its share behind a network partition.
    static constexpr Duration limitShareTimeout = std::chrono::seconds(10);
    /// After this time a silent node is removed, since its address may belong to another node.
    static constexpr Duration removalTimeout = std::chrono::seconds(60);
    /// Number of peers that receive a digest in one period. With a fixed number, the cost per node
    /// does not grow with the fleet; the age of the nodes' knowledge of each other grows instead.
    static constexpr std::size_t fanOut = 12;

    struct Peer
    {
        std::string zone;
        Endpoint endpoint;
        Incarnation incarnation = 0;
        std::optional<TimePoint> lastMessageAt; ///< Empty if it is known from peer lists only.
        TimePoint lastListedAt;                 ///< When a peer list last contained it.
        bool isLeaving = false;
        bool isReadingPlatform = false; ///< Whether it reads the platform's state successfully.
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

    /// Returns the receivers of this period's digest.
    std::vector<std::pair<NodeId, Endpoint>> nextReceivers(TimePoint now);
    /// Returns the number of periods within which each peer is a receiver once.
    unsigned periodsPerRotation() const;
    /// Returns the next live nodes in rotation, for the peer lists that nodes send each other.
    std::vector<PeerEntry> nextLiveEntries(std::size_t maxCount, TimePoint now);

    bool isLive(const Peer &peer, TimePoint now) const;
    /// Returns whether the peer counts when a fleet-wide limit is divided among nodes.
    bool hasLimitShare(const Peer &peer, TimePoint now) const
    {
        return peer.lastMessageAt && now - *peer.lastMessageAt < limitShareTimeout;
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
    PeerTableOptions m_options;
    NodeId m_lastReceiver; ///< Last receiver of the previous period's digest.
    NodeId m_lastListed;   ///< Last node that was put into a peer list.
    std::map<NodeId, Peer> m_peers;
};

} // namespace berylridge
