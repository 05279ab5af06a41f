// Queues the requests that wait on this node for one service, by flow and in order of arrival, and
// measures how fast they leave the queue.
#pragma once

#include "berylridge/Fleet/Messages.h"
#include "berylridge/Support/Time.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace berylridge {

/// Estimates how fast a flow's requests leave the queue.
class DrainRateEstimator
{
public:
    /// Starts the measurement when the first request waits.
    void onFirstWaiting(TimePoint now) { m_lastDequeuedAt = now; }
    void onDequeued(TimePoint now);
    /// Returns requests per second; 0 if nothing has left yet.
    double rate(TimePoint now) const;

private:
    double m_interval = 0; ///< Smoothed seconds between two departures; 0 before the second.
    std::optional<TimePoint>
        m_lastDequeuedAt; ///< Last departure, or when the first request began to wait.
};

class ServiceQueue
{
public:
    using Handle = std::uint64_t;

    struct WaitingRequest
    {
        Handle handle = 0;
        TimePoint since;
    };

    void push(FlowId flow, Handle handle, TimePoint now);
    /// Queues a request that is retried, before all others.
    void pushFront(FlowId flow, Handle handle, TimePoint since, TimePoint now);
    /// Removes and returns the flow's first request for which isFit(handle) holds.
    template <typename IsFit>
    std::optional<Handle> popIf(FlowId flow, TimePoint now, IsFit isFit)
    {
        const auto found = m_waiting.find(flow);
        if (found == m_waiting.end())
            return std::nullopt;
        Queue &queue = found->second;
        for (auto waiting = queue.begin(); waiting != queue.end(); ++waiting) {
            if (!isFit(waiting->handle))
                continue;
            const Handle handle = waiting->handle;
            erase(found, waiting);
            m_flows[flow].drain.onDequeued(now);
            return handle;
        }
        return std::nullopt;
    }
    bool remove(FlowId flow, Handle handle);

    /// Returns whether matches(flow, waiting) holds for any flow that waits.
    template <typename Matches>
    bool anyFlow(Matches matches) const
    {
        return std::any_of(m_waiting.begin(), m_waiting.end(), [&](const auto &entry) {
            return matches(entry.first, entry.second.size());
        });
    }

    std::size_t size() const { return m_size; }
    std::size_t waiting(FlowId flow) const;
    /// Returns how long a request that arrives now would wait, estimated from the flow's drain
    /// rate, or nothing if the rate is not known yet.
    std::optional<Duration> expectedWait(FlowId flow, TimePoint now) const;

    void recordCost(FlowId flow, Duration used);
    Duration expectedCost(FlowId flow) const;

    /// Returns at most `limit` of the flows that wait, those with the longest waits if there are
    /// more.
    std::vector<FlowDemand> demand(TimePoint now, std::size_t limit) const;
    /// Returns the arrival time of the request that has waited longest.
    std::optional<TimePoint> oldestArrival() const;

private:
    using Queue = std::deque<WaitingRequest>;
    /// State of a flow that is retained while none of its requests wait.
    struct Flow
    {
        DrainRateEstimator drain;
        double cost = 0; ///< Smoothed slot seconds per request; 0 before the first.
    };

    Queue &activeQueue(FlowId flow, TimePoint now);
    void erase(std::map<FlowId, Queue>::iterator entry, const Queue::const_iterator &waiting);

    std::map<FlowId, Flow> m_flows;
    std::map<FlowId, Queue> m_waiting; ///< Queues of flows that wait; none is empty.

    std::size_t m_size = 0;
};

} // namespace berylridge
