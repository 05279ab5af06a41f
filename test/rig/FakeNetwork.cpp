#include "FakeNetwork.h"

namespace berylridge::rig {

namespace {

constexpr Duration retransmitPeriod = std::chrono::milliseconds(200);
constexpr Duration retransmitTimeout = std::chrono::seconds(15);
constexpr double maxDelaySpikeSeconds = 0.08;

} // namespace

HostId FakeNetwork::add(const ZoneId &zone, const Endpoint &endpoint)
{
    m_zones.push_back(zone);
    m_hosts[endpoint] = m_zones.size() - 1;
    return m_zones.size() - 1;
}

HostId FakeNetwork::find(const Endpoint &endpoint) const
{
    const auto found = m_hosts.find(endpoint);
    return found == m_hosts.end() ? m_zones.size() : found->second;
}

std::size_t FakeNetwork::partition(const std::vector<HostId> &isolatedHosts)
{
    std::vector<bool> isIsolated(m_zones.size(), false);
    for (const HostId host : isolatedHosts)
        isIsolated[host] = true;
    m_partitions.emplace(m_nextPartition, std::move(isIsolated));
    return m_nextPartition++;
}

void FakeNetwork::healPartition(std::size_t partition)
{
    m_partitions.erase(partition);
}

bool FakeNetwork::isConnected(HostId a, HostId b) const
{
    for (const auto &[id, isIsolated] : m_partitions) {
        if (isIsolated[a] != isIsolated[b])
            return false;
    }
    return true;
}

Duration FakeNetwork::delay(HostId a, HostId b)
{
    const Duration base = m_zones[a] == m_zones[b] ? options.sameZoneDelay : options.crossZoneDelay;
    const double factor = 1.0 + options.jitterRatio * (uniform(m_random) - 0.5);
    return fromSeconds(toSeconds(base) * factor);
}

void FakeNetwork::sendDatagram(HostId from, HostId to, const EventQueue::Function &onArrival)
{
    if (!isConnected(from, to) || uniform(m_random) < options.lossProbability)
        return;
    const int copies = uniform(m_random) < options.duplicationProbability ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        Duration wait = delay(from, to);
        if (uniform(m_random) < options.delaySpikeProbability)
            wait += fromSeconds(maxDelaySpikeSeconds * uniform(m_random));
        m_queue.scheduleAfter(wait, [this, from, to, onArrival] {
            if (isConnected(from, to))
                onArrival();
        });
    }
}

void FakeNetwork::sendOnStream(HostId from, HostId to, EventQueue::Function onArrival)
{
    const TimePoint deadline = m_queue.now() + retransmitTimeout;
    m_queue.scheduleAfter(delay(from, to),
                          [this, from, to, deadline, onArrival = std::move(onArrival)]() mutable {
                              retryStream(from, to, std::move(onArrival), deadline);
                          });
}

void FakeNetwork::retryStream(HostId from, HostId to, EventQueue::Function onArrival,
                              TimePoint deadline)
{
    if (isConnected(from, to)) {
        onArrival();
        return;
    }
    if (m_queue.now() >= deadline)
        return;
    m_queue.scheduleAfter(retransmitPeriod,
                          [this, from, to, deadline, onArrival = std::move(onArrival)]() mutable {
                              retryStream(from, to, std::move(onArrival), deadline);
                          });
}

} // namespace berylridge::rig
