// What a fake node remembers of open requests and of its attempts at targets.
#pragma once

#include "FakeNode.h"

namespace berylridge::rig {

struct FakeNode::Attempt
{
    Dispatch action;
    FakeTarget *target = nullptr;
    CallerTry *callerTry = nullptr;
    WorkOrder order;
    std::string reusedBoot; ///< Of the kept connection it goes out on; empty for a new one.
    std::uint64_t work = 0; ///< The target's number, once it has the request.
    bool isOver = false;
    bool hasHead = false;
    TimePoint headAt {};
    TimePoint startedAt {};
};

struct FakeNode::Open
{
    CallerTry *callerTry = nullptr;
    AttemptPtr attempt;
    double streamed = 0; ///< Slot seconds of the answer that the caller already has.
    bool answerBegun = false;
    bool isGone = false; ///< Its caller left; the core may not know yet.
};

} // namespace berylridge::rig
