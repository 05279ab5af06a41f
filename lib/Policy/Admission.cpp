#include "berylridge/Policy/Admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace berylridge {

namespace {

/// Part of the latency target that may pass in a target's queue.
constexpr double maxWaitFraction = 0.85;
/// The same for workspaces beyond their share: the difference is room that others find free.
constexpr double maxWaitFractionOverShare = 0.35;
/// Beyond its share a workspace finds half as much room after this many seconds of the share more.
/// With the same room for all of them, a workspace that asks six times as often as another gets
/// three times as much of what is left.
constexpr double waitHalvingSeconds = 0.5;
/// So far beyond its share a workspace finds no room at all. What nodes take for idle is a moment
/// old, and of it a flood at all nodes would get several times what others do.
constexpr double maxSecondsOverShare = 2.5;
/// Some of the latency target is left for waiting even where reading takes all of it.
constexpr double minWaitFraction = 0.25;

} // namespace

double maxQueueWaitMs(const AdmissionInput &input)
{
    assert(input.secondsOverShare >= 0 && "a workspace within its share is not ahead");
    if (input.secondsOverShare >= maxSecondsOverShare)
        return refusedWaitMs;
    const double fraction = input.secondsOverShare > 0
        ? maxWaitFractionOverShare * std::exp2(-input.secondsOverShare / waitHalvingSeconds)
        : maxWaitFraction;
    const double maxWaitMs = fraction * input.latencyTargetMs;
    return std::max(maxWaitMs - input.readMs, minWaitFraction * maxWaitMs);
}

} // namespace berylridge
