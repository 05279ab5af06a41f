// How much a process may log.
//
// Load it answers: an outage turns away every request, each refusal is a line, and writing them
// takes the processor from the requests that could be served.
#pragma once

#include "berylridge/Support/LogEvent.h"
#include "berylridge/Support/Time.h"

#include <cstddef>

namespace berylridge {

/// Not safe for use by two threads at once.
class LogRateLimiter
{
public:
    /// A node of the size to come has 87 requests a second, a line of 400 to 500 bytes each; this
    /// leaves twice as much for what happens beside them. In lines and bytes a second.
    struct Limits
    {
        double lines = 300;
        double bytes = 128 * 1024;
    };

    explicit LogRateLimiter(Limits limits)
        : m_limits(limits)
        , m_lines(limits.lines * burstSeconds)
        , m_bytes(limits.bytes * burstSeconds)
    {
    }

    /// Whether a line of this size may be written now; takes its place where it may.
    bool tryTake(std::size_t bytes, LogLevel level, TimePoint now);

private:
    static constexpr double burstSeconds = 2;
    /// Part of the burst that is kept for warnings and errors: a flood of requests must not push
    /// out the lines that tell why.
    static constexpr double reservedFraction = 0.25;

    void refill(TimePoint now);

    Limits m_limits;
    double m_lines;
    double m_bytes;
    TimePoint m_lastRefillAt {};
};

} // namespace berylridge
