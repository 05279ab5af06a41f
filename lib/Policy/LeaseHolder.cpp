#include "berylridge/Policy/LeaseHolder.h"

#include <cassert>

namespace berylridge {

std::vector<LeaseId> LeaseHolder::onGrant(const NodeId &owner, Incarnation ownerIncarnation,
                                          const PoolGrant &grant, TimePoint now)
{
    std::vector<LeaseId> usable;
    if (owner != m_owner || ownerIncarnation != m_ownerIncarnation) {
        m_owner = owner;
        m_ownerIncarnation = ownerIncarnation;
        m_lastGrant = 0;
    }
    if (grant.number <= m_lastGrant)
        return usable;
    m_lastGrant = grant.number;
    // The term counts from this node's request, by its own clock. That was before the owner's count
    // began, so the lease ends here before the owner grants its slot to another node, however late
    // the grant arrived.
    const TimePoint startDeadline(Duration(grant.demandSentAt)
                                  + std::chrono::milliseconds(grant.termMs));
    for (const GrantedLease &granted : grant.leases) {
        --m_reportedWaiting[granted.flow];
        LeaseState held;
        held.target = granted.target;
        held.flow = granted.flow;
        held.startDeadline = startDeadline;
        held.grantedAt = now;
        held.quantum = std::chrono::milliseconds(grant.quantumMs);
        m_leases.insert_or_assign(granted.lease, held);
        usable.push_back(granted.lease);
    }
    return usable;
}

void LeaseHolder::begin(LeaseId lease)
{
    const auto found = m_leases.find(lease);
    assert(found != m_leases.end() && !found->second.isBusy
           && "a held lease can run only one request at a time");
    found->second.isBusy = true;
}

bool LeaseHolder::end(LeaseId lease, Duration used, bool isCompleted, TimePoint now)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return false;
    LeaseState &held = found->second;
    held.isBusy = false;
    held.used += used;
    held.completed += isCompleted ? 1 : 0;
    return isCompleted && canStartRequest(lease, now);
}

ReturnedLease LeaseHolder::returnLease(LeaseId lease)
{
    const auto found = m_leases.find(lease);
    assert(found != m_leases.end() && "the returned lease must be held");
    ReturnedLease returned;
    returned.lease = lease;
    returned.usedMs = toMilliseconds(found->second.used);
    returned.completed = found->second.completed;
    m_leases.erase(found);
    return returned;
}

void LeaseHolder::dropIdleLeases()
{
    std::erase_if(m_leases, [](const auto &entry) { return !entry.second.isBusy; });
    for (auto &[lease, held] : m_leases)
        held.startDeadline = held.grantedAt;
}

const LeaseHolder::LeaseState *LeaseHolder::find(LeaseId lease) const
{
    const auto found = m_leases.find(lease);
    return found == m_leases.end() ? nullptr : &found->second;
}

bool LeaseHolder::canStartRequest(LeaseId lease, TimePoint now) const
{
    const LeaseState *held = find(lease);
    return held && !held->isBusy && now < held->startDeadline
        && (held->used == Duration(0) || held->used < held->quantum);
}

std::uint32_t LeaseHolder::leaseCountAt(TargetHash target) const
{
    std::uint32_t count = 0;
    for (const auto &[lease, held] : m_leases)
        count += held.target == target ? 1 : 0;
    return count;
}

PoolDemand LeaseHolder::demandMessage(std::vector<FlowDemand> demand, TimePoint now)
{
    PoolDemand message = demandOnlyMessage(std::move(demand), now);
    message.hasHeldList = true;
    for (const auto &[lease, held] : m_leases)
        message.held.push_back(
            {lease, held.target, held.flow, toMilliseconds(now - held.grantedAt)});
    leasesReportedAt = now;
    return message;
}

PoolDemand LeaseHolder::demandOnlyMessage(std::vector<FlowDemand> demand, TimePoint now)
{
    PoolDemand message;
    message.pool = m_pool;
    message.sequence = ++m_sequence;
    message.sentAt = now.time_since_epoch().count();
    message.owner = m_ownerIncarnation;
    message.lastGrant = m_lastGrant;
    // If no leases are held, the message is complete as it is.
    message.hasHeldList = m_leases.empty();
    if (message.hasHeldList)
        leasesReportedAt = now;
    demandReportedAt = now;
    m_reportedWaiting.clear();
    for (const FlowDemand &entry : demand)
        m_reportedWaiting[entry.flow] = entry.waiting;
    message.demand = std::move(demand);
    return message;
}

bool LeaseHolder::isOwnerViewStale(FlowId flow, std::size_t waiting) const
{
    if (waiting == 0)
        return false;
    const auto found = m_reportedWaiting.find(flow);
    const std::int64_t known = found == m_reportedWaiting.end() ? 0 : found->second;
    return known <= 0 || static_cast<std::int64_t>(waiting) > 2 * known;
}

} // namespace berylridge
