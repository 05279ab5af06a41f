// The choices of a pool's owner: which flow gets the next free slot, and at which target.
#include "berylridge/Policy/PoolOwner.h"

#include <algorithm>

namespace berylridge {

namespace {

/// A holder repeats its demand each demand period; without a word for this long its wants are void.
constexpr Duration wantsLast = std::chrono::milliseconds(1500);
/// Within it a granted lease's request has reached its target, so that a report holds it.
constexpr Duration grantToStart = std::chrono::milliseconds(100);
/// Slot time that a flow's short requests may use on one lease before the slot goes back. Without
/// it a slot stands idle for a round trip after each request: 3 ms of 20 ms for a lookup across
/// zones.
constexpr Duration quantum = std::chrono::milliseconds(250);

/// What a lease is expected to cost: at least its first request, at most the quantum in short ones.
Duration estimateOf(const FlowDemand &demand)
{
    const Duration one = fromMilliseconds(std::max(demand.costMs, 1U));
    return std::max(one, std::min(quantum, one * demand.waiting));
}

} // namespace

std::vector<OwnerMessage> PoolOwner::grant(TimePoint now)
{
    std::vector<OwnerMessage> messages;
    // An earlier owner's leases may still start requests until their term ends.
    if (isWaiting(now) && !m_isHandedOver)
        return messages;
    std::map<NodeId, PoolGrant> grants;
    std::set<Want> passedOver;
    while (const std::optional<Choice> choice = pickFlow(passedOver, now)) {
        const std::optional<TargetHash> target = pickTarget({choice->node, choice->flow}, now);
        if (!target && !hasFreeSlot(now))
            break;
        if (!target) {
            passedOver.insert({choice->node, choice->flow});
            continue;
        }
        Holder &holder = m_holders[choice->node];
        auto [entry, isNew] = grants.try_emplace(choice->node);
        if (isNew) {
            // Above every earlier number, those of an earlier reign of this node included.
            holder.lastNumber = std::max(
                holder.lastNumber + 1, static_cast<std::uint64_t>(now.time_since_epoch().count()));
            entry->second.pool = m_pool;
            entry->second.number = holder.lastNumber;
            entry->second.demandSentAt = holder.sentAt;
            entry->second.termMs = toMilliseconds(m_options.leaseTerm);
            entry->second.quantumMs = toMilliseconds(quantum);
        }
        Lease lease;
        lease.node = choice->node;
        lease.incarnation = holder.incarnation;
        lease.target = *target;
        lease.flow = choice->flow;
        lease.number = holder.lastNumber;
        lease.grantedAt = now;
        lease.startsBy = now + m_options.leaseTerm;
        lease.seenAt = now;
        lease.estimate = estimateOf(holder.wants.at(choice->flow));
        ++m_targets.at(*target).occupied;
        lease.isOnItsWay = true;
        ++m_onTheirWay[{choice->node, choice->flow}];
        m_shares.chosen(choice->virtualTime);
        m_shares.touch(choice->flow, now);
        m_shares.begin(choice->flow, lease.estimate, now);
        m_memory.onGranted(choice->node, choice->flow, lease.estimate);
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
    if (isWaiting(now) && target.gauge.isCold())
        return 0;
    const std::uint32_t limit = target.gauge.limit(m_part, now);
    const std::uint32_t occupied = target.occupied + unknownWork(target, now);
    return limit > occupied ? limit - occupied : 0;
}

/// Work that an earlier or another owner put there is not in our leases, but the target reports it:
/// what runs beyond the leases that the report can hold. Only while it is cold: later some overlap
/// does no harm, and a report that lags would idle slots.
std::uint32_t PoolOwner::unknownWork(const Target &target, TimePoint now) const
{
    const TargetGauge &gauge = target.gauge;
    const bool canBeThere = now - m_began <= m_attemptTimeout + m_options.leaseTerm;
    if (!gauge.isCold() || gauge.reportedAt() <= m_began || !canBeThere)
        return 0;
    const auto known = std::count_if(m_leases.begin(), m_leases.end(), [&](const auto &entry) {
        const auto found = m_targets.find(entry.second.target);
        const bool isHere = found != m_targets.end() && &found->second == &target;
        return isHere && entry.second.grantedAt + grantToStart <= gauge.reportedAt();
    });
    const auto running = static_cast<std::ptrdiff_t>(gauge.reportedRunning());
    return static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(running - known, 0));
}

bool PoolOwner::hasFreeSlot(TimePoint now) const
{
    return std::any_of(m_targets.begin(), m_targets.end(),
                       [&](const auto &entry) { return freeSlots(entry.second, now) > 0; });
}

bool PoolOwner::isUnfit(const Want &want, TargetHash target, TimePoint now) const
{
    const auto found = m_unfit.find({want, target});
    return found != m_unfit.end() && now < found->second;
}

std::optional<TargetHash> PoolOwner::pickTarget(const Want &want, TimePoint now) const
{
    std::optional<TargetHash> best;
    double bestLoad = 0;
    std::uint64_t bestAffinity = 0;
    for (const auto &[hash, target] : m_targets) {
        const std::uint32_t left = freeSlots(target, now);
        if (left == 0 || isUnfit(want, hash, now))
            continue;
        const double load = static_cast<double>(target.occupied) / (left + target.occupied);
        const std::uint64_t affinity = hash ^ want.second;
        if (!best || load < bestLoad || (load == bestLoad && affinity < bestAffinity)) {
            best = hash;
            bestLoad = load;
            bestAffinity = affinity;
        }
    }
    return best;
}

std::optional<PoolOwner::Choice> PoolOwner::pickFlow(const std::set<Want> &passedOver,
                                                     TimePoint now) const
{
    std::optional<Choice> best;
    PickKey bestKey;
    for (const auto &[node, holder] : m_holders) {
        if (now - holder.heardAt > wantsLast)
            continue;
        for (const auto &[flow, want] : holder.wants) {
            if (ungranted(node, want) == 0 || passedOver.contains({node, flow}))
                continue;
            PickCandidate candidate;
            candidate.node = &node;
            candidate.flow = flow;
            candidate.virtualTime = m_shares.virtualTime(flow, now);
            candidate.age = fromMilliseconds(want.oldestMs) + (now - holder.heardAt);
            const PickKey key = std::visit(
                [&](const auto &rule) { return rule.key(candidate, m_memory); }, m_options.rule);
            if (!best || key < bestKey) {
                best = Choice {node, flow, candidate.virtualTime};
                bestKey = key;
            }
        }
    }
    return best;
}

/// Requests that wait and for which no grant is on its way.
std::uint32_t PoolOwner::ungranted(const NodeId &node, const FlowDemand &want) const
{
    const auto unseen = m_onTheirWay.find({node, want.flow});
    const std::uint32_t onItsWay = unseen == m_onTheirWay.end() ? 0 : unseen->second;
    return want.waiting > onItsWay ? want.waiting - onItsWay : 0;
}

} // namespace berylridge
