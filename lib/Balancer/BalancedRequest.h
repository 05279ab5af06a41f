// What the balancer keeps of one request while it runs, and what it is refused with.
#pragma once

#include "RequestTrace.h"
#include "TargetSelector.h"

#include "berylridge/Catalog/RouteTable.h"
#include "berylridge/Chart/RequestLife.h"
#include "berylridge/Policy/WorkspaceShares.h"
#include "berylridge/Router/Events.h"
#include "berylridge/Support/Hash.h"
#include "berylridge/Support/Verdict.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace berylridge {

/// One caller's request, from its arrival to its one final answer.
struct BalancedRequest
{
    RequestHandle handle = 0;
    std::string id;
    std::shared_ptr<const RouteTable> routeTable; ///< Under which it was admitted.
    const RouteSpec *route = nullptr;
    const ServiceSpec *service = nullptr;
    WorkspaceId workspace;
    std::uint64_t fingerprint = 0;
    std::optional<PromptChain> chain;
    TimePoint arrivedAt;
    TimePoint deadline; ///< Its caller's, or its route's time limit if that ends sooner.
    RequestState state = RequestState::Arrived;
    Verdict verdict = Verdict::NotRun;

    AttemptNumber attempts = 0;             ///< Begun, of whatever end.
    std::uint32_t sentAttempts = 0;         ///< Attempts of which a byte may have reached a target.
    std::vector<TargetKey> excludedTargets; ///< Targets at which it failed.
    bool isPartlyDelivered = false;         ///< The caller has part of the answer.

    // Of the attempt that runs.
    bool isRunning = false;
    TargetChoice choice;
    TimePoint dispatchedAt;
    Verdict verdictBeforeAttempt = Verdict::NotRun;
    bool hasResponseStarted = false; ///< The target's answer has begun.

    RequestTrace trace;
    std::optional<Duration> firstResponseDelay; ///< From arrival to the answer's begin.

    WorkspaceKey workspaceKey() const { return shortHash(workspace.str()); }
    /// Whether the answer began, or hasn't begun until now, beyond the route's latency target.
    bool isLate(TimePoint now) const
    {
        const Duration since = firstResponseDelay.value_or(now - arrivedAt);
        return route->latencyTargetMs > 0 && toSeconds(since) * 1000 > route->latencyTargetMs;
    }
};

/// Why a request is not served, as its caller is told.
struct Refusal
{
    unsigned status;
    const char *type;
    std::string title;
    std::optional<Duration> retryAfter;
};

} // namespace berylridge
