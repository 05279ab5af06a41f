#include "berylridge/Policy/TargetHealth.h"

#include <algorithm>
#include <cmath>

namespace berylridge {

namespace {

/// After the first failure. A restart takes seconds, a full queue of new connections milliseconds.
constexpr Duration firstBlock = std::chrono::milliseconds(250);
/// So long a target that is back may stay unused.
constexpr Duration longestBlock = std::chrono::milliseconds(2000);
/// Longer than a connection takes to fail.
constexpr Duration trialTime = std::chrono::milliseconds(600);
/// Half of what is remembered of attempts fades in this time.
constexpr double halfLifeSeconds = 3;
/// Attempts without a failure that every target is credited with.
constexpr double creditedAttempts = 4;

} // namespace

void TargetHealth::onConnectFailed(TimePoint now)
{
    const Duration block = firstBlock * (1 << std::min(m_failedConnects, 3U));
    m_blockedUntil = now + std::min(block, longestBlock);
    ++m_failedConnects;
    count(1, now);
}

void TargetHealth::onBroken(TimePoint now)
{
    m_brokenAt = now;
    count(1, now);
}

void TargetHealth::onAnswered(TimePoint now)
{
    m_failedConnects = 0;
    m_blockedUntil = {};
    count(0, now);
}

void TargetHealth::onTrial(TimePoint now)
{
    m_blockedUntil = std::max(m_blockedUntil, now + trialTime);
}

void TargetHealth::count(double failures, TimePoint now)
{
    const double left = decay(now);
    m_failures = m_failures * left + failures;
    m_attempts = m_attempts * left + 1;
    m_countedAt = now;
}

double TargetHealth::decay(TimePoint now) const
{
    return std::exp2(-toSeconds(now - m_countedAt) / halfLifeSeconds);
}

double TargetHealth::failureShare(TimePoint now) const
{
    const double left = decay(now);
    return m_failures * left / (m_attempts * left + creditedAttempts);
}

} // namespace berylridge
