// Logs one line per second while the node's traffic threads are late.
#pragma once

#include "BalancerContext.h"

#include "berylridge/Router/Events.h"

#include <cstddef>

namespace berylridge {

class OverloadLog
{
public:
    explicit OverloadLog(BalancerContext &context)
        : m_context(context)
    {
    }

    void onLag(const TrafficThreadReport &event);

    /// Logs and resets the totals, at most once per second. `running` is the number of running
    /// requests.
    void tick(std::size_t running);

private:
    BalancerContext &m_context;
    TrafficThreadReport m_accumulated {
        Duration(0)};                 ///< Totals since the last line, and the largest lag.
    std::uint64_t m_shedRequests = 0; ///< Requests rejected since the last line.
    TimePoint m_lastLoggedAt {};
};

} // namespace berylridge
