// Keeps the leases that this node holds in one pool, and the demand that it has reported to the
// pool's owner.
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
        TimePoint startDeadline; ///< No request may start on the lease after this time.
        TimePoint grantedAt;
        Duration quantum {0};
        Duration used {0}; ///< Slot time of requests that have ended.
        std::uint32_t completed = 0;
        bool isBusy = false;
    };

    explicit LeaseHolder(PoolId pool)
        : m_pool(pool)
    {
    }

    /// Accepts leases from the pool's owner. Returns the leases of this grant. A grant that was
    /// overtaken by a later one yields none, since the owner has granted its slots to others. A
    /// lease that arrives after its term is stored, but canStartRequest() is false for it.
    std::vector<LeaseId> onGrant(const NodeId &owner, Incarnation ownerIncarnation,
                                 const PoolGrant &grant, TimePoint now);

    void begin(LeaseId lease);
    /// Records that a request on the lease ended. Returns whether another request of the flow may
    /// start on it.
    bool end(LeaseId lease, Duration used, bool isCompleted, TimePoint now);
    /// Removes the lease and returns the entry that reports it to the owner.
    ReturnedLease returnLease(LeaseId lease);
    /// Drops idle leases and prevents the busy ones from being reused, after the process was
    /// paused.
    void dropIdleLeases();

    const LeaseState *find(LeaseId lease) const;
    bool canStartRequest(LeaseId lease, TimePoint now) const;
    std::size_t size() const { return m_leases.size(); }
    std::uint32_t leaseCountAt(TargetHash target) const;

    /// Builds a message with the demand and all held leases, and records what was reported.
    PoolDemand demandMessage(std::vector<FlowDemand> demand, TimePoint now);
    /// Builds a message with the demand alone, for an owner that has to receive it before the next
    /// period.
    PoolDemand demandOnlyMessage(std::vector<FlowDemand> demand, TimePoint now);

    /// Returns the sequence number of the next PoolReturn.
    std::uint64_t nextSequence() { return ++m_sequence; }
    /// Returns whether the owner's view is so outdated that it should be updated now instead of at
    /// the next period: it knows of no waiting request of a flow that has some, or of fewer than
    /// half.
    bool isOwnerViewStale(FlowId flow, std::size_t waiting) const;
    /// Returns whether the owner may still count on demand or leases that are gone: the last report
    /// listed demand, or leases were granted after it.
    bool hasReportedDemand() const { return !m_reportedWaiting.empty(); }

    /// Times at which the demand and all held leases were last reported.
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
        m_reportedWaiting; ///< Reported waiting requests, less the leases granted since.
};

} // namespace berylridge
