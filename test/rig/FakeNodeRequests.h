// What a fake node remembers of open requests and of its attempts at targets.
#pragma once

#include "FakeNode.h"

namespace berylridge::rig {

struct FakeNode::Attempt
{
    Dispatch action;
    FakeTarget *target = nullptr;
    CallerAttempt *callerAttempt = nullptr;
    TargetRequest targetRequest;
    std::string
        reusedBootId; ///< Of the storedResponse connection it goes out on; empty for a new one.
    std::uint64_t executionId = 0; ///< The target's number, once it has the request.
    bool isFinished = false;
    bool hasHead = false;
    TimePoint headAt {};
    TimePoint startedAt {};
};

struct FakeNode::OpenRequest
{
    CallerAttempt *callerAttempt = nullptr;
    AttemptPtr attempt;
    double streamedCost = 0; ///< Slot seconds of the answer that the caller already has.
    bool answerBegun = false;
    bool isCallerDisconnected = false; ///< Its caller left; the core may not know yet.
};

} // namespace berylridge::rig
