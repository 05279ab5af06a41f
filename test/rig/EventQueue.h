// A discrete event simulation: a manual clock and a queue of scheduled functions. Both are the only
// source of time in a simulation.
#pragma once

#include "berylridge/Support/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace berylridge::rig {

class EventQueue
{
public:
    using Function = std::function<void()>;

    TimePoint now() const { return m_clock.now(); }
    WallTime wallNow() const { return m_clock.wallNow(); }

    /// Runs the function at that time, or at the current time where that has passed.
    void scheduleAt(TimePoint when, Function function)
    {
        m_entries.push({std::max(when, now()), m_sequence++, std::move(function)});
    }
    void scheduleAfter(Duration wait, Function function)
    {
        scheduleAt(now() + wait, std::move(function));
    }

    /// Runs all functions that are due up to the end, and sets the clock to it. The order is that
    /// of time; functions of the same instant run in the order in which they were scheduled.
    void runUntil(TimePoint end)
    {
        while (!m_entries.empty() && m_entries.top().when <= end) {
            Entry entry = std::move(const_cast<Entry &>(m_entries.top())); // NOLINT: popped next
            m_entries.pop();
            m_clock.advance(entry.when - now());
            entry.function();
        }
        m_clock.advance(end - now());
    }

private:
    struct Entry
    {
        TimePoint when;
        std::uint64_t sequence;
        Function function;
        bool operator<(const Entry &other) const
        {
            return std::tie(when, sequence) > std::tie(other.when, other.sequence);
        }
    };

    ManualClock m_clock;
    std::priority_queue<Entry> m_entries;
    std::uint64_t m_sequence = 0;
};

} // namespace berylridge::rig
