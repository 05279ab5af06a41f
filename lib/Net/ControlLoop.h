// Passes events to the decision core, one at a time on the control thread, and forwards its
// actions.
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
    using ActionHandler = std::function<void(Action &)>;

    /// Calls onIterationEnd once after all actions that result from one iteration of the event
    /// loop.
    ControlLoop(asio::io_context &context, CoreHandle core, Metrics &metrics,
                ActionHandler onAction, std::function<void()> onIterationEnd);

    /// Queue events for the control thread. Thread-safe.
    void post(Event event) { m_mailbox.put(std::move(event)); }
    void postAll(std::vector<Event> &events) { m_mailbox.putAll(events); }

    /// Passes one event to the core. Only for the control thread, which must call endIteration()
    /// afterwards.
    void handle(const Event &event);
    void endIteration();

private:
    void armTimer();

    CoreHandle m_core;
    Metrics &m_metrics;
    ActionHandler m_onAction;
    std::function<void()> m_onIterationEnd;
    SystemClock m_clock;
    asio::steady_timer m_timer;
    std::optional<TimePoint> m_armedDeadline;
    Actions m_actions;
    Mailbox<Event> m_mailbox;
};

} // namespace berylridge
