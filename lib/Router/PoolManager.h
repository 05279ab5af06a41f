// The pools that this node owns and the leases that it holds: demand goes out, grants come in.
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

/// A lease of a pool, as requests refer to it.
struct LeaseRef
{
    PoolId pool = 0;
    LeaseId lease = 0;
};

/// What the pools ask of the requests: to run one on a lease.
class LeaseConsumer
{
public:
    virtual ~LeaseConsumer() = default;
    /// Begins a request of the flow on the target if one fits; false when none does.
    virtual bool tryDispatch(const LeaseRef &ref, FlowId flow, const TargetSpec &target,
                             const ServiceDocument &document, TimePoint notAfter)
        = 0;
    virtual ServiceQueue *queue(const ServiceId &service) = 0;
};

class PoolManager
{
public:
    PoolManager(CoreContext &context, LeaseConsumer &user);

    /// Documents in force, or the VM list, have changed.
    void onDocuments();
    /// Members or their states have changed: owners may be others now.
    void onMembers();
    void onEndedRuns(const std::vector<EndedIncarnation> &runs);
    /// After a pause: others may poolOwner what this node owned, and leases have run out.
    void onProcessResumed();

    void onDemand(const NodeId &from, Incarnation incarnation, const PoolDemand &message);
    void onGrant(const NodeId &from, Incarnation incarnation, const PoolGrant &message);
    void onReturn(const NodeId &from, const PoolReturn &message);
    void onNews(const TargetObservation &message);
    void onRemoteService(const PoolUsage &message);
    void onHandover(const PoolHandover &message);
    void onReport(const TargetLoadReport &report);
    void onPollFailed(const TargetPollFailed &failure);

    /// A request of the service waits, or waits no longer.
    void onQueueChanged(const ServiceId &service) { m_changedServices.insert(service); }
    /// The request on the lease ended: the lease is used again or goes back.
    void endLease(const LeaseRef &ref, Duration used, bool isCompleted, const std::string &bootId);
    /// Tells the target's owner what was met there.
    void reportTargetSignal(PoolId pool, TargetHash target, TargetSignal signal,
                            const std::string &bootId);

    /// Sends demand that can't wait, and gives out free slots. Called after each event.
    void flush();
    void tick();
    /// Whether anything waits or is held, so that ticks must be frequent.
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
        std::optional<PoolOwner> poolOwner; ///< Where this node is the owner.
        LeaseHolder holder;
        std::size_t openTargetCount = 0; ///< That take new work, by the documents and the VM list.
        std::size_t nextReceiverIndex = 0; ///< Turn in the exchange of service.
        bool needsGrant = false;           ///< Slots may be free or wanted since the last grant.
    };

    void becomeOwner(ManagedPool &entry);
    void handOver(ManagedPool &entry, const NodeId &successor);
    void applyEarlyHandover(ManagedPool &entry);

    void configureOwner(ManagedPool &entry);
    NodeId ownerOf(const Pool &pool) const;
    OwnerPart ownerAgreementFor(const Pool &pool) const;
    bool acceptsNewWork(const Pool &pool, const TargetSpec &target) const;

    const TargetSpec *findTarget(const ManagedPool &entry, TargetHash target) const;
    bool tryUseLease(ManagedPool &entry, LeaseId lease);
    bool isUnfit(const ManagedPool &entry, LeaseId lease) const;
    void giveBack(ManagedPool &entry, LeaseId lease, const std::string &bootId,
                  bool isUnfit = false);
    std::vector<ManagedPool *> poolsToAsk(const ServiceId &service);
    void sendFullDemand(ManagedPool &entry, const ServiceQueue &queue);
    void sendUrgentDemand(ManagedPool &entry, const ServiceQueue &queue);
    void sendPeriodicDemand(ManagedPool &entry);
    void grantFreeSlots(ManagedPool &entry);
    std::set<NodeId> nextReportReceivers(ManagedPool &entry);
    void sendUsageReports();

    CoreContext &m_context;
    LeaseConsumer &m_leaseConsumer;
    std::map<PoolId, ManagedPool> m_pools;
    std::map<ServiceId, std::vector<PoolId>> m_byService; ///< In this node's order of asking.
    std::map<TargetId, std::pair<PoolId, ServiceId>> m_targetPool;
    std::map<ServiceId, TimePoint>
        m_spillUntil; ///< Until then other zones' pools are asked at once.
    std::map<ServiceId, std::size_t> m_openTargetCounts;
    std::set<ServiceId> m_changedServices;
    TimePoint m_nextUsageReportAt {};
    /// Handovers that came before this node knew that it is the owner, and when they came.
    std::map<PoolId, std::pair<TimePoint, PoolHandover>> m_earlyHandovers;
};

} // namespace berylridge
