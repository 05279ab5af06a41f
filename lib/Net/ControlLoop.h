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
    using ActionHandler = std::function<void(Action &)>;

    /// endIteration is called after all actions that came of one wake-up.
    ControlLoop(asio::io_context &context, CoreHandle core, Metrics &metrics,
                ActionHandler onAction, std::function<void()> endIteration);

    /// From any thread.
    void post(Event event) { m_mailbox.put(std::move(event)); }
    void postAll(std::vector<Event> &events) { m_mailbox.putAll(events); }

    /// On the control thread; endIteration() must follow.
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
