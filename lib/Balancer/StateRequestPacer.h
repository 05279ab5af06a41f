// Paces this node's requests for newer state.
//
// With each peer asked separately, a late node received as many copies of a large catalog as it had
// peers. The copies filled its link, and the ones that arrived last were old.
#pragma once

#include "berylridge/Support/Time.h"

#include <algorithm>
#include <optional>

namespace berylridge {

/// Allows one pending request at a time. Not thread-safe.
class StateRequestPacer
{
public:
    /// A pending request without a response is repeated after `retryDelay`, which doubles with each
    /// repetition up to `maxRetryDelay`. `minInterval` is the time between requests with a
    /// response.
    StateRequestPacer(Duration minInterval, Duration retryDelay, Duration maxRetryDelay)
        : m_minInterval(minInterval)
        , m_initialRetryDelay(retryDelay)
        , m_maxRetryDelay(maxRetryDelay)
        , m_retryDelay(retryDelay)
    {
    }

    /// Returns whether a request may be sent now, and records it as pending if so.
    bool tryStart(TimePoint now)
    {
        const Duration wait = m_isPending ? m_retryDelay : m_minInterval;
        if (m_startedAt && now - *m_startedAt < wait)
            return false;
        if (m_isPending)
            m_retryDelay = std::min(m_retryDelay * 2, m_maxRetryDelay);
        m_isPending = true;
        m_startedAt = now;
        return true;
    }

    void onResponse()
    {
        m_isPending = false;
        m_retryDelay = m_initialRetryDelay;
    }

private:
    const Duration m_minInterval;
    const Duration m_initialRetryDelay;
    const Duration m_maxRetryDelay;
    Duration m_retryDelay;
    std::optional<TimePoint> m_startedAt;
    bool m_isPending = false;
};

} // namespace berylridge
