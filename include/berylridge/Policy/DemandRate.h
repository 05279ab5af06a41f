// Computes the rate at which a workspace's callers request work of one node.
#pragma once

#include "berylridge/Policy/Rate.h"
#include "berylridge/Support/Time.h"

#include <algorithm>

namespace berylridge {

/// Tokens per second, smoothed over a longer time. Falls within a shorter one if most of many
/// requests no longer come.
///
/// Guards against shares that stay with a node that its callers have left: the load balancer moves
/// all connections of a large workspace at once.
class DemandRate
{
public:
    /// Records one request.
    void add(double tokens, TimePoint now)
    {
        m_requests.add(1, now);
        m_recentRequests.add(1, now);
        m_tokens.add(tokens, now);
        m_recentTokens.add(tokens, now);
    }

    double at(TimePoint now) const
    {
        const double tokens = m_tokens.at(now);
        return haveCallersLeft(now) ? std::min(tokens, m_recentTokens.at(now)) : tokens;
    }

private:
    static constexpr double recentSeconds = 0.2;
    /// With fewer requests in that time, and with a smaller fall, the fall may be due to chance. A
    /// node's part of a share must not vary by chance, since a smaller part makes the same debt
    /// last longer.
    static constexpr double minRecentRequests = 20;
    static constexpr double maxRemainingFraction = 0.5;

    bool haveCallersLeft(TimePoint now) const
    {
        const double requests = m_requests.at(now);
        return requests * recentSeconds >= minRecentRequests
            && m_recentRequests.at(now) < maxRemainingFraction * requests;
    }

    Rate m_requests;
    Rate m_recentRequests {recentSeconds};
    Rate m_tokens;
    Rate m_recentTokens {recentSeconds};
};

} // namespace berylridge
