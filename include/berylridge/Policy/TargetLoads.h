// Tracks each target's load over the whole fleet: exact counts of this node's own requests, plus
// the loads in the other nodes' latest digests.
#pragma once

#include "berylridge/Policy/PromptCacheDirectory.h"
#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace berylridge {

struct TargetLoad
{
    std::uint32_t running = 0;
    std::uint64_t tokens = 0; ///< Prompt tokens that are not read yet.
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
    void expire(TimePoint now);

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

    void subtract(const Remote &remote);

    std::unordered_map<TargetKey, TargetLoad> m_own;
    std::unordered_map<TargetKey, TargetLoad> m_remoteSums;
    std::map<NodeId, Remote> m_remotes;
};

} // namespace berylridge
