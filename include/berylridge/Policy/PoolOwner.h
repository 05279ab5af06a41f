// The owner of a pool: knows what waits for it on every node, what runs at its targets, and gives
// free slots to the flow that has received least.
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

/// A message of a pool's owner to a holder.
struct OwnerMessage
{
    NodeId to;
    PoolGrant grant;
};

struct PoolOwnerOptions
{
    Incarnation incarnation = 0; ///< Of the owning node.
    Duration leaseTerm {0};
    SchedulingPolicy policy;
};

class PoolOwner
{
public:
    /// Begins to own the pool. Grants wait for one lease term: an earlier owner may be paused or
    /// cut off, and what it granted runs out by then; meanwhile holders tell what they hold.
    PoolOwner(const TargetStateMachine &stateMachine, PoolOwnerOptions options, TimePoint now);

    /// Takes in the document. Targets that left the pool are dropped with their leases; isLeaving
    /// of each target says whether it is closed for new work for any reason.
    void configure(const ServiceDocument &document, const Pool &pool, TimePoint now);
    void setAgreement(OwnerAgreement agreement) { m_agreement = agreement; }

    void onDemand(const NodeId &from, Incarnation incarnation, const PoolDemand &message,
                  TimePoint now);
    void onReturn(const NodeId &from, const PoolReturn &message, TimePoint now);
    void onTargetReport(const TargetObservation &targetReport, TimePoint now);
    void onLoadReport(TargetHash target, std::string_view bootId, std::uint32_t running,
                      std::uint64_t completed, Duration age, TimePoint now);
    void onPollFailed(TargetHash target, bool isRefused, TimePoint now);
    /// Everything given out, for the successor; this owner must grant nothing afterwards.
    PoolHandover handover(TimePoint now) const;
    /// Goes on from where the earlier owner stopped. Warm targets get work at once; cold ones only
    /// after the lease term, since a third node may have taken itself for the owner meanwhile.
    void takeOver(const PoolHandover &message, TimePoint now);
    /// The run of a node has ended: what it held is free, what it wanted is void.
    void onHolderGone(const NodeId &node, Incarnation incarnation, TimePoint now);
    /// What another pool of the service gave.
    void onRemoteUsage(const PoolUsage &message);

    /// Frees what has run out and forgets what is old.
    void tick(TimePoint now);
    /// Gives out free slots as long as there is demand.
    std::vector<OwnerMessage> grant(TimePoint now);

    /// Targets whose load report is due; marks them as asked.
    std::vector<TargetHash> duePolls(TimePoint now);
    /// What the pool's flows received, for owners of the service's other pools.
    PoolUsage usageReport(TimePoint now) const;

    /// For status: the capacity, the limit now and the leases given out, by target.
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
        std::uint64_t number = 0; ///< Of the grant; 0 for a lease taken over from an earlier owner.
        TimePoint grantedAt;
        TimePoint
            startDeadline; ///< No request begins on it later, by the holder's clock even earlier.
        TimePoint confirmedAt; ///< When the holder last told that it holds it.
        Duration estimate {0};
        bool isConfirmed = false; ///< The holder told that it holds it.
        bool isInFlight = false;  ///< The holder may not have received it yet.
    };
    struct Holder
    {
        Incarnation incarnation = 0;
        std::uint64_t sequence = 0;
        std::int64_t sentAt = 0;
        TimePoint heardAt;
        TimePoint leasesReportedAt;              ///< When it last told all that it holds.
        std::uint64_t lastGrantNumber = 0;       ///< Of the grants sent to it.
        std::uint64_t lastAcknowledgedGrant = 0; ///< The highest grant number that it has received.
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
    /// Whose requests: a flow's at one node.
    using FlowAtNode = std::pair<NodeId, FlowId>;
    std::optional<TargetHash> selectTarget(const FlowAtNode &want, TimePoint now) const;
    bool hasFreeSlot(TimePoint now) const;
    bool isRejectedBy(const FlowAtNode &want, TargetHash target, TimePoint now) const;
    struct FlowChoice
    {
        NodeId node;
        FlowId flow = 0;
        double virtualTime = 0;
    };
    std::optional<FlowChoice> selectFlow(const std::set<FlowAtNode> &skipped, TimePoint now) const;
    std::uint32_t ungrantedRequests(const NodeId &node, const FlowDemand &want) const;

    const TargetStateMachine *m_stateMachine;
    PoolOwnerOptions m_options;
    OwnerAgreement m_agreement;
    PoolId m_pool = 0;
    ServiceId m_service;
    TimePoint m_startedAt;
    bool m_hasHandover = false; ///< The earlier owner told what it had given out.

    std::uint64_t m_nextLease;
    std::map<TargetHash, Target> m_targets;
    std::map<LeaseId, Lease> m_leases;
    std::map<NodeId, Holder> m_holders;
    /// Leases that their holder may not have received yet, by holder and flow.
    std::map<FlowAtNode, std::uint32_t> m_inFlightGrants;
    /// Until when a target is not offered to a flow at a node, which has said that nothing fits.
    std::map<std::pair<FlowAtNode, TargetHash>, TimePoint> m_rejectedTargets;
    FlowAccounting m_accounting;
    SchedulingHistory m_history;
    Duration m_attemptTimeout {0};
    std::map<PoolId, std::pair<std::uint64_t, std::unordered_map<FlowId, std::uint64_t>>>
        m_remoteUsage;
};

} // namespace berylridge
