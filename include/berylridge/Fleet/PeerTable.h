// Who belongs to the fleet where no VM list is published: nodes that were heard, found through a
// few seed addresses and through each other's lists.
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
    Endpoint endpoint;           ///< Where other nodes reach this one.
    std::vector<Endpoint> seeds; ///< May be stale or down; this node's own may be among them.
};

/// Not safe for use by two threads at once.
class PeerTable
{
public:
    /// A node counts as liveCount while it was heard within this: five digests, of which each may
    /// be lost.
    static constexpr Duration liveTimeout = std::chrono::milliseconds(1000);
    /// A silent node counts for shares of fleet-wide limits so long: behind a partition it may
    /// still be using its part.
    static constexpr Duration limitShareTimeout = std::chrono::seconds(10);
    /// After this a silent node is forgotten; its address may be another's.
    static constexpr Duration removalTimeout = std::chrono::seconds(60);
    /// Peers that get a digest in one period. Cost per node stays the same as the fleet grows; the
    /// age of what nodes know of each other grows instead.
    static constexpr std::size_t fanOut = 12;

    struct Peer
    {
        std::string zone;
        Endpoint endpoint;
        Incarnation incarnation = 0;
        std::optional<TimePoint> lastMessageAt; ///< Nothing for one that is only known by name.
        TimePoint lastListedAt;                 ///< When another node last named it.
        bool isLeaving = false;
        bool isReadingPlatform = false; ///< Reads the platform's state with success.
    };

    explicit PeerTable(PeerTableOptions options);

    /// False for a message of an earlier run of the node, which must be ignored.
    bool onMessageReceived(const NodeId &node, Incarnation incarnation, const LoadDigest &digest,
                           TimePoint now);
    void removeSilent(TimePoint now);
    void setSeeds(std::vector<Endpoint> seeds) { m_options.seeds = std::move(seeds); }
    /// This process was paused: the others were not silent, it did not listen.
    void onProcessResumed(Duration gap);

    /// Whom to send a digest in this period.
    std::vector<std::pair<NodeId, Endpoint>> nextReceivers(TimePoint now);
    /// Periods in which each peer is a receiver once.
    unsigned periodsPerRotation() const;
    /// Some of the nodes that were heard lately, in turn, for the lists that nodes send each other.
    std::vector<PeerEntry> nextLiveEntries(std::size_t maxCount, TimePoint now);

    bool isLive(const Peer &peer, TimePoint now) const;
    /// Heard within limitShareTimeout.
    bool hasLimitShare(const Peer &peer, TimePoint now) const
    {
        return peer.lastMessageAt && now - *peer.lastMessageAt < limitShareTimeout;
    }
    const Peer *find(const NodeId &node) const;
    /// Calls visit(node, peer) for each node that is known.
    template <typename Visit>
    void forEach(Visit visit) const
    {
        for (const auto &[node, peer] : m_peers)
            visit(node, peer);
    }
    /// This node and all that were heard within limitShareTimeout; at least two, so that a node
    /// that has heard nobody yet doesn't take a limit's whole for itself.
    std::size_t limitShareCount(TimePoint now) const;
    std::size_t liveCount(TimePoint now) const;
    /// Whether all nodes of another zone that were heard before have fallen silent.
    bool isZoneSilent(const std::string &zone, TimePoint now) const;

private:
    PeerTableOptions m_options;
    NodeId m_lastReceiver; ///< Of the last period's digests.
    NodeId m_lastListed;   ///< Of the last list.
    std::map<NodeId, Peer> m_peers;
};

} // namespace berylridge
