// Runs the steps of a simulation in the order of their times.
#pragma once

#include "berylridge/Support/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace berylridge::test {

class StepSchedule
{
public:
    /// `advance` is called with the time that passes before a step runs.
    explicit StepSchedule(std::function<void(Duration)> advance)
        : m_advance(std::move(advance))
    {
    }

    /// Returns the time since the start of the simulation.
    Duration now() const { return m_now; }

    void add(Duration delay, std::function<void()> run)
    {
        m_steps.push({m_now + delay, ++m_lastStep, std::move(run)});
    }

    void runUntil(Duration end)
    {
        while (!m_steps.empty() && m_steps.top().at <= end) {
            const Step step = m_steps.top();
            m_steps.pop();
            m_advance(step.at - m_now);
            m_now = step.at;
            step.run();
        }
    }

private:
    struct Step
    {
        Duration at;
        std::uint64_t number;
        std::function<void()> run;

        bool operator<(const Step &other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    std::function<void(Duration)> m_advance;
    std::priority_queue<Step> m_steps;
    std::uint64_t m_lastStep = 0;
    Duration m_now {0};
};

} // namespace berylridge::test
