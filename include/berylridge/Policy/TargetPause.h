// Decides when a node may send requests to a target that asked it for a pause.
//
// Designed for targets that shed load: they ask all nodes at about the same time, and what the
// nodes hold back would fill the target again as soon as the pause ends. So each node lengthens the
// pause by a random time, and then one request tries the target before others follow.
#pragma once

#include "berylridge/Support/Random.h"
#include "berylridge/Support/Time.h"

namespace berylridge {

/// This class is not thread-safe.
class TargetPause
{
public:
    /// Upper bound for a pause, so that one response can't make a target unused for long.
    static constexpr Duration maxPause = std::chrono::minutes(5);

    /// Begins a pause, or extends the current one. Returns whether the target was not paused.
    bool begin(Duration retryAfter, RandomEngine &random, TimePoint now);
    /// Records that a request was sent to the target. The first one after a pause tries it.
    void onRequestSent(TimePoint now);
    /// Records that the target began to respond to a request that it accepted.
    void onResponseStarted(TimePoint now);

    bool isPaused(TimePoint now) const { return now < m_endsAt; }
    /// Returns whether a request may be sent: the target isn't paused, and no request tries it.
    bool isOpen(TimePoint now) const { return now >= m_endsAt && now >= m_trialEndsAt; }
    TimePoint endsAt() const { return m_endsAt; }

private:
    TimePoint m_endsAt {};
    TimePoint m_trialEndsAt {};
    bool m_isTrialNeeded = false;
};

} // namespace berylridge
