// Combines all that this node knows of the targets, and selects a target for each attempt.
#pragma once

#include "BalancerContext.h"

#include "berylridge/Policy/DispatchNoticeFilter.h"
#include "berylridge/Policy/FleetLimits.h"
#include "berylridge/Policy/Placement.h"
#include "berylridge/Policy/PromptCacheDirectory.h"
#include "berylridge/Policy/TargetHealth.h"
#include "berylridge/Policy/TargetLoads.h"
#include "berylridge/Policy/TargetPause.h"
#include "berylridge/Router/Events.h"
#include "berylridge/Support/Hash.h"
#include "berylridge/Support/LogRateLimiter.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace berylridge {

/// Describes the target that was selected for an attempt.
struct TargetChoice
{
    TargetKey key = 0;
    TargetId target;
    Endpoint endpoint;
    std::uint64_t boot = 0; ///< Distinguishes this boot of the target from others.
    std::string softwareVersion;
    VersionKey version = unknownVersion;
    double waitMs = 0; ///< Expected wait before the target starts to process the request.
    double readMs = 0; ///< Expected time to read the prompt.
    double busyMs = 0; ///< Expected time that the target reads the prompt or processes the request.
    std::uint32_t tokens = 0;      ///< Tokens of the prompt that the target still has to read.
    std::uint64_t aheadTokens = 0; ///< Tokens of the requests ahead in the target's queue.
    std::uint32_t running = 0;     ///< Requests of all nodes that run at the target.
    std::size_t candidates = 0;    ///< Number of targets that were considered.
    Duration recordAge {0};        ///< Time since the platform last reported the target.
    /// Time for which a target whose entry was removed is still used; empty for a listed one.
    std::optional<Duration> usableFor {};
};

/// What a request needs of its target.
struct TargetNeeds
{
    const ServiceSpec &service;
    const PrefixChain *chain = nullptr; ///< Null if the request has no prompt.
    /// The only software version that may run the request; empty if any may.
    std::optional<VersionKey> version {};

    bool areMetBy(const TargetDirectory::Entry &entry) const
    {
        return entry.record.service == service.name && (!version || entry.version == *version);
    }
};

class TargetSelector
{
public:
    explicit TargetSelector(BalancerContext &context)
        : m_context(context)
        , m_random(hash64(context.options.node.str(), context.options.seed))
    {
    }

    /// Returns the best target that meets the needs and can accept the request now, without
    /// reserving capacity.
    std::optional<TargetChoice> choose(const TargetNeeds &needs,
                                       const std::vector<TargetKey> &excludedTargets);
    /// Returns the time until the first target that meets the needs accepts requests again, if all
    /// that could be used asked this node for a pause.
    std::optional<Duration> remainingPause(const TargetNeeds &needs) const;
    /// Returns whether a target that meets the needs is listed and not about to leave.
    bool hasListedTarget(const TargetNeeds &needs) const;
    /// Counts the request at the target. At a cold target it also consumes one request of this
    /// node's part of the rate; returns false if that part is used up.
    bool reserve(const TargetChoice &choice, const TargetNeeds &needs);
    /// Returns the software version that runs an attempt: the selected one, or unknownVersion if
    /// the target has been listed with another since.
    VersionKey versionOf(const TargetChoice &choice) const;

    void onFirstEvent(const TargetChoice &choice, Duration since);
    void onAttemptEnded(const TargetChoice &choice, bool hadResponseStarted);
    /// Handles what a target's response says about further requests of this node.
    void onAdvice(const TargetAdviceArrived &event);
    /// Returns the time since the target last began a response of this node; empty if
    /// it never did.
    std::optional<Duration> silentFor(TargetKey key) const;
    TargetHealth &health(TargetKey key) { return m_targets[key].health; }
    /// Records the duration of a request without a prompt whose response is complete.
    void onResponseCompleted(const std::string &service, Duration duration);

