// The leases that this node holds of one pool, and what it has told the pool's owner.
#pragma once

#include "berylridge/Fleet/Messages.h"
#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"

#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace berylridge {

class LeaseHolder
{
public:
    struct LeaseState
    {
        TargetHash target = 0;
        FlowId flow = 0;
        TimePoint startDeadline; ///< No request may begin on it later.
        TimePoint grantedAt;
        Duration quantum {0};
        Duration used {0}; ///< By requests that have ended.
        std::uint32_t completed = 0;
        bool isBusy = false;
    };

    explicit LeaseHolder(PoolId pool)
        : m_pool(pool)
    {
    }

    /// Takes leases from the pool's owner. Returns those that may be used: a grant that was
    /// overtaken by a later one, or that comes after its term, gives none, since the owner has
    /// given its slots away.
    std::vector<LeaseId> onGrant(const NodeId &owner, Incarnation ownerIncarnation,
                                 const PoolGrant &grant, TimePoint now);

    void begin(LeaseId lease);
    /// A request on the lease ended. Returns whether another of the flow's requests may begin on
    /// it.
    bool end(LeaseId lease, Duration used, bool isCompleted, TimePoint now);
    /// Takes the lease out of what is held; what to tell the owner.
    ReturnedLease returnLease(LeaseId lease);
    /// After a pause: idle leases are void, and busy ones can't be used again.
    void dropIdleLeases();

    const LeaseState *find(LeaseId lease) const;
    bool canStartRequest(LeaseId lease, TimePoint now) const;
    std::size_t size() const { return m_leases.size(); }
    std::uint32_t leaseCountAt(TargetHash target) const;

    /// The whole state for the owner; remembers what was told.
    PoolDemand demandMessage(std::vector<FlowDemand> demand, TimePoint now);
    /// The demand alone, for an owner that must hear of it before the next period.
    PoolDemand demandOnlyMessage(std::vector<FlowDemand> demand, TimePoint now);

    /// Number for the next PoolReturn.
    std::uint64_t nextSequence() { return ++m_sequence; }
    /// Whether the owner's picture is so far off that it should hear now instead of at the next
    /// period: it knows of no more waiting requests of a flow that has some, or of fewer than half.
    bool isOwnerViewStale(FlowId flow, std::size_t waiting) const;
    /// Whether the owner was told of demand or of leases that are there no more.
    bool hasReportedDemand() const { return !m_reportedWaiting.empty(); }

    /// When demand was last told, and when the whole state.
    TimePoint demandReportedAt {};
    TimePoint leasesReportedAt {};

private:
    PoolId m_pool;
    std::map<LeaseId, LeaseState> m_leases;
    NodeId m_owner;
    Incarnation m_ownerIncarnation = 0;
    std::uint64_t m_lastGrant = 0;
    std::uint64_t m_sequence = 0;
    std::unordered_map<FlowId, std::int64_t>
        m_reportedWaiting; ///< Waiting as told, less what was granted since.
};

} // namespace berylridge
