#include "berylridge/Policy/FleetLimits.h"

#include <algorithm>
#include <cassert>

namespace berylridge {

namespace {

/// Fraction of a target's connections that may be idle; the rest is left for new ones.
constexpr double maxIdleFraction = 0.5;
constexpr std::uint32_t minIdleConnections = 2;
constexpr std::uint32_t maxIdleConnections = 64;

} // namespace

std::uint32_t idleConnectionLimit(std::uint32_t limit, std::size_t nodes)
{
    assert(nodes > 0 && "a fleet-wide limit cannot be divided among no nodes");
    if (limit == 0)
        return maxIdleConnections;
    const double perNodeLimit = maxIdleFraction * limit / static_cast<double>(nodes);
    return std::clamp(static_cast<std::uint32_t>(perNodeLimit), minIdleConnections,
                      maxIdleConnections);
}

double ColdTargetLimiter::refilledTokens(double ratePerSecond, std::size_t nodes,
                                         TimePoint now) const
{
    assert(nodes > 0 && "a fleet-wide limit cannot be divided among no nodes");
    const double rate = ratePerSecond / static_cast<double>(nodes);
    return std::min(burst, m_tokens + rate * toSeconds(now - m_filledAt));
}

bool ColdTargetLimiter::hasToken(double ratePerSecond, std::size_t nodes, TimePoint now) const
{
    return refilledTokens(ratePerSecond, nodes, now) >= 1;
}

bool ColdTargetLimiter::tryTake(double ratePerSecond, std::size_t nodes, TimePoint now)
{
    m_tokens = refilledTokens(ratePerSecond, nodes, now);
    m_filledAt = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

void FleetRetryBudget::onFirstAttempt(TimePoint now)
{
    m_firstAttempts.push_back(now);
}

bool FleetRetryBudget::tryTake(const Limits &limits, std::size_t nodes, TimePoint now,
                               double fraction)
{
    assert(nodes > 0 && "a fleet-wide limit cannot be divided among no nodes");
    expire(limits.window, now);
    const double allowed = limits.ratio * static_cast<double>(m_firstAttempts.size())
        + limits.slack / static_cast<double>(nodes);
    if (static_cast<double>(m_retries.size()) + 1 > usableFraction * allowed * fraction)
        return false;
    m_retries.push_back(now);
    return true;
}

void FleetRetryBudget::expire(Duration window, TimePoint now)
{
    const auto isOld = [&](TimePoint at) { return now - at > window; };
    while (!m_firstAttempts.empty() && isOld(m_firstAttempts.front()))
        m_firstAttempts.pop_front();
    while (!m_retries.empty() && isOld(m_retries.front()))
        m_retries.pop_front();
}

} // namespace berylridge
