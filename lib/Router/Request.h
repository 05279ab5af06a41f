// Defines the state of one caller's request, from its arrival to its single final response.
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

/// Records one step of a request's processing, for RouterCore::explain().
struct TraceStep
{
    TimePoint at;
    const char *what = ""; ///< Points to a string literal.
    std::string detail;
};

struct Request
{
    RequestHandle handle = 0;
    std::string id;
    ServiceId service;
    WorkspaceId workspace;
    FlowId flow = 0;
    std::string key; ///< Scoped idempotency key; empty if no admission is needed.
    bool isIdempotent = false;
    std::uint64_t fingerprint = 0;
    TimePoint arrivedAt;
    TimePoint queueDeadline; ///< Applies while the request waits in the queue.
    RequestState state = RequestState::Arrived;
    Verdict verdict = Verdict::NotRun;

    AttemptNumber attempts = 0;
    std::set<TargetHash> failedTargets; ///< Targets at which an attempt failed.
    bool isResumed = false;             ///< The caller received part of the response.
    bool isCallerGone = false;

    // These fields describe the running attempt.
    TargetId target;
    Endpoint endpoint;
    LeaseRef lease;
    TimePoint dispatchedAt;
    Verdict verdictBefore = Verdict::NotRun;
    std::string bootId; ///< Last known boot id of the target.

    std::vector<TraceStep> trace;
};

} // namespace berylridge
