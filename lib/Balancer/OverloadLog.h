// One line a second while the node's traffic threads run late.
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

    void onLag(const TrafficLag &event);

    /// Logs and begins anew, once a second at most; so many requests run.
    void tick(std::size_t running);

private:
    BalancerContext &m_context;
    TrafficLag m_accumulated {Duration(0)}; ///< Since the last line; the lag is the worst.
    std::uint64_t m_shedRequests = 0;       ///< Requests turned away since then.
    TimePoint m_lastLoggedAt {};
};

} // namespace berylridge
