// Computes the rate at which a workspace's callers request work of one node.
#pragma once

#include "berylridge/Policy/Rate.h"
#include "berylridge/Support/Time.h"

#include <algorithm>

namespace berylridge {

/// Tokens per second, smoothed over a longer time. Falls within a shorter one if there are many
/// requests.
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
        m_tokens.add(tokens, now);
        m_recentTokens.add(tokens, now);
    }

    double at(TimePoint now) const
    {
        const double tokens = m_tokens.at(now);
        const bool hasManyRequests = m_requests.at(now) * recentSeconds >= minRecentRequests;
        return hasManyRequests ? std::min(tokens, m_recentTokens.at(now)) : tokens;
    }

private:
    static constexpr double recentSeconds = 0.2;
    /// Fewer requests in that time vary by chance by more than a quarter.
    static constexpr double minRecentRequests = 20;

    Rate m_requests;
    Rate m_tokens;
    Rate m_recentTokens {recentSeconds};
};

} // namespace berylridge