    void onRemotePlacement(PrefixKey part, TargetKey target);
    /// Records a notice of another node. `isSummarized` states that its zone's summaries replace
    /// the notice, and not the node's own digests.
    void onDispatchNotice(const NodeId &node, bool isSummarized, const DispatchNotice &notice);
    /// Returns the notices that are due for the other nodes.
    std::vector<DispatchNotice> takeNotices() { return std::exchange(m_newNotices, {}); }
    void onRemoteCacheWrite(const NodeId &node, Incarnation incarnation,
                            const TargetCacheWriteEntry &entry);
    /// Records an increase of the counter of some node of another zone.
    void onRemoteCacheWriteIncrease(const TargetCacheWriteEntry &entry);
    /// Discards the cached prompts of targets that have restarted or been removed.
    void onDirectory();
    /// Does the periodic work: removes expired entries and updates the silent zones.
    void tick();

    TargetLoads &loads() { return m_loads; }
    const TargetLoads &loads() const { return m_loads; }
    /// Returns the shared prompt parts that this node placed since the last call, for the other
    /// nodes.
    std::vector<PlacementEntry> takePlacements() { return std::exchange(m_newPlacements, {}); }
    struct CacheWrite
    {
        TargetKey target = 0;
        std::uint32_t writtenTokens = 0; ///< Cumulative; wraps around.
        std::uint32_t increase = 0;      ///< Since the last report.
    };
    /// Returns the counters of tokens that this node's requests added to targets' caches, where
    /// they have grown enough to be reported to the other nodes.
    std::vector<CacheWrite> takeCacheWrites();

private:
    /// A target may repeat its advice in each response.
    static constexpr double maxAdviceLinesPerSecond = 5;

    struct Target
    {
        TargetHealth health;
        TargetPause pause;
        TimePoint lastResponseAt {}; ///< When it last began a response.
        bool isLeaving = false;      ///< A response of this boot stated that it shuts down.
        ColdTargetLimiter cold;
        TimePoint coldUntil {}; ///< End of the cold state as reported in the target's responses.
        /// This node is among those that may send to the target while it is cold.
        bool isColdSender = false;
        TimePoint coldSenderValidUntil {};
        double tokensPerMs = 0; ///< Measured speed; 0 before the first sample.
        std::uint64_t boot = 0;
        std::uint32_t writtenTokens = 0; ///< Tokens that this node had the target read or generate.
        /// Value of `writtenTokens` last reported to the other nodes.
        std::uint32_t writtenTokensReported = 0;
    };
    struct RemoteCacheWrite
    {
        Incarnation incarnation = 0;
        std::uint32_t writtenTokens = 0;
    };

    /// Returns whether the target is reachable, not paused and not leaving.
    bool isAvailable(const Target &target) const
    {
        const TimePoint now = m_context.now;
        return target.health.isReachable(now) && target.pause.isOpen(now) && !target.isLeaving;
    }
    /// Returns the number of nodes that share a cold target's rate.
    std::size_t coldSenderCount() const;
    bool isColdSender(Target &target, TargetKey key) const;
    bool isCold(const TargetDirectory::Entry &entry, const Target &target,
                const ServiceSpec &service) const;
    void logAdvice(LogEventId id, const TargetAdviceArrived &event, Json::Value fields = {});
    void queueNotice(const TargetChoice &choice, const PrefixChain *chain);
    PlacementCandidate candidate(const TargetDirectory::Entry &entry, const Target &target,
                                 TargetKey key, const ServiceSpec &service,
                                 const PrefixChain *chain) const;

    BalancerContext &m_context;
    std::unordered_map<TargetKey, Target> m_targets;
    TargetLoads m_loads;
    PromptCacheDirectory m_prompts;
    std::set<std::string> m_silentZones;                 ///< As of the last tick.
    std::unordered_map<std::string, double> m_serviceMs; ///< Moving average by service.
    std::vector<PlacementEntry> m_newPlacements;
    DispatchNoticeFilter m_noticeFilter;
    std::vector<DispatchNotice> m_newNotices;
    std::map<std::pair<NodeId, TargetKey>, RemoteCacheWrite> m_remoteCacheWrites;
    RandomEngine m_random; ///< Varies the ends of targets' pauses.
    LogRateLimiter m_adviceLines {{.lines = maxAdviceLinesPerSecond}};
};

} // namespace berylridge
