#include "berylridge/Policy/TargetHealth.h"

#include <algorithm>
#include <cmath>

namespace berylridge {

namespace {

/// Backoff after the first failure. A restart takes seconds, a full queue of new connections clears
/// within milliseconds.
constexpr Duration initialBackoff = std::chrono::milliseconds(250);
/// Upper bound for how long a recovered target may stay unused.
constexpr Duration maxBackoff = std::chrono::milliseconds(2000);
/// Longer than a connection takes to fail.
constexpr Duration probeTimeout = std::chrono::milliseconds(600);
/// The weight of past attempts halves in this time.
constexpr double halfLifeSeconds = 3;
/// Successful attempts that are added to every target's count.
constexpr double priorAttempts = 4;

} // namespace

void TargetHealth::onConnectFailed(TimePoint now)
{
    const Duration backoff = initialBackoff * (1 << std::min(m_failedConnects, 3U));
    m_backoffUntil = now + std::min(backoff, maxBackoff);
    ++m_failedConnects;
    countAttempt(1, now);
}

void TargetHealth::onConnectionBroken(TimePoint now)
{
    m_lastBrokenAt = now;
    countAttempt(1, now);
}

void TargetHealth::onCompleteResponse(TimePoint now)
{
    m_failedConnects = 0;
    m_backoffUntil = {};
    countAttempt(0, now);
}

void TargetHealth::onProbeStarted(TimePoint now)
{
    m_backoffUntil = std::max(m_backoffUntil, now + probeTimeout);
}

void TargetHealth::countAttempt(double failures, TimePoint now)
{
    const double left = decayFactor(now);
    m_failures = m_failures * left + failures;
    m_attempts = m_attempts * left + 1;
    m_countedAt = now;
}

double TargetHealth::decayFactor(TimePoint now) const
{
    return std::exp2(-toSeconds(now - m_countedAt) / halfLifeSeconds);
}

double TargetHealth::failureRatio(TimePoint now) const
{
    const double left = decayFactor(now);
    return m_failures * left / (m_attempts * left + priorAttempts);
}

} // namespace berylridge
