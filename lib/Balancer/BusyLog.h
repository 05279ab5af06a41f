// One line a second while the node's traffic threads run late.
#pragma once

#include "BalancerContext.h"

#include "berylridge/Router/Events.h"

#include <cstddef>

namespace berylridge {

class BusyLog
{
public:
    explicit BusyLog(BalancerContext &context)
        : m_context(context)
    {
    }

    void onLag(const TrafficLag &event);

    /// Logs and begins anew, once a second at most; so many requests run.
    void tick(std::size_t running);

private:
    BalancerContext &m_context;
    TrafficLag m_sum {Duration(0)}; ///< Since the last line; the lag is the worst.
    std::uint64_t m_shed = 0;       ///< Requests turned away since then.
    TimePoint m_toldAt {};
};

} // namespace berylridge
