#include "ControlLoop.h"

#include <algorithm>
#include <utility>

namespace berylridge {

namespace {

constexpr Duration maxTimerWait = std::chrono::hours(1);

} // namespace

ControlLoop::ControlLoop(asio::io_context &context, CoreHandle core, Metrics &metrics,
                         ActionHandler onAction, std::function<void()> onIterationEnd)
    : m_core(std::move(core))
    , m_metrics(metrics)
    , m_onAction(std::move(onAction))
    , m_onIterationEnd(std::move(onIterationEnd))
    , m_timer(context)
    , m_mailbox(context, [this](std::vector<Event> &events) {
        for (const Event &event : events)
            handle(event);
        this->endIteration();
    })
{
}

void ControlLoop::handle(const Event &event)
{
    ++m_metrics.controlEvents;
    m_core.handle(event, m_clock.now(), m_clock.wallNow(), m_actions);
    // An action can cause another event immediately, whose actions must run after these.
    Actions actions = std::exchange(m_actions, {});
    for (Action &action : actions)
        m_onAction(action);
    actions.clear();
    if (m_actions.empty())
        m_actions = std::move(actions); // Reuses the allocated memory.
}

void ControlLoop::endIteration()
{
    m_onIterationEnd();
    armTimer();
}

void ControlLoop::armTimer()
{
    // A distant time, such as that of a core without a timer, would overflow the units of the
    // steady clock.
    const TimePoint deadline = std::min(m_core.nextTimer(), m_clock.now() + maxTimerWait);
    if (m_armedDeadline == deadline)
        return;
    m_armedDeadline = deadline;
    // The core uses the time of the steady clock.
    m_timer.expires_at(std::chrono::steady_clock::time_point(deadline.time_since_epoch()));
    m_timer.async_wait([this](error_code error) {
        if (error)
            return;
        m_armedDeadline.reset();
        handle(TimerDue {});
        this->endIteration();
    });
}

} // namespace berylridge
