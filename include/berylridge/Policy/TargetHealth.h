// Tracks whether a target responds, from this node's own attempts: some may fail while the platform
// lists the target as ready.
#pragma once

#include "berylridge/Support/Time.h"

#include <cstdint>

namespace berylridge {

/// This class is not thread-safe.
class TargetHealth
{
public:
    /// Records that a connection could not be opened: the target or the network path to it is down.
    void onConnectFailed(TimePoint now);
    /// Records that a connection broke or timed out before the response was complete.
    void onConnectionBroken(TimePoint now);
    /// Records an invalid response, or one in which the target reported a failure.
    void onFailedResponse(TimePoint now) { countAttempt(1, now); }
    void onCompleteResponse(TimePoint now);
    /// Records that a probe request was sent to a target that failed to connect; other requests
    /// wait for its result.
    void onProbeStarted(TimePoint now);

    /// Returns false during the backoff after a connection could not be opened.
    bool isReachable(TimePoint now) const { return now >= m_backoffUntil; }
    /// Returns whether the next request serves as a probe of a target that failed to connect.
    bool isProbeNeeded() const { return m_failedConnects > 0; }
    /// Returns the ratio of recent attempts that failed, from 0 to 1, weighted so that a few
    /// attempts have little effect.
    double failureRatio(TimePoint now) const;
    /// Returns when a connection last broke. The target may have restarted then, and would be cold.
    TimePoint lastBrokenAt() const { return m_lastBrokenAt; }

private:
    void countAttempt(double failures, TimePoint now);
    double decayFactor(TimePoint now) const;

    std::uint32_t m_failedConnects = 0; ///< Consecutive failures.
    TimePoint m_backoffUntil {};
    TimePoint m_lastBrokenAt {};
    double m_failures = 0; ///< Decaying sums.
    double m_attempts = 0;
    TimePoint m_countedAt {};
};

} // namespace berylridge
