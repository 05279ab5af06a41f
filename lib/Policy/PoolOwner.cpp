#include "berylridge/Policy/PoolOwner.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <cassert>

namespace berylridge {

namespace {

/// A holder reports its leases each list period (1.6 s); one that missed two is silent.
constexpr Duration holderSilenceTimeout = std::chrono::milliseconds(4000);
/// Added to the lease term, for a holder's clock that runs slower than the owner's.
constexpr Duration clockDriftMargin = std::chrono::milliseconds(100);
/// How long a target is not offered again to a flow that has no request which may run there, since
/// a request avoids a target that failed it. Without it, owner and holder would pass the slot back
/// and forth endlessly and do nothing else.
constexpr Duration rejectionLifetime = std::chrono::milliseconds(200);

} // namespace

PoolOwner::PoolOwner(const TargetStateMachine &stateMachine, PoolOwnerOptions options,
                     TimePoint now)
    : m_stateMachine(&stateMachine)
    , m_options(options)
    , m_startedAt(now)
    // Two owners of a pool never produce the same id: neither two nodes nor two ownership periods
    // of one node.
    , m_nextLease(
          hash64("lease",
                 options.incarnation ^ static_cast<std::uint64_t>(now.time_since_epoch().count())))
{
}

void PoolOwner::configure(const ServiceDocument &document, const Pool &pool, TimePoint now)
{
    m_pool = pool.id;
    m_service = document.service;
    m_attemptTimeout = document.attemptTimeout;
    for (const WorkspaceShare &share : document.workspaces)
        m_accounting.setWeight(flowId(document.service, share.workspace), share.weight);

    std::map<TargetHash, Target> retainedTargets;
    for (const TargetSpec &spec : pool.targets) {
        const TargetHash hash = targetHash(spec.target);
        auto found = m_targets.find(hash);
        Target target = found == m_targets.end() ? Target {TargetCapacity(*m_stateMachine, now), 0}
                                                 : std::move(found->second);
        target.capacity.configure(document, spec.isLeaving);
        retainedTargets.emplace(hash, std::move(target));
    }
    m_targets = std::move(retainedTargets);
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        const auto next = std::next(lease);
        if (!m_targets.contains(lease->second.target))
            free(lease, now - lease->second.grantedAt);
        lease = next;
    }
}

void PoolOwner::onDemand(const NodeId &from, Incarnation incarnation, const PoolDemand &message,
                         TimePoint now)
{
    Holder &holder = m_holders[from];
    if (incarnation < holder.incarnation)
        return;
    if (incarnation > holder.incarnation) {
        onHolderEnded(from, holder.incarnation, now);
        m_holders[from] = Holder();
        m_holders[from].incarnation = incarnation;
    }
    Holder &current = m_holders[from];
    if (message.sequence <= current.sequence)
        return;
    current.sequence = message.sequence;
    current.sentAt = message.sentAt;
    current.demandReceivedAt = now;
    acknowledgeGrants(from, current, message);
    if (message.hasHeldList)
        reconcile(from, current, message, now);
    current.demands.clear();
    for (const FlowDemand &demand : message.demand) {
        current.demands.emplace(demand.flow, demand);
        m_accounting.markActive(demand.flow, now);
    }
}

/// Grants that the holder has received or skipped are no longer in flight: its demand does not
/// include them.
void PoolOwner::acknowledgeGrants(const NodeId &from, Holder &holder, const PoolDemand &message)
{
    if (message.owner != m_options.incarnation || message.lastGrant <= holder.lastAcknowledgedGrant)
        return;
    holder.lastAcknowledgedGrant = message.lastGrant;
    for (auto &[id, lease] : m_leases) {
        if (lease.node == from && lease.number <= holder.lastAcknowledgedGrant)
            markDelivered(lease);
    }
}

void PoolOwner::markDelivered(Lease &lease)
{
    if (!lease.isInFlight)
        return;
    lease.isInFlight = false;
    --m_inFlightGrants[{lease.node, lease.flow}];
}

/// Compares the leases that the holder reports with those that were granted.
void PoolOwner::reconcile(const NodeId &from, Holder &holder, const PoolDemand &message,
                          TimePoint now)
{
    holder.leasesReportedAt = now;

    for (const HeldLease &held : message.held) {
        const auto found = m_leases.find(held.lease);
        Lease *lease = nullptr;
        if (found != m_leases.end()) {
            lease = &found->second;
        } else {
            // A lease of an earlier owner: its holder still uses it, so it counts.
            Lease earlier;
            earlier.node = from;
            earlier.incarnation = holder.incarnation;
            earlier.target = held.target;
            earlier.flow = held.flow;
            lease = adoptLease(held.lease, std::move(earlier), now);
        }
        if (!lease || lease->node != from)
            continue;
        lease->confirmedAt = now;
        lease->isConfirmed = true;
        markDelivered(*lease);
    }
    const auto isHeld = [&](LeaseId id) {
        return std::any_of(message.held.begin(), message.held.end(),
                           [&](const HeldLease &held) { return held.lease == id; });
    };
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        const auto next = std::next(lease);
        const Lease &value = lease->second;
        // The holder ignores grant numbers that are not above the last one, so it cannot accept a
        // grant that it has skipped. Leases of these grants that it does not hold are free: either
        // the grant or the return was lost.
        if (value.node == from && value.number <= holder.lastAcknowledgedGrant
            && !isHeld(lease->first))
            free(lease, value.isConfirmed ? now - value.grantedAt : Duration(0));
        lease = next;
    }
}

