// Holds the balancer's state of one request while it runs, and the reason for a refusal.
#pragma once

#include "RequestTrace.h"
#include "TargetSelector.h"

#include "berylridge/Catalog/RouteTable.h"
#include "berylridge/Chart/RequestStateMachine.h"
#include "berylridge/Policy/StreamOrigins.h"
#include "berylridge/Policy/WorkspaceShares.h"
#include "berylridge/Router/Events.h"
#include "berylridge/Support/Hash.h"
#include "berylridge/Support/Verdict.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace berylridge {

/// Tracks one caller's request from its arrival to its single final response.
struct BalancedRequest
{
    RequestHandle handle = 0;
    std::string id;
    std::shared_ptr<const RouteTable> routeTable; ///< Table under which the request was admitted.
    const RouteSpec *route = nullptr;
    const ServiceSpec *service = nullptr;
    WorkspaceId workspace;
    std::uint64_t fingerprint = 0;
    std::optional<PrefixChain> chain;
    /// Ids of the prompt's parts that other requests may share.
    std::vector<std::uint64_t> sharedParts;
    /// It is sent to find out whether a quarantined part of its prompt still crashes targets.
    bool isRerun = false;
    /// A target has completed a response to it, or broke the connection while it ran the request.
    /// Either tells whether a part of its prompt crashes targets.
    bool hasCrashEvidence = false;
    std::optional<StreamResumption> resumption;
    /// Software version that began the stream of which the caller has events; empty if it has none.
    std::optional<VersionKey> version;
    /// What the version of a stream that the caller takes up was found by.
    std::optional<OriginBasis> originBasis;
    TimePoint arrivedAt;
    TimePoint deadline; ///< Earlier of the caller's deadline and the route's timeout.
    RequestState state = RequestState::Arrived;
    Verdict verdict = Verdict::NotRun;

    bool isAdmitted = false;                ///< Counts as admitted in its workspace's share.
    AttemptNumber attempts = 0;             ///< Started attempts, whatever their outcome.
    std::uint32_t sentAttempts = 0;         ///< Attempts of which a byte may have reached a target.
    std::vector<TargetKey> excludedTargets; ///< Targets at which the request failed.
    std::vector<TargetKey> silentTargets;   ///< Targets whose silent attempt was replaced.
    bool isPartlyDelivered = false;         ///< The caller has received part of the response.

    // State of the current attempt.
    bool isRunning = false;
    TargetChoice choice;
    TimePoint dispatchedAt;
    Verdict verdictBeforeAttempt = Verdict::NotRun;
    bool hasResponseStarted = false; ///< The target has started its response.
    bool isSilent = false;           ///< The target's silence was reported.
    TimePoint responseStartedAt {};  ///< When it did; valid if `hasResponseStarted`.
    /// When the origin of the stream was last recorded; unset before its first event.
    TimePoint originRecordedAt {};

    RequestTrace trace;
    /// Time from the request's arrival to the start of the response.
    std::optional<Duration> firstResponseDelay;

    TargetNeeds targetNeeds() const { return {*service, chain ? &*chain : nullptr, version}; }
    /// Returns the key under which the origin of the request's stream is recorded, or nothing if
    /// the caller can't take the stream up.
    std::optional<StreamKey> streamKey() const
    {
        if (route->requestKind() != RequestKind::Stream || !route->isResumable)
            return std::nullopt;
        const std::string &first = resumption ? resumption->firstRequestId : id;
        return first.empty() ? std::nullopt : std::optional(hash64(first));
    }
    WorkspaceKey workspaceKey() const { return hash32(workspace.str()); }
    /// Returns whether the response started, or has still not started, after the route's latency
    /// target.
    bool isLate(TimePoint now) const
    {
        const Duration since = firstResponseDelay.value_or(now - arrivedAt);
        return route->latencyTargetMs > 0 && toSeconds(since) * 1000 > route->latencyTargetMs;
    }
};

/// Explains to the caller why its request was refused.
struct Refusal
{
    unsigned status;
    const char *type;
    std::string title;
    std::optional<Duration> retryAfter;
    bool isOverShare = false; ///< The workspace is over its share.
};

} // namespace berylridge
