// Manages the pools that this node owns and the leases that it holds. Nodes send their demand to
// the pool owners and receive grants of leases.
#pragma once

#include "CoreContext.h"

#include "berylridge/Policy/LeaseHolder.h"
#include "berylridge/Policy/PoolOwner.h"
#include "berylridge/Policy/ServiceQueue.h"
#include "berylridge/Router/Status.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace berylridge {

/// Identifies a lease of a pool.
struct LeaseRef
{
    PoolId pool = 0;
    LeaseId lease = 0;
};

/// Interface through which the pools start requests on leases.
class LeaseConsumer
{
public:
    virtual ~LeaseConsumer() = default;
    /// Dispatches a waiting request of the flow to the target. Returns false if no request is
    /// suitable.
    virtual bool tryDispatch(const LeaseRef &ref, FlowId flow, const TargetSpec &target,
                             const ServiceDocument &document, TimePoint notAfter)
        = 0;
    virtual ServiceQueue *queue(const ServiceId &service) = 0;
};

class PoolManager
{
public:
    PoolManager(CoreContext &context, LeaseConsumer &leaseConsumer);

    /// Applies a change of the active documents or of the VM list.
    void onDocuments();
    /// Recomputes the owners after a change of members or of their states.
    void onMembers();
    void onEndedIncarnations(const std::vector<EndedIncarnation> &incarnations);
    /// Drops outdated state after a pause of the process: leases have expired, and other nodes may
    /// own the pools that this node owned.
    void onProcessResumed();

    void onDemand(const NodeId &from, Incarnation incarnation, const PoolDemand &message);
    void onGrant(const NodeId &from, Incarnation incarnation, const PoolGrant &message);
    void onReturn(const NodeId &from, const PoolReturn &message);
    void onTargetObservation(const TargetObservation &message);
    void onRemoteUsage(const PoolUsage &message);
    void onHandover(const PoolHandover &message);
    void onLoadReport(const TargetLoadReport &report);
    void onPollFailed(const TargetPollFailed &failure);

    /// Marks the service's queue as changed.
    void onQueueChanged(const ServiceId &service) { m_changedServices.insert(service); }
    /// Reuses or returns the lease after the request on it ended.
    void endLease(const LeaseRef &ref, Duration used, bool isCompleted, const std::string &bootId);
    /// Reports a signal about a target to the owner of its pool.
    void reportTargetSignal(PoolId pool, TargetHash target, TargetSignal signal,
                            const std::string &bootId);

    /// Sends urgent demand and grants free slots. Called after each event.
    void flush();
    void tick();
    /// Returns whether demand is outstanding or leases are held, so that frequent ticks are needed.
    bool isBusy() const;

    std::size_t openTargetCount(const ServiceId &service) const;
    void fillStatus(NodeStatus &status) const;
    double virtualTime(const ServiceId &service, FlowId flow) const;

private:
    struct ManagedPool
    {
        explicit ManagedPool(Pool ofPool)
            : pool(std::move(ofPool))
            , holder(pool.id)
        {
        }

        Pool pool;
        std::shared_ptr<const ServiceDocument> document;
        NodeId owner;
        std::optional<PoolOwner> poolOwner; ///< Set if this node is the owner.
        LeaseHolder holder;
        /// Counts the targets that accept new work according to the documents and the VM list.
        std::size_t openTargetCount = 0;
        std::size_t nextReceiverIndex = 0; ///< Round-robin position for usage reports.
        bool needsGrant = false;           ///< Free slots or demand may exist since the last grant.
    };

    void becomeOwner(ManagedPool &entry);
    void handOver(ManagedPool &entry, const NodeId &successor);
    void applyEarlyHandover(ManagedPool &entry);

    void configureOwner(ManagedPool &entry);
    NodeId ownerOf(const Pool &pool) const;
    OwnerAgreement ownerAgreementFor(const Pool &pool) const;
    bool acceptsNewWork(const Pool &pool, const TargetSpec &target) const;

    const TargetSpec *findTarget(const ManagedPool &entry, TargetHash target) const;
    bool tryUseLease(ManagedPool &entry, LeaseId lease);
    bool isUnfit(const ManagedPool &entry, LeaseId lease) const;
    void returnLease(ManagedPool &entry, LeaseId lease, const std::string &bootId,
                     bool isUnfit = false);
    std::vector<ManagedPool *> poolsForDemand(const ServiceId &service);
    void sendFullDemand(ManagedPool &entry, const ServiceQueue &queue);
    void sendUrgentDemand(ManagedPool &entry, const ServiceQueue &queue);
    void sendPeriodicDemand(ManagedPool &entry);
    void grantFreeSlots(ManagedPool &entry);
    std::set<NodeId> nextReportReceivers(ManagedPool &entry);
    void sendUsageReports();

    CoreContext &m_context;
    LeaseConsumer &m_leaseConsumer;
    std::map<PoolId, ManagedPool> m_pools;
    std::map<ServiceId, std::vector<PoolId>>
        m_byService; ///< Pools in the order in which this node sends them demand.
    std::map<TargetId, std::pair<PoolId, ServiceId>> m_targetPool;
    std::map<ServiceId, TimePoint>
        m_spillUntil; ///< Time until which other zones' pools receive demand immediately.
    std::map<ServiceId, std::size_t> m_openTargetCounts;
    std::set<ServiceId> m_changedServices;
    TimePoint m_nextUsageReportAt {};
    /// Holds handovers that arrived before this node knew that it is the owner, with their arrival
    /// time.
    std::map<PoolId, std::pair<TimePoint, PoolHandover>> m_earlyHandovers;
};

} // namespace berylridge