/// Adds a lease that an earlier owner granted.
PoolOwner::Lease *PoolOwner::adoptLease(LeaseId id, Lease lease, TimePoint now)
{
    const auto target = m_targets.find(lease.target);
    if (target == m_targets.end())
        return nullptr;
    lease.grantedAt = now;
    lease.startDeadline = now + m_options.leaseTerm;
    lease.confirmedAt = now;
    lease.isConfirmed = true;
    ++target->second.occupied;
    m_accounting.markActive(lease.flow, now);
    m_accounting.begin(lease.flow, lease.estimate, now);
    return &m_leases.emplace(id, std::move(lease)).first->second;
}

PoolHandover PoolOwner::handover(TimePoint now) const
{
    PoolHandover message;
    message.pool = m_pool;
    for (const auto &[id, lease] : m_leases)
        message.leases.push_back(
            {id, lease.node.str(), lease.incarnation, lease.target, lease.flow});
    m_accounting.forEach([&](FlowId flow) {
        message.flows.push_back({flow, m_accounting.virtualTime(flow, now)});
    });
    return message;
}

void PoolOwner::takeOver(const PoolHandover &message, TimePoint now)
{
    if (m_hasHandover || !isTakeoverPending(now))
        return;
    m_hasHandover = true;
    for (const HandoverFlow &flow : message.flows)
        m_accounting.restore(flow.flow, flow.virtualTime, now);
    for (const HandoverLease &handed : message.leases) {
        if (m_leases.contains(handed.lease))
            continue;
        Lease lease;
        lease.node = NodeId(handed.node);
        lease.incarnation = handed.incarnation;
        lease.target = handed.target;
        lease.flow = handed.flow;
        // The holder may have returned it to the earlier owner after this message was sent. Then
        // the holder's demand does not list it, and as a lease with number 0 it is freed.
        adoptLease(handed.lease, std::move(lease), now);
    }
}

/// Returns whether an earlier owner's leases may still start requests.
bool PoolOwner::isTakeoverPending(TimePoint now) const
{
    return now - m_startedAt < m_options.leaseTerm + clockDriftMargin;
}

void PoolOwner::onReturn(const NodeId &from, const PoolReturn &message, TimePoint now)
{
    // Demand that was sent before this return still lists the leases. If it arrives after the
    // return, they would be added as leases of an earlier owner and occupy slots that nobody uses.
    const auto holder = m_holders.find(from);
    if (holder != m_holders.end())
        holder->second.sequence = std::max(holder->second.sequence, message.sequence);
    for (const ReturnedLease &returned : message.leases) {
        const auto lease = m_leases.find(returned.lease);
        if (lease == m_leases.end() || lease->second.node != from)
            continue;
        const auto target = m_targets.find(lease->second.target);
        if (target != m_targets.end())
            target->second.capacity.onCompleted(returned.completed, message.bootId, now);
        if (returned.isUnfit)
            m_rejectedTargets[{{from, lease->second.flow}, lease->second.target}]
                = now + rejectionLifetime;
        free(lease, fromMilliseconds(returned.usedMs));
    }
}

void PoolOwner::onTargetObservation(const TargetObservation &observation, TimePoint now)
{
    const auto target = m_targets.find(observation.target);
    if (target == m_targets.end())
        return;
    if (target->second.capacity.onSignal(static_cast<TargetSignal>(observation.signal),
                                         observation.bootId, now))
        target->second.capacity.nextPoll = now;
}

void PoolOwner::onLoadReport(TargetHash target, std::string_view bootId, std::uint32_t running,
                             std::uint64_t completed, Duration age, TimePoint now)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.capacity.onLoadReport(bootId, running, completed, age, now);
}

void PoolOwner::onPollFailed(TargetHash target, bool isRefused, TimePoint now)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.capacity.onPollFailed(isRefused, now);
}

void PoolOwner::onHolderEnded(const NodeId &node, Incarnation incarnation, TimePoint now)
{
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        const auto next = std::next(lease);
        if (lease->second.node == node && lease->second.incarnation <= incarnation)
            free(lease, now - lease->second.grantedAt);
        lease = next;
    }
    const auto holder = m_holders.find(node);
    if (holder != m_holders.end() && holder->second.incarnation <= incarnation)
        m_holders.erase(holder);
}

