// Limits the rate of log lines of a process.
//
// During an outage every request is rejected and each rejection is a log line. Writing all of these
// lines would take CPU time from the requests that could be served.
#pragma once

#include "berylridge/Support/LogEvent.h"
#include "berylridge/Support/Time.h"

#include <cstddef>

namespace berylridge {

/// Token bucket for lines and bytes. Not thread-safe.
class LogRateLimiter
{
public:
    /// Limits in lines and bytes per second. A node of the planned size handles 87 requests per
    /// second and writes a line of 400 to 500 bytes for each; the defaults leave twice as much for
    /// all other lines.
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

    /// Returns whether a line of this size may be written now, and if so deducts it from the
    /// limits.
    bool tryTake(std::size_t bytes, LogLevel level, TimePoint now);

private:
    static constexpr double burstSeconds = 2;
    /// Fraction of the burst that is reserved for warnings and errors, so that many request lines
    /// cannot displace the lines that explain the cause.
    static constexpr double reservedFraction = 0.25;

    void refill(TimePoint now);

    Limits m_limits;
    double m_lines;
    double m_bytes;
    TimePoint m_lastRefillAt {};
};

} // namespace berylridge
