// A simulated node's records of its open requests and of its attempts at targets.
#pragma once

#include "FakeNode.h"

namespace berylridge::rig {

struct FakeNode::Attempt
{
    Dispatch action;
    FakeTarget *target = nullptr;
    CallerAttempt *callerAttempt = nullptr;
    TargetRequest targetRequest;
    /// Boot to which the reused connection leads; empty for a new connection.
    std::string reusedBootId;
    std::uint64_t executionId = 0; ///< From the target, once it has received the request; 0 before.
    bool isFinished = false;
    bool hasHead = false;
    TimePoint headAt {};
    TimePoint startedAt {};
};

struct FakeNode::OpenRequest
{
    CallerAttempt *callerAttempt = nullptr;
    AttemptPtr attempt;
    double streamedCost = 0; ///< Slot seconds of the response that the caller has already received.
    bool answerBegun = false;
    bool isCallerDisconnected = false; ///< The core may not have been informed yet.
};

} // namespace berylridge::rig
