// One caller's request, from its arrival to its one final answer.
#pragma once

#include "PoolManager.h"

#include "berylridge/Chart/RequestStateMachine.h"
#include "berylridge/Router/Events.h"
#include "berylridge/Support/Verdict.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace berylridge {

/// What happened to a request, for RouterCore::explain().
struct TraceStep
{
    TimePoint at;
    const char *what = ""; ///< A literal.
    std::string detail;
};

struct Request
{
    RequestHandle handle = 0;
    std::string id;
    ServiceId service;
    WorkspaceId workspace;
    FlowId flow = 0;
    std::string key; ///< Scoped idempotency key; empty when its key needs no admission.
    bool isIdempotent = false;
    std::uint64_t fingerprint = 0;
    TimePoint arrivedAt;
    TimePoint queueDeadline; ///< While it waits.
    RequestState state = RequestState::Arrived;
    Verdict verdict = Verdict::NotRun;

    AttemptNumber attempts = 0;
    std::set<TargetHash> failedTargets; ///< Targets at which it failed.
    bool isResumed = false;             ///< The caller has part of the answer.
    bool isCallerGone = false;

    // Of the attempt that runs.
    TargetId target;
    Endpoint endpoint;
    LeaseRef lease;
    TimePoint dispatchedAt;
    Verdict verdictBefore = Verdict::NotRun;
    std::string bootId; ///< Of the target's boot, as far as is known.

    std::vector<TraceStep> trace;
};

} // namespace berylridge
