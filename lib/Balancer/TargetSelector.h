// Everything that this node knows of the targets, put together for the choice of one.
#pragma once

#include "BalancerContext.h"

#include "berylridge/Policy/FleetShare.h"
#include "berylridge/Policy/Placement.h"
#include "berylridge/Policy/PromptDirectory.h"
#include "berylridge/Policy/TargetHealth.h"
#include "berylridge/Policy/TargetLoads.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace berylridge {

/// A target that was chosen for an attempt.
struct TargetChoice
{
    TargetKey key = 0;
    TargetId target;
    Endpoint endpoint;
    std::uint64_t boot = 0;        ///< Tells this run of the target from others.
    double waitMs = 0;             ///< Expected before the target turns to the request.
    double readMs = 0;             ///< Expected for reading the prompt.
    std::uint32_t tokens = 0;      ///< Of the prompt, still to be read there.
    std::uint64_t aheadTokens = 0; ///< Of requests before it.
    std::uint32_t running = 0;     ///< Requests at the target, of all nodes.
    std::size_t candidates = 0;    ///< Targets that it was chosen from.
    Duration recordAge {0};        ///< Of the platform's last word on the target.
};

class TargetSelector
{
public:
    explicit TargetSelector(BalancerContext &context)
        : m_context(context)
    {
    }

    /// The best target of the service that may get the request now. Takes nothing.
    std::optional<TargetChoice> choose(const ServiceSpec &service, const PromptChain *chain,
                                       const std::vector<TargetKey> &excludedTargets);
    /// The request goes there: counts it, and a cold target's part of its rate. False where that
    /// part is used up.
    bool reserve(const TargetChoice &choice, const ServiceSpec &service, const PromptChain *chain);

    void onFirstEvent(const TargetChoice &choice, Duration since);
    void onAttemptEnded(const TargetChoice &choice, bool hadResponseStarted);
    TargetHealth &health(TargetKey key) { return m_targets[key].health; }
    void onColdReported(TargetKey key, Duration coldFor);
    /// A request without a prompt was answered whole.
    void onResponseCompleted(const std::string &service, Duration duration);

    void onRemotePlacement(ChainKey part, TargetKey target);
    void onRemoteRead(const NodeId &node, Incarnation incarnation, const TargetReadEntry &entry);
    /// The directory has changed: targets that started anew keep nothing.
    void onDirectory();
    void expire();

    TargetLoads &loads() { return m_loads; }
    /// Shared parts that this node placed since the last call, for the other nodes.
    std::vector<PlacementEntry> takePlacements() { return std::exchange(m_newPlacements, {}); }
    /// How much targets have read for this node, where it is news for the other nodes.
    std::vector<TargetReadEntry> takeReads();

private:
    struct Target
    {
        TargetHealth health;
        ColdShare cold;
        TimePoint coldUntil {};    ///< By its own answers.
        bool isColdSender = false; ///< This node is one of those that may send to it while cold.
        TimePoint coldSenderValidUntil {};
        double tokensPerMs = 0; ///< Learnt; 0 before the first sample.
        std::uint64_t boot = 0;
        std::uint32_t entered = 0; ///< Tokens that this node sent it to read and generate.
        std::uint32_t writtenTokensReported = 0; ///< Of these, what others were told of.
    };
    struct RemoteRead
    {
        Incarnation incarnation = 0;
        std::uint32_t entered = 0;
    };

    /// Nodes that share a cold target's rate.
    std::size_t coldSenderCount() const;
    bool isColdSender(Target &target, TargetKey key) const;
    bool isCold(const TargetDirectory::Entry &entry, const Target &target,
                const ServiceSpec &service) const;
    PlacementCandidate candidate(const TargetDirectory::Entry &entry, const Target &target,
                                 TargetKey key, const ServiceSpec &service,
                                 const PromptChain *chain) const;

    BalancerContext &m_context;
    std::unordered_map<TargetKey, Target> m_targets;
    TargetLoads m_loads;
    PromptDirectory m_prompts;
    std::unordered_map<std::string, double> m_serviceMs; ///< Smoothed, by service.
    std::vector<PlacementEntry> m_newPlacements;
    std::map<std::pair<NodeId, TargetKey>, RemoteRead> m_remoteReads;
};

} // namespace berylridge
