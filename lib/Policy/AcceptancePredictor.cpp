#include "berylridge/Policy/AcceptancePredictor.h"

#include "berylridge/Support/Hash.h"

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

RequestGroupKey requestGroupOf(std::string_view credential, std::string_view path)
{
    path = path.substr(0, path.find('?'));
    return hash64(path.substr(0, path.rfind('/')), hash64(credential));
}

bool AcceptancePredictor::predictsRejection(RequestGroupKey key, TimePoint now)
{
    removeIdleGroups(now);
    const auto found = m_groups.find(key);
    if (found == m_groups.end())
        return false;
    Group &group = found->second;
    const double accepted = group.accepted.at(now);
    const double rejected = group.rejected.at(now);
    const double passedRate = std::max(minPassedPerSecond, passedPerAccepted * accepted);
    const double earned = passedRate * toSeconds(now - group.filledAt);
    group.tokens = std::min(group.tokens + earned, std::max(1.0, passedRate * burstSeconds));
    group.filledAt = now;
    if (rejected < minRejectedPerSecond || rejected <= accepted)
        return false;
    if (group.tokens < 1)
        return true;
    group.tokens -= 1;
    return false;
}

void AcceptancePredictor::removeIdleGroups(TimePoint now)
{
    if (now - m_cleanedAt < cleaningPeriod)
        return;
    m_cleanedAt = now;
    std::erase_if(m_groups, [&](const auto &entry) {
        const Group &group = entry.second;
        return group.accepted.at(now) + group.rejected.at(now) < idleRequestsPerSecond;
    });
}

} // namespace berylridge
