// Tracks each target's load over the whole fleet: exact counts of this node's own requests, plus
// the loads in the other nodes' latest digests, plus the summaries of other zones.
//
// Designed for fleets of hundreds of nodes, in which a node hears of each other one only every few
// seconds. Many nodes would select the same target that was idle then. With summaries, a node hears
// of each other zone several times a second, however many nodes the zone has.
#pragma once

#include "berylridge/Policy/PromptCacheDirectory.h"
#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylridge {

struct TargetLoad
{
    std::uint32_t running = 0;
    std::uint64_t tokens = 0; ///< Prompt tokens that are not read yet.

    void add(const TargetLoad &other)
    {
        running += other.running;
        tokens += other.tokens;
    }
    void subtract(const TargetLoad &other)
    {
        running -= other.running;
        tokens -= other.tokens;
    }
};

/// This class is not thread-safe.
class TargetLoads
{
public:
    /// A node's digest is dropped after this time: its requests have ended since, or the node has.
    static constexpr Duration digestLifetime = std::chrono::milliseconds(1500);

    void begin(TargetKey target, std::uint32_t tokens);
    /// Records that the request's first event arrived, so its prompt has been read.
    void onPromptRead(TargetKey target, std::uint32_t tokens);
    void end(TargetKey target);

    struct RemoteEntry
    {
        TargetKey target = 0;
        TargetLoad load;
    };
    void onDigest(const NodeId &node, std::vector<RemoteEntry> entries, TimePoint now);
    /// Drops what the node's last digest contained.
    void forgetNode(const NodeId &node);
    /// An inclusive range of targets' keys.
    struct TargetRange
    {
        TargetKey first = 0;
        TargetKey last = 0;
    };
    /// Replaces the zone's loads on all targets of the range.
    void onZoneSummary(const std::string &zone, TargetRange range,
                       std::span<const RemoteEntry> entries, TimePoint now);
    void expire(TimePoint now);

    /// Sums of several nodes' loads, ordered by target.
    struct Sum
    {
        std::size_t nodes = 0;
        std::map<TargetKey, TargetLoad> loads;
    };
    /// Returns the sum of this node's loads and those in the digests of the nodes for which
    /// `isIncluded(node)` is true.
    template <typename IsIncluded>
    Sum sumOfNodes(IsIncluded isIncluded) const
    {
        Sum sum;
        sum.nodes = 1;
        for (const auto &[target, load] : m_own)
            sum.loads[target].add(load);
        for (const auto &[node, remote] : m_remotes) {
            if (!isIncluded(node))
                continue;
            ++sum.nodes;
            for (const RemoteEntry &entry : remote.entries)
                sum.loads[entry.target].add(entry.load);
        }
        return sum;
    }

    TargetLoad own(TargetKey target) const;
    /// Returns the load over all nodes.
    TargetLoad total(TargetKey target) const;
    const std::unordered_map<TargetKey, TargetLoad> &allOwn() const { return m_own; }

private:
    struct Remote
    {
        std::vector<RemoteEntry> entries;
        TimePoint digestReceivedAt;
    };

    struct ZoneEntry
    {
        TargetLoad load;
        TimePoint receivedAt;
    };
    using ZoneLoads = std::map<TargetKey, ZoneEntry>;

    void subtract(const Remote &remote);

    std::unordered_map<TargetKey, TargetLoad> m_own;
    std::unordered_map<TargetKey, TargetLoad> m_remoteSums;
    std::map<NodeId, Remote> m_remotes;
    std::map<std::string, ZoneLoads> m_zones; ///< Keyed by the zone's name.
};

} // namespace berylridge
