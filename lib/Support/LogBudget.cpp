#include "berylridge/Support/LogBudget.h"

#include <algorithm>

namespace berylridge {

bool LogBudget::tryTake(std::size_t bytes, LogLevel level, TimePoint now)
{
    refill(now);
    const double kept = level == LogLevel::Info ? keptPart * burstSeconds : 0;
    const auto size = static_cast<double>(bytes);
    if (m_lines - 1 < kept * m_limits.lines || m_bytes - size < kept * m_limits.bytes)
        return false;
    m_lines -= 1;
    m_bytes -= size;
    return true;
}

void LogBudget::refill(TimePoint now)
{
    const double seconds = std::max(0.0, toSeconds(now - m_filledAt));
    m_filledAt = now;
    m_lines = std::min(m_lines + seconds * m_limits.lines, m_limits.lines * burstSeconds);
    m_bytes = std::min(m_bytes + seconds * m_limits.bytes, m_limits.bytes * burstSeconds);
}

} // namespace berylridge
