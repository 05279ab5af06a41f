#include "berylridge/Policy/ServiceQueue.h"

#include <algorithm>

namespace berylridge {

namespace {

/// Weight of the latest sample; about the last ten samples determine the smoothed value.
constexpr double smoothingWeight = 0.2;
/// Cost that is assumed for a request before one was measured.
constexpr Duration initialCostEstimate = std::chrono::milliseconds(200);

double smoothed(double old, double sample)
{
    return old == 0 ? sample : old + smoothingWeight * (sample - old);
}

} // namespace

void DrainRateEstimator::onDequeued(TimePoint now)
{
    if (m_lastDequeuedAt)
        m_interval = smoothed(m_interval, std::max(toSeconds(now - *m_lastDequeuedAt), 1e-6));
    m_lastDequeuedAt = now;
}

double DrainRateEstimator::rate(TimePoint now) const
{
    if (m_interval == 0 || !m_lastDequeuedAt)
        return 0;
    // A flow that has stopped draining gets a lower rate with each moment, even before its next
    // request leaves.
    return 1 / std::max(m_interval, toSeconds(now - *m_lastDequeuedAt) / 2);
}

void ServiceQueue::push(FlowId flow, Handle handle, TimePoint now)
{
    activeQueue(flow, now).push_back({handle, now});
    ++m_size;
}

void ServiceQueue::pushFront(FlowId flow, Handle handle, TimePoint since, TimePoint now)
{
    activeQueue(flow, now).push_front({handle, since});
    ++m_size;
}

/// Returns the queue of a flow to which a request is about to be added. Time in which nothing
/// waited carries no information about the drain rate: if it counted, the second request after an
/// idle minute would be rejected as if it had to wait for half a minute.
ServiceQueue::Queue &ServiceQueue::activeQueue(FlowId flow, TimePoint now)
{
    const auto [entry, isNew] = m_waiting.try_emplace(flow);
    if (isNew)
        m_flows[flow].drain.onFirstWaiting(now);
    return entry->second;
}

void ServiceQueue::erase(std::map<FlowId, Queue>::iterator entry,
                         const Queue::const_iterator &waiting)
{
    entry->second.erase(waiting);
    --m_size;
    if (entry->second.empty())
        m_waiting.erase(entry);
}

bool ServiceQueue::remove(FlowId flow, Handle handle)
{
    const auto found = m_waiting.find(flow);
    if (found == m_waiting.end())
        return false;
    Queue &queue = found->second;
    const auto waiting = std::find_if(queue.begin(), queue.end(), [&](const WaitingRequest &value) {
        return value.handle == handle;
    });
    if (waiting == queue.end())
        return false;
    erase(found, waiting);
    return true;
}

std::size_t ServiceQueue::waiting(FlowId flow) const
{
    const auto found = m_waiting.find(flow);
    return found == m_waiting.end() ? 0 : found->second.size();
}

std::optional<Duration> ServiceQueue::expectedWait(FlowId flow, TimePoint now) const
{
    const std::size_t ahead = waiting(flow);
    if (ahead == 0)
        return Duration(0);
    const double rate = m_flows.at(flow).drain.rate(now);
    if (rate == 0)
        return std::nullopt;
    return fromSeconds(static_cast<double>(ahead) / rate);
}

void ServiceQueue::recordCost(FlowId flow, Duration used)
{
    double &cost = m_flows[flow].cost;
    cost = smoothed(cost, std::max(toSeconds(used), 1e-3));
}

Duration ServiceQueue::expectedCost(FlowId flow) const
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() || found->second.cost == 0 ? initialCostEstimate
                                                             : fromSeconds(found->second.cost);
}

std::vector<FlowDemand> ServiceQueue::demand(TimePoint now, std::size_t limit) const
{
    std::vector<FlowDemand> demand;
    for (const auto &[flow, queue] : m_waiting) {
        FlowDemand entry;
        entry.flow = flow;
        entry.waiting = static_cast<std::uint32_t>(queue.size());
        entry.oldestMs = toMilliseconds(now - queue.front().since);
        entry.costMs = toMilliseconds(expectedCost(flow));
        demand.push_back(entry);
    }
    const auto isOlder
        = [](const FlowDemand &a, const FlowDemand &b) { return a.oldestMs > b.oldestMs; };
    if (demand.size() > limit) {
        std::nth_element(demand.begin(), demand.begin() + static_cast<std::ptrdiff_t>(limit),
                         demand.end(), isOlder);
        demand.resize(limit);
    }
    return demand;
}

std::optional<TimePoint> ServiceQueue::oldestArrival() const
{
    std::optional<TimePoint> oldestArrival;
    for (const auto &[flow, queue] : m_waiting) {
        if (!oldestArrival || queue.front().since < *oldestArrival)
            oldestArrival = queue.front().since;
    }
    return oldestArrival;
}

} // namespace berylridge
