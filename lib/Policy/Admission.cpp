#include "berylridge/Policy/Admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace berylridge {

namespace {

/// Fraction of the latency target that a request may wait in a target's queue.
constexpr double maxWaitFraction = 0.85;
/// The same for workspaces that request more than their share, while they get no more than it. They
/// send requests often enough to fill each place that becomes free. The difference is left to
/// workspaces that request less than their share.
constexpr double maxWaitFractionLimited = 0.55;
/// The same for workspaces over their share. The difference is capacity that remains for the other
/// workspaces.
constexpr double maxWaitFractionOverShare = 0.35;
/// For a workspace over its share, the longest wait halves with each further excess of this many
/// seconds of the share. If all of them had the same limit, a workspace that sends requests six
/// times as often as another would get three times as much of the remaining capacity.
constexpr double waitHalvingSeconds = 0.5;
/// A workspace this far over its share is rejected in any case. A node's view of idle capacity is
/// slightly outdated, and a flood at all nodes would get several times as much of it as others.
constexpr double maxSecondsOverShare = 2.5;
/// Part of that wait which remains even where reading the prompt takes the whole latency target.
constexpr double minWaitFraction = 0.25;

} // namespace

double maxQueueWaitMs(const AdmissionInput &input)
{
    assert(input.secondsOverShare >= 0
           && "the excess of a workspace over its share must not be negative");
    if (input.secondsOverShare >= maxSecondsOverShare)
        return refusedWaitMs;
    const double fractionWithinShare = input.isLimited ? maxWaitFractionLimited : maxWaitFraction;
    const double fraction = input.secondsOverShare > 0
        ? maxWaitFractionOverShare * std::exp2(-input.secondsOverShare / waitHalvingSeconds)
        : fractionWithinShare;
    const double maxWaitMs = fraction * input.latencyTargetMs;
    return std::max(maxWaitMs - input.readMs, minWaitFraction * maxWaitMs);
}

} // namespace berylridge
