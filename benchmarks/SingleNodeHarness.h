// Runs one real decision core in a simulated fleet: generates the messages that its peers would
// send in a fleet of a given size, and measures the core's cost.
#pragma once

#include "berylridge/Net/Datagram.h"
#include "berylridge/Policy/Pool.h"
#include "berylridge/Router/RouterCore.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace berylridge {

/// The size of a fleet and the load of one of its nodes.
struct FleetParameters
{
    unsigned zones = 3;
    unsigned nodesPerZone = 3;
    unsigned services = 1;
    unsigned targetsPerZone = 4; ///< Per service.
    unsigned workspaces = 16;
    unsigned flowsPerDemand = 3;   ///< Backlogged, per service and peer of the zone.
    double requestsPerSecond = 20; ///< Arrivals at this node.
    Duration requestTime = std::chrono::seconds(2);
    double changesPerHour = 0; ///< Each publishes a new version of every document.
};

/// The resources that the core used during a run.
struct CoreCost
{
    double cpuPerSecond = 0; ///< CPU seconds per second, so 1 is one processor core.
    double memoryBytes = 0;
    double sentBytesPerSecond = 0; ///< Between nodes, including headers.
    double receivedBytesPerSecond = 0;
    double requestsPerSecond = 0;              ///< Completed.
    std::map<std::string, double> bytesByKind; ///< Sent and received, per second.
};

class SingleNodeHarness
{
public:
    explicit SingleNodeHarness(const FleetParameters &parameters);
    ~SingleNodeHarness();

    /// Runs for the given time on a manual clock, after a warm-up that is not measured.
    CoreCost run(Duration time);

private:
    struct Peer
    {
        NodeId node;
        ZoneId zone;
        TimePoint nextHeartbeat;
        TimePoint nextDemand;
        std::uint64_t sequence = 0;
        std::map<PoolId, std::map<LeaseId, HeldLease>> held;
        std::map<PoolId, std::uint64_t> lastGrant;
        std::uint64_t nextLease = 1;
    };
    struct ScheduledEvent
    {
        TimePoint at;
        Event event;
        bool operator>(const ScheduledEvent &other) const { return at > other.at; }
    };

    void publishDocuments();
    ServiceDocument makeServiceDocument(unsigned service) const;
    std::string writeDocumentText(unsigned service, unsigned revision) const;
    void handleEvent(const Event &event);
    void performActions(const Actions &actions);
    void onMessageSent(const SendToNode &send);
    void onDemand(Peer &peer, const PoolDemand &demand);
    void onGrant(Peer &peer, const PoolGrant &grant);
    void findOwnedPools();
    void step();
    void sendPeerMessages();
    void heartbeat(Peer &peer);
    void demand(Peer &peer);
    void deliverToCore(Peer &peer, FleetMessage message);
    void generateRequests();
    void generateDocumentChanges();
    void count(const PeerMessage &message, bool isSent);

    FleetParameters m_parameters;
    ManualClock m_clock;
    std::unique_ptr<RouterCore> m_core;
    std::map<NodeId, Peer> m_peers;
    std::vector<ServiceDocument> m_documents;
    std::map<PoolId, Pool> m_pools;
    std::vector<PoolId> m_ownedPools; ///< Pools that the core owns.
    std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>>
        m_scheduledEvents;
    std::uint64_t m_zoneDigest = 0;
    std::uint64_t m_documentsDigest = 0;
    std::uint64_t m_nextHandle = 1;
    double m_dueRequestCount = 0;
    double m_dueChangeCount = 0;
    unsigned m_revision = 1;
    bool m_isMeasuring = false;
    double m_cpuSeconds = 0;
    double m_initialHeapBytes = 0;
    std::uint64_t m_completedRequests = 0;
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_receivedBytes = 0;
    std::map<std::string, double> m_bytesByKind;
};

} // namespace berylridge
