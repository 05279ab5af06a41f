// The scheduling decisions of a pool's owner: which flow gets the next free slot, and on which
// target.
#include "berylridge/Policy/PoolOwner.h"

#include <algorithm>

namespace berylridge {

namespace {

/// A holder repeats its demand each demand period; demand older than this is ignored.
constexpr Duration demandLifetime = std::chrono::milliseconds(1500);
/// Within this time a granted lease's request has reached its target, so that a load report
/// includes it.
constexpr Duration maxStartDelay = std::chrono::milliseconds(100);
/// Slot time that a flow's short requests may use on one lease before the slot is returned. Without
/// it a slot idles for a round trip after each request: 3 ms of 20 ms for a lookup across zones.
constexpr Duration leaseQuantum = std::chrono::milliseconds(250);

/// Returns the expected cost of a lease: at least its first request, at most the quantum if
/// requests are short.
Duration leaseCostEstimate(const FlowDemand &demand)
{
    const Duration one = fromMilliseconds(std::max(demand.costMs, 1U));
    return std::max(one, std::min(leaseQuantum, one * demand.waiting));
}

} // namespace

std::vector<OwnerMessage> PoolOwner::grant(TimePoint now)
{
    std::vector<OwnerMessage> messages;
    // An earlier owner's leases may still start requests until their term ends.
    if (isTakeoverPending(now) && !m_hasHandover)
        return messages;
    std::map<NodeId, PoolGrant> grants;
    std::set<FlowAtNode> skipped;
    while (const std::optional<FlowChoice> choice = selectFlow(skipped, now)) {
        const std::optional<TargetHash> target = selectTarget({choice->node, choice->flow}, now);
        if (!target && !hasFreeSlot(now))
            break;
        if (!target) {
            skipped.insert({choice->node, choice->flow});
            continue;
        }
        Holder &holder = m_holders[choice->node];
        auto [entry, isNew] = grants.try_emplace(choice->node);
        if (isNew) {
            // Higher than every earlier number, including those of an earlier ownership period of
            // this node.
            holder.lastGrantNumber
                = std::max(holder.lastGrantNumber + 1,
                           static_cast<std::uint64_t>(now.time_since_epoch().count()));
            entry->second.pool = m_pool;
            entry->second.number = holder.lastGrantNumber;
            entry->second.demandSentAt = holder.sentAt;
            entry->second.termMs = toMilliseconds(m_options.leaseTerm);
            entry->second.quantumMs = toMilliseconds(leaseQuantum);
        }
        Lease lease;
        lease.node = choice->node;
        lease.incarnation = holder.incarnation;
        lease.target = *target;
        lease.flow = choice->flow;
        lease.number = holder.lastGrantNumber;
        lease.grantedAt = now;
        lease.startDeadline = now + m_options.leaseTerm;
        lease.confirmedAt = now;
        lease.estimate = leaseCostEstimate(holder.demands.at(choice->flow));
        ++m_targets.at(*target).occupied;
        lease.isInFlight = true;
        ++m_inFlightGrants[{choice->node, choice->flow}];
        m_accounting.onFlowSelected(choice->virtualTime);
        m_accounting.markActive(choice->flow, now);
        m_accounting.begin(choice->flow, lease.estimate, now);
        m_history.onLeaseGranted(choice->node, choice->flow, lease.estimate);
        entry->second.leases.push_back({m_nextLease, *target, choice->flow});
        m_leases.emplace(m_nextLease, std::move(lease));
        ++m_nextLease;
    }
    for (auto &[node, grant] : grants)
        messages.push_back({node, std::move(grant)});
    return messages;
}

std::uint32_t PoolOwner::freeSlots(const Target &target, TimePoint now) const
{
    if (isTakeoverPending(now) && target.capacity.isCold())
        return 0;
    const std::uint32_t limit = target.capacity.limit(m_agreement, now);
    const std::uint32_t occupied = target.occupied + untrackedRequests(target, now);
    return limit > occupied ? limit - occupied : 0;
}

/// Returns the requests that the target reports beyond the leases that the report can include:
/// requests of an earlier or another owner, for which there are no leases here. Applies only while
/// the target is cold. Later, some overlap does no harm, and an outdated report would leave slots
/// idle.
std::uint32_t PoolOwner::untrackedRequests(const Target &target, TimePoint now) const
{
    const TargetCapacity &capacity = target.capacity;
    const bool canStillRun = now - m_startedAt <= m_attemptTimeout + m_options.leaseTerm;
    if (!capacity.isCold() || capacity.reportedAt() <= m_startedAt || !canStillRun)
        return 0;
    const auto known = std::count_if(m_leases.begin(), m_leases.end(), [&](const auto &entry) {
        const auto found = m_targets.find(entry.second.target);
        const bool isHere = found != m_targets.end() && &found->second == &target;
        return isHere && entry.second.grantedAt + maxStartDelay <= capacity.reportedAt();
    });
    const auto running = static_cast<std::ptrdiff_t>(capacity.reportedRunning());
    return static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(running - known, 0));
}

