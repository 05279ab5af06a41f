// One paused clock and one queue of what happens when: the only source of time of a test run.
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

    void at(TimePoint when, Function function)
    {
        m_entries.push({std::max(when, now()), m_sequence++, std::move(function)});
    }
    void after(Duration wait, Function function) { at(now() + wait, std::move(function)); }

    /// Runs everything that is due up to then, in order of time and, within one instant, of entry.
    void runUntil(TimePoint end)
    {
        while (!m_entries.empty() && m_entries.top().when <= end) {
            Entry entry = std::move(const_cast<Entry &>(m_entries.top())); // NOLINT: popped at once
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
