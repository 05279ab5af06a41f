#include "berylridge/Policy/TargetPause.h"

#include <algorithm>

namespace berylridge {

namespace {

/// Maximum random part of a pause, and its fraction of a short one.
constexpr Duration maxSpread = std::chrono::milliseconds(500);
constexpr double spreadFraction = 0.25;
/// Time after which another request may try a target that has not responded to the last one.
constexpr Duration trialTimeout = std::chrono::milliseconds(600);

} // namespace

bool TargetPause::begin(Duration retryAfter, RandomEngine &random, TimePoint now)
{
    const bool wasPaused = isPaused(now);
    const Duration pause = std::min(retryAfter, maxPause);
    const double spread = std::min(toSeconds(maxSpread), toSeconds(pause) * spreadFraction);
    m_endsAt = std::max(m_endsAt, now + pause + fromSeconds(spread * uniform(random)));
    m_isTrialNeeded = true;
    return !wasPaused;
}

void TargetPause::onRequestSent(TimePoint now)
{
    if (m_isTrialNeeded)
        m_trialEndsAt = now + trialTimeout;
}

void TargetPause::onResponseStarted(TimePoint now)
{
    if (isPaused(now))
        return; // The target accepted this request before it asked for the pause.
    m_isTrialNeeded = false;
    m_trialEndsAt = {};
}

} // namespace berylridge
