// Requests that wait on this node for one service, by flow in order of arrival, and how fast they
// leave.
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

/// How fast a flow's requests leave the queue, from the times at which they left.
class DrainRateEstimator
{
public:
    /// A first request waits: from now on the flow could drain.
    void onFirstWaiting(TimePoint now) { m_lastDequeuedAt = now; }
    void onDequeued(TimePoint now);
    /// Requests a second; 0 when nothing has left yet.
    double rate(TimePoint now) const;

private:
    double m_interval = 0; ///< Smoothed seconds between two; 0 before the second.
    std::optional<TimePoint>
        m_lastDequeuedAt; ///< When one left last, or when the first began to wait.
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
    /// A request that is to be tried again goes before those that wait.
    void pushFront(FlowId flow, Handle handle, TimePoint since, TimePoint now);
    /// The flow's first request for which isFit(handle) holds, taken out.
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

    /// Whether matches(flow, waiting) holds for any flow that waits.
    template <typename IsSuch>
    bool anyFlow(IsSuch matches) const
    {
        return std::any_of(m_waiting.begin(), m_waiting.end(), [&](const auto &entry) {
            return matches(entry.first, entry.second.size());
        });
    }

    std::size_t size() const { return m_size; }
    std::size_t waiting(FlowId flow) const;
    /// How long a request that comes now would wait, judged by how fast the flow drains; none when
    /// that is not known yet.
    std::optional<Duration> expectedWait(FlowId flow, TimePoint now) const;

    void recordCost(FlowId flow, Duration used);
    Duration expectedCost(FlowId flow) const;

    /// Flows that wait, longest wait first, at most limit of them.
    std::vector<FlowDemand> demand(TimePoint now, std::size_t limit) const;
    /// When the oldestArrival waiting request came.
    std::optional<TimePoint> oldestArrival() const;

private:
    using Queue = std::deque<WaitingRequest>;
    /// What is kept of a flow while nothing of it waits.
    struct Flow
    {
        DrainRateEstimator drain;
        double cost = 0; ///< Smoothed slot seconds of a request; 0 before the first.
    };

    Queue &activeQueue(FlowId flow, TimePoint now);
    void erase(std::map<FlowId, Queue>::iterator entry, const Queue::const_iterator &waiting);

    std::map<FlowId, Flow> m_flows;
    std::map<FlowId, Queue> m_waiting; ///< Of flows that wait; none is empty.

    std::size_t m_size = 0;
};

} // namespace berylridge
