// The network of a test run: who reaches whom, after which delay, and what is lost or doubled.
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

using HostId = std::size_t;

/// How datagrams fare. Streams (connections) share the delay alone.
struct NetworkOptions
{
    Duration sameZoneDelay = std::chrono::microseconds(200);
    Duration crossZoneDelay = std::chrono::microseconds(1500);
    double jitterRatio = 0.3; ///< Share of the delay that is drawn anew each time.
    double lossProbability = 0.002;
    double duplicationProbability = 0.001;
    double delaySpikeProbability
        = 0.002; ///< Chance of a delay of up to 80 ms, which also reorders.
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
    /// The host at an endpoint; past the end where nothing is.
    HostId find(const Endpoint &endpoint) const;
    const ZoneId &zone(HostId host) const { return m_zones[host]; }

    /// Separates the hosts from all others until the returned partition is healed.
    std::size_t partition(const std::vector<HostId> &isolatedHosts);
    void healPartition(std::size_t partition);
    bool isConnected(HostId a, HostId b) const;
    bool isFullyConnected() const { return m_partitions.empty(); }

    Duration delay(HostId a, HostId b);
    /// Sends a datagram: it may come late, twice or never.
    void datagram(HostId from, HostId to, const EventQueue::Function &onArrival);
    /// Sends on a connection: bytes wait while the link is partition, up to a limit.
    void stream(HostId from, HostId to, EventQueue::Function onArrival);

    NetworkOptions options;

private:
    void retryStream(HostId from, HostId to, EventQueue::Function onArrival, TimePoint deadline);

    EventQueue &m_queue;
    RandomEngine &m_random;
    std::vector<ZoneId> m_zones;
    std::map<Endpoint, HostId> m_hosts;
    std::map<std::size_t, std::vector<bool>>
        m_partitions; ///< Which hosts are on the partition isolatedHosts.
    std::size_t m_nextPartition = 0;
};

} // namespace berylridge::rig
