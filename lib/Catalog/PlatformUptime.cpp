#include "berylridge/Catalog/PlatformUptime.h"

#include <algorithm>

namespace berylridge {

void PlatformUptime::onReadingStarted(TimePoint now)
{
    m_isReading = true;
    m_waitingSince = now;
}

void PlatformUptime::onReadingEnded()
{
    m_isReading = false;
    m_waitingSince.reset();
}

void PlatformUptime::onAnswered(TimePoint now)
{
    if (now < m_backlogEnd)
        return;
    m_ownAnswerAt = now;
    if (m_isReading)
        m_waitingSince = now;
    merge({now, now});
}

void PlatformUptime::onReported(const Report &report, TimePoint now)
{
    if (now < m_backlogEnd)
        return;
    const TimePoint to = now - report.sinceAnswer;
    merge({std::min(now - report.upFor, to), to});
}

void PlatformUptime::onProcessResumed(TimePoint now)
{
    m_up.reset();
    m_followsOutage = true;
    m_ownAnswerAt.reset();
    if (m_waitingSince)
        m_waitingSince = now;
    m_backlogEnd = now + backlogTime;
}

void PlatformUptime::merge(const Period &period)
{
    if (!m_up) {
        m_up = period;
        return;
    }
    const bool isOnePeriod
        = period.from <= m_up->to + maxAnswerGap && m_up->from <= period.to + maxAnswerGap;
    if (isOnePeriod) {
        m_up = Period {std::min(m_up->from, period.from), std::max(m_up->to, period.to)};
    } else if (period.to > m_up->to) {
        m_up = period;
        m_followsOutage = true;
    }
}

std::optional<TimePoint> PlatformUptime::upSince() const
{
    return m_up ? std::optional(m_up->from) : std::nullopt;
}

std::optional<TimePoint> PlatformUptime::answeredAt() const
{
    return m_up ? std::optional(m_up->to) : std::nullopt;
}

std::optional<PlatformUptime::Report> PlatformUptime::report(TimePoint now) const
{
    if (!m_up)
        return std::nullopt;
    return Report {now - m_up->to, now - m_up->from};
}

std::optional<PlatformUptime::Report> PlatformUptime::ownReport(TimePoint now) const
{
    if (!m_ownAnswerAt || *m_ownAnswerAt < m_up->from)
        return std::nullopt;
    return Report {now - *m_ownAnswerAt, now - m_up->from};
}

std::optional<Duration> PlatformUptime::ownWait(TimePoint now) const
{
    return m_waitingSince ? std::optional(now - *m_waitingSince) : std::nullopt;
}

} // namespace berylridge
