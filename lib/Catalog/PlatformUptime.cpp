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
    onWaitReported(ownWait(now).value_or(Duration(0)), now);
    m_ownAnswerAt = now;
    if (m_isReading)
        m_waitingSince = now;
    merge({now, now}, false, now);
}

void PlatformUptime::onReported(const Report &report, TimePoint now)
{
    if (now < m_backlogEnd)
        return;
    onWaitReported(report.waitingFor, now);
    const TimePoint to = now - report.sinceAnswer;
    merge({std::min(now - report.upFor, to), to}, report.followsOutage, now);
}

void PlatformUptime::onWaitReported(Duration wait, TimePoint now)
{
    if (now >= m_backlogEnd && wait > maxWatchTime)
        m_unansweredAt = now;
}

void PlatformUptime::onProcessResumed(TimePoint now)
{
    m_up.reset();
    m_followsOutage = true;
    m_isOutageKnown = false;
    m_unansweredAt.reset();
    m_ownAnswerAt.reset();
    if (m_waitingSince)
        m_waitingSince = now;
    m_backlogEnd = now + backlogTime;
}

void PlatformUptime::merge(const Period &period, bool followsOutage, TimePoint now)
{
    const bool isNewer = m_up && period.from > m_up->to + maxAnswerGap;
    const bool isOlder = m_up && m_up->from > period.to + maxAnswerGap;
    if (isOlder)
        return;
    // The pause between two periods was an outage only if a node asked in it.
    const bool isAfterOutage = followsOutage || (isNewer && isUnanswered(now));
    if (!m_up || (isNewer && isAfterOutage))
        m_up = period;
    else
        m_up = Period {std::min(m_up->from, period.from), std::max(m_up->to, period.to)};
    m_followsOutage = m_followsOutage || isAfterOutage;
    m_isOutageKnown = m_isOutageKnown || isAfterOutage;
}

bool PlatformUptime::isUnanswered(TimePoint now) const
{
    const bool isReported = m_up && m_unansweredAt > m_up->to;
    return isReported || ownWait(now).value_or(Duration(0)) > maxWatchTime;
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
    const Duration sinceAnswer = now - m_up->to;
    return Report {sinceAnswer, now - m_up->from, isSilent(now) ? sinceAnswer : Duration(0),
                   m_isOutageKnown};
}

std::optional<PlatformUptime::Report> PlatformUptime::ownReport(TimePoint now) const
{
    if (!m_ownAnswerAt || *m_ownAnswerAt < m_up->from)
        return std::nullopt;
    return Report {now - *m_ownAnswerAt, now - m_up->from, ownWait(now).value_or(Duration(0)),
                   m_isOutageKnown};
}

std::optional<Duration> PlatformUptime::ownWait(TimePoint now) const
{
    return m_waitingSince ? std::optional(now - *m_waitingSince) : std::nullopt;
}

} // namespace berylridge
