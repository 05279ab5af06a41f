#include "BusyLog.h"

#include <algorithm>
#include <utility>

namespace berylridge {

namespace {

constexpr Duration tellPeriod = std::chrono::seconds(1);

} // namespace

void BusyLog::onLag(const TrafficLag &event)
{
    m_sum.lag = std::max(m_sum.lag, event.lag);
    m_sum.connections += event.connections;
    m_sum.leftUnread += event.leftUnread;
    for (const ShedCount &each : event.shed)
        m_shed += each.requests;
}

void BusyLog::tick(std::size_t running)
{
    if (m_sum.lag == Duration(0) || m_context.now - m_toldAt < tellPeriod)
        return;
    m_toldAt = m_context.now;
    const TrafficLag sum = std::exchange(m_sum, TrafficLag {Duration(0)});
    const std::uint64_t shed = std::exchange(m_shed, 0);
    Json::Value fields;
    fields["lagMs"] = toMilliseconds(sum.lag);
    fields["turnedAway"] = Json::UInt64(shed);
    fields["connections"] = Json::UInt64(sum.connections);
    fields["leftUnread"] = Json::UInt64(sum.leftUnread);
    fields["running"] = Json::UInt64(running);
    m_context.log(LogEventId::NodeBusy, "", std::move(fields));
}

} // namespace berylridge