void PoolOwner::onRemoteUsage(const PoolUsage &message)
{
    auto &[epoch, known] = m_remoteUsage[message.pool];
    // For an owner that was unknown before, only service from now on counts. The flows were
    // balanced within the bound at any time, so earlier service may be ignored.
    const bool isNew = epoch != message.epoch;
    if (isNew) {
        epoch = message.epoch;
        known.clear();
    }
    for (const FlowUsage &flow : message.flows) {
        std::uint64_t &last = known[flow.flow];
        if (!isNew && flow.servedMs > last) {
            m_accounting.addRemoteService(flow.flow,
                                          std::chrono::milliseconds(flow.servedMs - last));
        }
        last = std::max(last, flow.servedMs);
    }
}

void PoolOwner::tick(TimePoint now)
{
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        const auto next = std::next(lease);
        if (isReclaimable(lease->second, now)) {
            const bool ran = lease->second.isConfirmed;
            free(lease, ran ? now - lease->second.grantedAt : Duration(0));
        }
        lease = next;
    }
    std::erase_if(m_rejectedTargets, [&](const auto &entry) { return entry.second <= now; });
    std::erase_if(m_inFlightGrants, [](const auto &entry) { return entry.second == 0; });
    m_accounting.expire(now);
}

/// Returns whether a lease is free although its holder did not return it.
bool PoolOwner::isReclaimable(const Lease &lease, TimePoint now) const
{
    if (now <= lease.startDeadline + clockDriftMargin)
        return false;
    const auto holder = m_holders.find(lease.node);
    const bool isKnown = holder != m_holders.end();
    // The holder reported its leases after the term and does not have this one: the grant was lost.
    // A holder that has reported nothing since may have started a request and been partitioned
    // before it could report.
    if (!lease.isConfirmed && isKnown && holder->second.leasesReportedAt > lease.startDeadline)
        return true;
    const bool isHolderResponsive
        = isKnown && now - holder->second.demandReceivedAt <= holderSilenceTimeout;
    if (isHolderResponsive)
        return false;
    // The holder is silent: paused, partitioned, or lost with its VM. Its request may still run on
    // the target. The target's own report shows this if it is newer than the holder's last
    // message.
    const auto target = m_targets.find(lease.target);
    if (target == m_targets.end())
        return true;
    const TargetCapacity &capacity = target->second.capacity;
    const bool isReportNewer = capacity.reportedAt() > lease.confirmedAt + holderSilenceTimeout;
    // Another holder may be between two requests at the moment of the report, so fewer running
    // requests than leases prove nothing about this lease. A warm target can run one request too
    // many, a cold one crashes.
    const std::uint32_t maxReportedRunning = capacity.isCold() ? 1 : target->second.occupied;
    if (isReportNewer && capacity.reportedRunning() < maxReportedRunning)
        return true;
    return now - lease.confirmedAt > m_attemptTimeout;
}

std::vector<TargetHash> PoolOwner::duePolls(TimePoint now)
{
    std::vector<TargetHash> due;
    for (auto &[hash, target] : m_targets) {
        if (now < target.capacity.nextPoll)
            continue;
        target.capacity.nextPoll = now + target.capacity.pollPeriod();
        due.push_back(hash);
    }
    return due;
}

PoolUsage PoolOwner::usageReport(TimePoint now) const
{
    PoolUsage report;
    report.service = m_service.str();
    report.pool = m_pool;
    report.epoch = hash64("epoch",
                          m_options.incarnation
                              ^ static_cast<std::uint64_t>(m_startedAt.time_since_epoch().count()));
    m_accounting.forEach([&](FlowId flow) {
        const auto served
            = std::chrono::duration_cast<std::chrono::milliseconds>(m_accounting.served(flow, now));
        report.flows.push_back({flow, static_cast<std::uint64_t>(served.count())});
    });
    return report;
}

std::optional<PoolOwner::TargetView> PoolOwner::target(TargetHash target, TimePoint now) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return std::nullopt;
    const Target &value = found->second;
    return TargetView {&value.capacity, value.capacity.limit(m_agreement, now), value.occupied};
}

std::size_t PoolOwner::waiting() const
{
    std::size_t sum = 0;
    for (const auto &[node, holder] : m_holders) {
        for (const auto &[flow, demand] : holder.demands)
            sum += demand.waiting;
    }
    return sum;
}

void PoolOwner::free(std::map<LeaseId, Lease>::iterator lease, Duration used)
{
    const Lease &value = lease->second;
    const auto target = m_targets.find(value.target);
    if (target != m_targets.end()) {
        assert(target->second.occupied > 0 && "a lease ended at a target without occupied slots");
        --target->second.occupied;
    }
    markDelivered(lease->second);
    m_accounting.end(value.flow, value.estimate, value.grantedAt, used);
    m_history.onLeaseEnded(value.node);
    m_leases.erase(lease);
}

} // namespace berylridge
