#include "berylridge/Support/LogRateLimiter.h"

#include <algorithm>

namespace berylridge {

bool LogRateLimiter::tryTake(std::size_t bytes, LogLevel level, TimePoint now)
{
    refill(now);
    const double reserved = level == LogLevel::Info ? reservedFraction * burstSeconds : 0;
    const auto size = static_cast<double>(bytes);
    if (m_lines - 1 < reserved * m_limits.lines || m_bytes - size < reserved * m_limits.bytes)
        return false;
    m_lines -= 1;
    m_bytes -= size;
    return true;
}

void LogRateLimiter::refill(TimePoint now)
{
    const double seconds = std::max(0.0, toSeconds(now - m_lastRefillAt));
    m_lastRefillAt = now;
    m_lines = std::min(m_lines + seconds * m_limits.lines, m_limits.lines * burstSeconds);
    m_bytes = std::min(m_bytes + seconds * m_limits.bytes, m_limits.bytes * burstSeconds);
}

} // namespace berylridge
