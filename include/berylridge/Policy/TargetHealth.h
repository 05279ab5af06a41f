// Whether a target answers, as this node's own attempts show: some fail while the platform lists
// the target as ready.
#pragma once

#include "berylridge/Support/Time.h"

#include <cstdint>

namespace berylridge {

/// Not safe for use by two threads at once.
class TargetHealth
{
public:
    /// A connection could not be opened: the target or the way to it is down.
    void onConnectFailed(TimePoint now);
    /// A connection broke, or stayed silent, before the answer was whole.
    void onConnectionBroken(TimePoint now);
    /// An answer was wrong, or the target failed a request by its own word.
    void onFailedAnswer(TimePoint now) { countAttempt(1, now); }
    void onAnswered(TimePoint now);
    /// A request is on its way to a target that failed to connect: others wait for how it fares.
    void onProbeStarted(TimePoint now);

    /// False for a while after a connection could not be opened.
    bool isReachable(TimePoint now) const { return now >= m_backoffUntil; }
    /// Whether the next request would show if the target is back.
    bool isProbeNeeded() const { return m_failedConnects > 0; }
    /// Part of recent attempts that failed, from 0 to 1, weighed so that few attempts say little.
    double failureRatio(TimePoint now) const;
    /// When it last broke off; a target that did may have started anew, and is cold then.
    TimePoint lastBrokenAt() const { return m_lastBrokenAt; }

private:
    void countAttempt(double failures, TimePoint now);
    double decayFactor(TimePoint now) const;

    std::uint32_t m_failedConnects = 0; ///< In a row.
    TimePoint m_backoffUntil {};
    TimePoint m_lastBrokenAt {};
    double m_failures = 0; ///< Decaying sums.
    double m_attempts = 0;
    TimePoint m_countedAt {};
};

} // namespace berylridge
