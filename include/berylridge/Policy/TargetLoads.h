// Tracks each target's load over the whole fleet: exact counts of this node's own requests, plus
// the loads in the other nodes' latest digests, plus the summaries of other zones.
//
// Designed for fleets of hundreds of nodes, in which a node hears of each other one only every few
// seconds. Many nodes would select the same target that was idle then. With summaries, a node hears
// of each other zone several times a second, however many nodes the zone has.
//
// A long prompt keeps a target busy for less time than it takes until the next digest reports it,
// and the short ones behind it start late. The other nodes' notices of such requests count until
// the next digest or until the target has probably processed them.
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
    /// A request that another node has just sent to a target.
    struct Notice
    {
        TargetKey target = 0;
        std::uint32_t tokens = 0;
        Duration wait {0}; ///< Expected time before the target starts to process it.
        Duration busy {0}; ///< Expected time that it then takes.
    };
    /// Counts the request until the node's next digest.
    void onNotice(const NodeId &node, const Notice &notice, TimePoint now);
    /// Counts the request of a node of another zone until the zone's next summary.
    void onZoneNotice(const std::string &zone, const Notice &notice, TimePoint now);
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
    Sum sumOfNodes(IsIncluded isIncluded, TimePoint now) const
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
        for (const auto &[target, noticed] : m_noticed) {
            for (const Noticed &each : noticed) {
                if (each.zone.empty() && isIncluded(each.node))
                    sum.loads[target].add(each.loadAt(now));
            }
        }
        return sum;
    }

    TargetLoad own(TargetKey target) const;
    /// Returns the load over all nodes.
    TargetLoad total(TargetKey target, TimePoint now) const;
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

    /// A notice that no digest or summary has replaced yet.
    struct Noticed
    {
        NodeId node;      ///< Empty if the node is in another zone.
        std::string zone; ///< Empty if the node sends digests to this one.
        std::uint32_t tokens = 0;
        Duration busy {0};
        TimePoint endsAt;

        /// Assumes that the target reads the prompt at a constant rate until endsAt.
        TargetLoad loadAt(TimePoint now) const;
    };

    void addNotice(const Notice &notice, Noticed noticed, TimePoint now);
    template <typename IsReplaced>
    void eraseNotices(IsReplaced isReplaced)
    {
        for (auto &entry : m_noticed) {
            const TargetKey target = entry.first;
            std::erase_if(entry.second,
                          [&](const Noticed &each) { return isReplaced(target, each); });
        }
    }

    void subtract(const Remote &remote);

    std::unordered_map<TargetKey, TargetLoad> m_own;
    std::unordered_map<TargetKey, TargetLoad> m_remoteSums;
    std::map<NodeId, Remote> m_remotes;
    std::map<std::string, ZoneLoads> m_zones; ///< Keyed by the zone's name.
    std::unordered_map<TargetKey, std::vector<Noticed>> m_noticed;
};

} // namespace berylridge
