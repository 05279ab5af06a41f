#include "berylridge/Policy/AcceptancePredictor.h"

#include <algorithm>

namespace berylridge {

namespace {

/// Requests passed per second, at least and as a multiple of those that the core accepts. The
/// multiple keeps the workspace's demand above its share, lets the accepted rate grow, and leaves
/// more rejections than acceptances as long as the core rejects most requests.
constexpr double minPassedPerSecond = 5;
constexpr double passedPerAccepted = 3;
/// Predictions rest on at least this many rejections per second; fewer than are passed at least.
constexpr double minRejectedPerSecond = minPassedPerSecond / 2;
/// Time whose worth of that rate may be passed at once.
constexpr double burstSeconds = 0.1;
constexpr Duration cleaningPeriod = std::chrono::seconds(1);
constexpr double idleRequestsPerSecond = 0.05;

} // namespace

void AcceptancePredictor::onAccepted(CredentialKey credential, TimePoint now)
{
    removeIdleCallers(now);
    m_callers[credential].accepted.add(1, now);
}

void AcceptancePredictor::onOverShare(CredentialKey credential, std::optional<Duration> retryAfter,
                                      TimePoint now)
{
    removeIdleCallers(now);
    Caller &caller = m_callers[credential];
    caller.rejected.add(1, now);
    caller.retryAfter = retryAfter;
}

bool AcceptancePredictor::Caller::isMostlyRejected(TimePoint now) const
{
    return rejected.at(now) >= std::max(minRejectedPerSecond, accepted.at(now));
}

std::optional<Duration> AcceptancePredictor::retryAfter(CredentialKey credential,
                                                        TimePoint now) const
{
    const auto found = m_callers.find(credential);
    const bool isRejected = found != m_callers.end() && found->second.isMostlyRejected(now);
    return isRejected ? found->second.retryAfter : std::nullopt;
}

bool AcceptancePredictor::predictsRejection(CredentialKey credential, TimePoint now)
{
    const auto found = m_callers.find(credential);
    if (found == m_callers.end())
        return false;
    Caller &caller = found->second;
    const double passedRate
        = std::max(minPassedPerSecond, passedPerAccepted * caller.accepted.at(now));
    const double earned = passedRate * toSeconds(now - caller.filledAt);
    caller.tokens = std::min(caller.tokens + earned, std::max(1.0, passedRate * burstSeconds));
    caller.filledAt = now;
    if (!caller.isMostlyRejected(now))
        return false;
    if (caller.tokens < 1)
        return true;
    caller.tokens -= 1;
    return false;
}

void AcceptancePredictor::removeIdleCallers(TimePoint now)
{
    if (now - m_cleanedAt < cleaningPeriod)
        return;
    m_cleanedAt = now;
    std::erase_if(m_callers, [&](const auto &entry) {
        const Caller &caller = entry.second;
        return caller.accepted.at(now) + caller.rejected.at(now) < idleRequestsPerSecond;
    });
}

} // namespace berylridge
