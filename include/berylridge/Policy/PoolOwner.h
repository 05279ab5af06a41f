// The owner of a pool. It tracks the waiting requests of every node and the requests running at the
// pool's targets, and grants free slots to the flow with the lowest virtual time.
#pragma once

#include "berylridge/Policy/FlowAccounting.h"
#include "berylridge/Policy/Pool.h"
#include "berylridge/Policy/SchedulingPolicy.h"
#include "berylridge/Policy/TargetCapacity.h"
#include "berylridge/Support/Endpoint.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace berylridge {

/// A message of a pool's owner to a lease holder.
struct OwnerMessage
{
    NodeId to;
    PoolGrant grant;
};

struct PoolOwnerOptions
{
    Incarnation incarnation = 0; ///< Incarnation of the owning node.
    Duration leaseTerm {0};
    SchedulingPolicy policy;
};

class PoolOwner
{
public:
    /// Takes ownership of the pool. Grants are delayed by one lease term: an earlier owner may be
    /// paused or partitioned, and its grants expire by then. Meanwhile holders report the leases
    /// that they hold.
    PoolOwner(const TargetStateMachine &stateMachine, PoolOwnerOptions options, TimePoint now);

    /// Applies the document. Targets that left the pool are dropped with their leases. isLeaving of
    /// each target says whether it is closed for new work, for any reason.
    void configure(const ServiceDocument &document, const Pool &pool, TimePoint now);
    void setAgreement(OwnerAgreement agreement) { m_agreement = agreement; }

    void onDemand(const NodeId &from, Incarnation incarnation, const PoolDemand &message,
                  TimePoint now);
    void onReturn(const NodeId &from, const PoolReturn &message, TimePoint now);
    void onTargetObservation(const TargetObservation &observation, TimePoint now);
    void onLoadReport(TargetHash target, std::string_view bootId, std::uint32_t running,
                      std::uint64_t completed, Duration age, TimePoint now);
    void onPollFailed(TargetHash target, bool isRefused, TimePoint now);
    /// Returns all granted leases for the successor. This owner must not grant anything afterwards.
    PoolHandover handover(TimePoint now) const;
    /// Continues from the earlier owner's state. Warm targets get work at once. Cold ones get it
    /// only after the lease term, since a third node may have acted as the owner in the meantime.
    void takeOver(const PoolHandover &message, TimePoint now);
    /// Handles the end of a node's incarnation: its leases are released and its demand is dropped.
    void onHolderEnded(const NodeId &node, Incarnation incarnation, TimePoint now);
    /// Adds the service that another pool of the service gave to each flow.
    void onRemoteUsage(const PoolUsage &message);

    /// Reclaims expired leases and removes outdated entries.
    void tick(TimePoint now);
    /// Grants free slots as long as there is demand.
    std::vector<OwnerMessage> grant(TimePoint now);

    /// Returns the targets whose load report is due, and schedules their next poll.
    std::vector<TargetHash> duePolls(TimePoint now);
    /// Returns the service that the pool's flows received, for the owners of the service's other
    /// pools.
    PoolUsage usageReport(TimePoint now) const;

    /// Status of a target: its capacity, its present limit and its granted leases.
    struct TargetView
    {
        const TargetCapacity *capacity;
        std::uint32_t limit;
        std::uint32_t granted;
    };
    std::optional<TargetView> target(TargetHash target, TimePoint now) const;
    double virtualTime(FlowId flow, TimePoint now) const
    {
        return m_accounting.virtualTime(flow, now);
    }
    std::size_t waiting() const;

private:
    struct Lease
    {
        NodeId node;
        Incarnation incarnation = 0;
        TargetHash target = 0;
        FlowId flow = 0;
        std::uint64_t number = 0; ///< Number of the grant; 0 for a lease of an earlier owner.
        TimePoint grantedAt;
        TimePoint
            startDeadline; ///< No request starts after it; the holder's own deadline is earlier.
        TimePoint confirmedAt; ///< When the holder last reported the lease.
        Duration estimate {0};
        bool isConfirmed = false; ///< Whether the holder has reported the lease.
        bool isInFlight = false;  ///< Whether the holder may not have received it yet.
    };
    struct Holder
    {
        Incarnation incarnation = 0;
        std::uint64_t sequence = 0;
        std::int64_t sentAt = 0;
        TimePoint demandReceivedAt;
        TimePoint leasesReportedAt;              ///< When it last reported all its leases.
        std::uint64_t lastGrantNumber = 0;       ///< Highest grant number sent to it.
        std::uint64_t lastAcknowledgedGrant = 0; ///< Highest grant number that it has received.
        std::map<FlowId, FlowDemand> demands;
    };
    struct Target
    {
        TargetCapacity capacity;
        std::uint32_t occupied = 0;
    };

    void acknowledgeGrants(const NodeId &from, Holder &holder, const PoolDemand &message);
    void markDelivered(Lease &lease);
    Lease *adoptLease(LeaseId id, Lease lease, TimePoint now);
    bool isTakeoverPending(TimePoint now) const;

    void reconcile(const NodeId &from, Holder &holder, const PoolDemand &message, TimePoint now);
    void free(std::map<LeaseId, Lease>::iterator lease, Duration used);
    bool isReclaimable(const Lease &lease, TimePoint now) const;
    std::uint32_t freeSlots(const Target &target, TimePoint now) const;
    std::uint32_t untrackedRequests(const Target &target, TimePoint now) const;
    /// A flow at one node, identifying whose requests wait.
    using FlowAtNode = std::pair<NodeId, FlowId>;
    std::optional<TargetHash> selectTarget(const FlowAtNode &flowAtNode, TimePoint now) const;
    bool hasFreeSlot(TimePoint now) const;
    bool isRejectedBy(const FlowAtNode &flowAtNode, TargetHash target, TimePoint now) const;
    struct FlowChoice
    {
        NodeId node;
        FlowId flow = 0;
        double virtualTime = 0;
    };
    std::optional<FlowChoice> selectFlow(const std::set<FlowAtNode> &skipped, TimePoint now) const;
    std::uint32_t ungrantedRequests(const NodeId &node, const FlowDemand &demand) const;

    const TargetStateMachine *m_stateMachine;
    PoolOwnerOptions m_options;
    OwnerAgreement m_agreement;
    PoolId m_pool = 0;
    ServiceId m_service;
    TimePoint m_startedAt;
    bool m_hasHandover = false; ///< Whether the earlier owner sent its state.

    std::uint64_t m_nextLease;
    std::map<TargetHash, Target> m_targets;
    std::map<LeaseId, Lease> m_leases;
    std::map<NodeId, Holder> m_holders;
    /// Number of leases that their holder may not have received yet, by holder and flow.
    std::map<FlowAtNode, std::uint32_t> m_inFlightGrants;
    /// Until when a target is not offered to a flow at a node. The node has returned a lease there
    /// because none of the flow's requests could use the target.
    std::map<std::pair<FlowAtNode, TargetHash>, TimePoint> m_rejectedTargets;
    FlowAccounting m_accounting;
    SchedulingHistory m_history;
    Duration m_attemptTimeout {0};
    std::map<PoolId, std::pair<std::uint64_t, std::unordered_map<FlowId, std::uint64_t>>>
        m_remoteUsage;
};

} // namespace berylridge
