// Computes the rate at which a workspace's callers request work of one node.
#pragma once

#include "berylridge/Policy/Rate.h"
#include "berylridge/Support/Time.h"

#include <algorithm>
#include <array>

namespace berylridge {

/// Tokens per second, smoothed over a longer time. Falls within a shorter one if most of many
/// requests no longer come; the more requests came, the shorter.
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
        for (Recent &recent : m_recent) {
            recent.requests.add(1, now);
            recent.tokens.add(tokens, now);
        }
    }

    double at(TimePoint now) const
    {
        const double requests = m_requests.at(now);
        double tokens = m_tokens.at(now);
        for (const Recent &recent : m_recent) {
            if (recent.haveCallersLeft(requests, now))
                tokens = std::min(tokens, recent.tokens.at(now));
        }
        return tokens;
    }

private:
    /// With fewer requests in its time, and with a smaller fall, a fall may be due to chance. A
    /// node's part of a share must not vary by chance, since a smaller part makes the same debt
    /// last longer.
    static constexpr double minRecentRequests = 20;
    static constexpr double maxRemainingFraction = 0.5;

    /// Rates over one of the shorter times.
    struct Recent
    {
        explicit Recent(double smoothingSeconds)
            : seconds(smoothingSeconds)
            , requests(smoothingSeconds)
            , tokens(smoothingSeconds)
        {
        }

        /// Returns whether most of the callers that sent the given requests per second have left.
        bool haveCallersLeft(double requestsBefore, TimePoint now) const
        {
            return requestsBefore * seconds >= minRecentRequests
                && requests.at(now) < maxRemainingFraction * requestsBefore;
        }

        double seconds;
        Rate requests;
        Rate tokens;
    };

    Rate m_requests;
    Rate m_tokens;
    std::array<Recent, 2> m_recent {Recent(0.2), Recent(0.5)};
};

} // namespace berylridge
