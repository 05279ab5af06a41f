// A simulated network: reachability, delays, loss and duplication.
#pragma once

#include "EventQueue.h"

#include "berylridge/Support/Endpoint.h"
#include "berylridge/Support/Id.h"
#include "berylridge/Support/Random.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace berylridge::rig {

/// Index of an endpoint of the network: a node, a target or the platform.
using HostId = std::size_t;

/// Properties of datagram delivery. Streams (connections) use the delays only, without spikes.
struct NetworkOptions
{
    Duration sameZoneDelay = std::chrono::microseconds(200);
    Duration crossZoneDelay = std::chrono::microseconds(1500);
    double jitterRatio = 0.3; ///< Width of the random part of each delay, relative to the delay.
    double lossProbability = 0.002;
    double duplicationProbability = 0.001;
    /// Probability of an added delay of up to 80 ms, which also reorders.
    double delaySpikeProbability = 0.002;
};

class FakeNetwork
{
public:
    FakeNetwork(EventQueue &queue, RandomEngine &random)
        : m_queue(queue)
        , m_random(random)
    {
    }

    HostId add(const ZoneId &zone, const Endpoint &endpoint);
    /// Returns the host at an endpoint, or the number of hosts if the endpoint is unknown.
    HostId find(const Endpoint &endpoint) const;
    const ZoneId &zone(HostId host) const { return m_zones[host]; }

    /// Separates the hosts from all others. Returns the partition's id for healPartition().
    std::size_t partition(const std::vector<HostId> &isolatedHosts);
    void healPartition(std::size_t partition);
    bool isConnected(HostId a, HostId b) const;
    bool isFullyConnected() const { return m_partitions.empty(); }

    Duration delay(HostId a, HostId b);
    /// Sends a datagram, which may be delayed, duplicated or lost.
    void sendDatagram(HostId from, HostId to, const EventQueue::Function &onArrival);
    /// Sends data on a connection. While the hosts are partitioned, the data is retransmitted until
    /// a timeout, and then dropped.
    void sendOnStream(HostId from, HostId to, EventQueue::Function onArrival);

    NetworkOptions options;

private:
    void retryStream(HostId from, HostId to, EventQueue::Function onArrival, TimePoint deadline);

    EventQueue &m_queue;
    RandomEngine &m_random;
    std::vector<ZoneId> m_zones;
    std::map<Endpoint, HostId> m_hosts;
    /// Which hosts are isolated, by partition id.
    std::map<std::size_t, std::vector<bool>> m_partitions;
    std::size_t m_nextPartition = 0;
};

} // namespace berylridge::rig
