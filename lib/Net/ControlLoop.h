// Feeds the decision core, one event at a time on the control thread, and hands out its actions.
#pragma once

#include "Mailbox.h"
#include "berylridge/Net/Asio.h"

#include "berylridge/Net/Metrics.h"
#include "berylridge/Net/RouterNode.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

namespace berylridge {

class ControlLoop
{
public:
    using CarryOut = std::function<void(Action &)>;

    /// endTurn is called after all actions that came of one wake-up.
    ControlLoop(asio::io_context &context, CoreHandle core, Metrics &metrics, CarryOut carryOut,
                std::function<void()> endTurn);

    /// From any thread.
    void post(Event event) { m_inbox.put(std::move(event)); }
    void postAll(std::vector<Event> &events) { m_inbox.putAll(events); }

    /// On the control thread; endTurn() must follow.
    void handle(const Event &event);
    void endTurn();

private:
    void armTimer();

    CoreHandle m_core;
    Metrics &m_metrics;
    CarryOut m_carryOut;
    std::function<void()> m_endTurn;
    SystemClock m_clock;
    asio::steady_timer m_timer;
    std::optional<TimePoint> m_armedFor;
    Actions m_actions;
    Mailbox<Event> m_inbox;
};

} // namespace berylridge