bool PoolOwner::hasFreeSlot(TimePoint now) const
{
    return std::any_of(m_targets.begin(), m_targets.end(),
                       [&](const auto &entry) { return freeSlots(entry.second, now) > 0; });
}

bool PoolOwner::isRejectedBy(const FlowAtNode &flowAtNode, TargetHash target, TimePoint now) const
{
    const auto found = m_rejectedTargets.find({flowAtNode, target});
    return found != m_rejectedTargets.end() && now < found->second;
}

std::optional<TargetHash> PoolOwner::selectTarget(const FlowAtNode &flowAtNode, TimePoint now) const
{
    std::optional<TargetHash> best;
    double bestLoad = 0;
    std::uint64_t bestAffinity = 0;
    for (const auto &[hash, target] : m_targets) {
        const std::uint32_t left = freeSlots(target, now);
        if (left == 0 || isRejectedBy(flowAtNode, hash, now))
            continue;
        const double load = static_cast<double>(target.occupied) / (left + target.occupied);
        const std::uint64_t affinity = hash ^ flowAtNode.second;
        if (!best || load < bestLoad || (load == bestLoad && affinity < bestAffinity)) {
            best = hash;
            bestLoad = load;
            bestAffinity = affinity;
        }
    }
    return best;
}

std::optional<PoolOwner::FlowChoice> PoolOwner::selectFlow(const std::set<FlowAtNode> &skipped,
                                                           TimePoint now) const
{
    std::optional<FlowChoice> best;
    SchedulingKey bestKey;
    for (const auto &[node, holder] : m_holders) {
        if (now - holder.demandReceivedAt > demandLifetime)
            continue;
        for (const auto &[flow, demand] : holder.demands) {
            if (ungrantedRequests(node, demand) == 0 || skipped.contains({node, flow}))
                continue;
            SchedulingCandidate candidate;
            candidate.node = &node;
            candidate.flow = flow;
            candidate.virtualTime = m_accounting.virtualTime(flow, now);
            candidate.age = fromMilliseconds(demand.oldestMs) + (now - holder.demandReceivedAt);
            const SchedulingKey key
                = std::visit([&](const auto &policy) { return policy.key(candidate, m_history); },
                             m_options.policy);
            if (!best || key < bestKey) {
                best = FlowChoice {node, flow, candidate.virtualTime};
                bestKey = key;
            }
        }
    }
    return best;
}

/// Returns the number of waiting requests for which no grant is in flight.
std::uint32_t PoolOwner::ungrantedRequests(const NodeId &node, const FlowDemand &demand) const
{
    const auto inFlight = m_inFlightGrants.find({node, demand.flow});
    const std::uint32_t inFlightCount = inFlight == m_inFlightGrants.end() ? 0 : inFlight->second;
    return demand.waiting > inFlightCount ? demand.waiting - inFlightCount : 0;
}

} // namespace berylridge
