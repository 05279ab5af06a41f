#include "berylridge/Policy/FleetShare.h"

#include <algorithm>
#include <cassert>

namespace berylridge {

namespace {

/// Part of a target's connections that may be idle; the rest is for new ones.
constexpr double idlePart = 0.5;
constexpr std::uint32_t keptLeast = 2;
constexpr std::uint32_t keptMost = 64;

} // namespace

std::uint32_t keptConnections(std::uint32_t limit, std::size_t nodes)
{
    assert(nodes > 0 && "a fleet without nodes has no parts");
    if (limit == 0)
        return keptMost;
    const double part = idlePart * limit / static_cast<double>(nodes);
    return std::clamp(static_cast<std::uint32_t>(part), keptLeast, keptMost);
}

double ColdShare::refilled(double ratePerSecond, std::size_t nodes, TimePoint now) const
{
    assert(nodes > 0 && "a fleet without nodes has no parts");
    const double rate = ratePerSecond / static_cast<double>(nodes);
    return std::min(burst, m_tokens + rate * toSeconds(now - m_filledAt));
}

bool ColdShare::hasPlace(double ratePerSecond, std::size_t nodes, TimePoint now) const
{
    return refilled(ratePerSecond, nodes, now) >= 1;
}

bool ColdShare::tryTake(double ratePerSecond, std::size_t nodes, TimePoint now)
{
    m_tokens = refilled(ratePerSecond, nodes, now);
    m_filledAt = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

void RetryShare::onFirstAttempt(TimePoint now)
{
    m_first.push_back(now);
}

bool RetryShare::tryTake(const Limits &limits, std::size_t nodes, TimePoint now)
{
    assert(nodes > 0 && "a fleet without nodes has no parts");
    expire(limits.window, now);
    const double allowed = limits.ratio * static_cast<double>(m_first.size())
        + limits.slack / static_cast<double>(nodes);
    if (static_cast<double>(m_further.size()) + 1 > usedPart * allowed)
        return false;
    m_further.push_back(now);
    return true;
}

void RetryShare::expire(Duration window, TimePoint now)
{
    const auto isOld = [&](TimePoint at) { return now - at > window; };
    while (!m_first.empty() && isOld(m_first.front()))
        m_first.pop_front();
    while (!m_further.empty() && isOld(m_further.front()))
        m_further.pop_front();
}

} // namespace berylridge
