#include "OverloadLog.h"

#include <algorithm>
#include <utility>

namespace berylridge {

namespace {

constexpr Duration logPeriod = std::chrono::seconds(1);

} // namespace

void OverloadLog::onLag(const TrafficThreadReport &event)
{
    m_accumulated.lag = std::max(m_accumulated.lag, event.lag);
    m_accumulated.connections += event.connections;
    m_accumulated.leftUnread += event.leftUnread;
    m_accumulated.threadProcessorTime += event.threadProcessorTime;
    m_accumulated.processProcessorTime += event.processProcessorTime;
    for (const ShedCount &each : event.shed)
        m_shedRequests += each.requests;
}

void OverloadLog::tick(std::size_t running)
{
    if (m_accumulated.lag == Duration(0) || m_context.now - m_lastLoggedAt < logPeriod)
        return;
    m_lastLoggedAt = m_context.now;
    const TrafficThreadReport sum = std::exchange(m_accumulated, TrafficThreadReport {Duration(0)});
    const std::uint64_t shed = std::exchange(m_shedRequests, 0);
    Json::Value fields;
    fields["lagMs"] = toMilliseconds(sum.lag);
    fields["turnedAway"] = Json::UInt64(shed);
    fields["connections"] = Json::UInt64(sum.connections);
    fields["leftUnread"] = Json::UInt64(sum.leftUnread);
    fields["running"] = Json::UInt64(running);
    fields["trafficCpuMs"] = toMilliseconds(sum.threadProcessorTime);
    fields["processCpuMs"] = toMilliseconds(sum.processProcessorTime);
    m_context.log(LogEventId::NodeBusy, "", std::move(fields));
}

} // namespace berylridge
