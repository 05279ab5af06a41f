#include "berylridge/Policy/Admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace berylridge {

namespace {

/// Part of the latency target that may pass in a target's queue.
constexpr double waitPart = 0.85;
/// The same for workspaces beyond their share: the difference is room that others find free.
constexpr double waitPartBeyondShare = 0.35;
/// Beyond its share a workspace finds half as much room after this many seconds of the share more.
/// With the same room for all of them, a workspace that asks six times as often as another gets
/// three times as much of what is left.
constexpr double secondsToHalf = 0.5;
/// So far beyond its share a workspace finds no room at all. What nodes take for idle is a moment
/// old, and of it a flood at all nodes would get several times what others do.
constexpr double secondsToNone = 2.5;
/// Some of the latency target is left for waiting even where reading takes all of it.
constexpr double leastWaitPart = 0.25;

} // namespace

double allowedWaitMs(const AdmissionNeed &need)
{
    assert(need.secondsAhead >= 0 && "a workspace within its share is not ahead");
    if (need.secondsAhead >= secondsToNone)
        return noWaitMs;
    const double part = need.secondsAhead > 0
        ? waitPartBeyondShare * std::exp2(-need.secondsAhead / secondsToHalf)
        : waitPart;
    const double whole = part * need.latencyTargetMs;
    return std::max(whole - need.readMs, leastWaitPart * whole);
}

} // namespace berylridge
