#include "PoolManager.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>

namespace berylridge {

namespace {

/// Wait after which a request that its own zone has not served is offered to other zones' pools
/// too.
constexpr Duration spillDelay = std::chrono::milliseconds(20);
/// Time after a spill during which other zones' pools receive demand immediately, since the own
/// zone is full.
constexpr Duration spillDuration = std::chrono::seconds(2);
constexpr Duration usageReportPeriod = std::chrono::milliseconds(500);

SchedulingPolicy schedulingPolicyFor(SharingPolicy policy)
{
    switch (policy) {
    case SharingPolicy::PerNode:
        return PerNodeFairPolicy {};
    case SharingPolicy::RoundRobin:
        return RoundRobinPolicy {};
    case SharingPolicy::Fifo:
        return FifoPolicy {};
    case SharingPolicy::Fleet:
        break;
    }
    return FleetFairPolicy {};
}

} // namespace

PoolManager::PoolManager(CoreContext &context, LeaseConsumer &leaseConsumer)
    : m_context(context)
    , m_leaseConsumer(leaseConsumer)
{
}

void PoolManager::onDocuments()
{
    std::map<PoolId, ManagedPool> updatedPools;
    m_byService.clear();
    m_targetPool.clear();
    m_openTargetCounts.clear();
    for (const auto &document : m_context.documents.services()) {
        std::vector<PoolId> &ids = m_byService[document->service];
        for (Pool &pool : splitIntoPools(*document)) {
            const PoolId id = pool.id;
            for (const TargetSpec &target : pool.targets)
                m_targetPool[target.target] = {id, document->service};
            const auto found = m_pools.find(id);
            ManagedPool entry
                = found == m_pools.end() ? ManagedPool(pool) : std::move(found->second);
            entry.pool = std::move(pool);
            entry.document = document;
            entry.openTargetCount = static_cast<std::size_t>(std::count_if(
                entry.pool.targets.begin(), entry.pool.targets.end(),
                [&](const TargetSpec &target) { return acceptsNewWork(entry.pool, target); }));
            m_openTargetCounts[document->service] += entry.openTargetCount;
            if (entry.poolOwner)
                configureOwner(entry);
            ids.push_back(id);
            updatedPools.emplace(id, std::move(entry));
        }
        const std::string &node = m_context.options.node.str();
        std::sort(ids.begin(), ids.end(), [&](PoolId a, PoolId b) {
            return rendezvousWeight(updatedPools.at(a).pool.name, node)
                > rendezvousWeight(updatedPools.at(b).pool.name, node);
        });
    }
    m_pools = std::move(updatedPools);
    onMembers();
}

void PoolManager::onMembers()
{
    for (auto &[id, entry] : m_pools) {
        const NodeId owner = ownerOf(entry.pool);
        if (entry.poolOwner) {
            entry.poolOwner->setAgreement(ownerAgreementFor(entry.pool));
            entry.needsGrant = true;
        }
        if (owner == entry.owner)
            continue;
        const bool involvesSelf = m_context.isSelf(owner) || m_context.isSelf(entry.owner);
        if (involvesSelf) {
            m_context.audit(AuditKind::OwnerChange, "node", entry.pool.name, entry.owner.str(),
                            owner.str());
            m_context.log(LogEventId::TargetOwner,
                          entry.pool.name + " from '" + entry.owner.str() + "' to '" + owner.str()
                              + "'");
        }
        if (entry.poolOwner)
            handOver(entry, owner);
        entry.owner = owner;
        entry.poolOwner.reset();
        if (m_context.isSelf(owner)) {
            becomeOwner(entry);
            applyEarlyHandover(entry);
        }
        // The new owner must learn immediately which leases are held, so that it counts them.
        entry.holder.leasesReportedAt = TimePoint {};
        sendPeriodicDemand(entry);
    }
}

void PoolManager::onEndedIncarnations(const std::vector<EndedIncarnation> &incarnations)
{
    for (auto &[id, entry] : m_pools) {
        if (!entry.poolOwner)
            continue;
        for (const EndedIncarnation &ended : incarnations)
            entry.poolOwner->onHolderEnded(ended.node, ended.incarnation, m_context.now);
        entry.needsGrant = true;
    }
}

void PoolManager::onProcessResumed()
{
    for (auto &[id, entry] : m_pools) {
        entry.holder.dropIdleLeases();
        if (entry.poolOwner)
            becomeOwner(entry);
    }
}

void PoolManager::onDemand(const NodeId &from, Incarnation incarnation, const PoolDemand &message)
{
    const auto found = m_pools.find(message.pool);
    if (found == m_pools.end() || !found->second.poolOwner)
        return;
    found->second.poolOwner->onDemand(from, incarnation, message, m_context.now);
    found->second.needsGrant = true;
}

void PoolManager::onGrant(const NodeId &from, Incarnation incarnation, const PoolGrant &message)
{
    const auto found = m_pools.find(message.pool);
    if (found == m_pools.end())
        return;
    ManagedPool &entry = found->second;
    bool hasUnusedLease = false;
    for (const LeaseId lease : entry.holder.onGrant(from, incarnation, message, m_context.now)) {
        if (tryUseLease(entry, lease))
            continue;
        hasUnusedLease = true;
        returnLease(entry, lease, {}, isUnfit(entry, lease));
    }
    // The owner's view of the demand here is outdated: other pools served the requests, or they
    // were cancelled or timed out.
    if (!hasUnusedLease)
        return;
    if (const ServiceQueue *queue = m_leaseConsumer.queue(entry.pool.service))
        sendUrgentDemand(entry, *queue);
}

void PoolManager::onReturn(const NodeId &from, const PoolReturn &message)
{
    const auto found = m_pools.find(message.pool);
    if (found == m_pools.end() || !found->second.poolOwner)
        return;
    found->second.poolOwner->onReturn(from, message, m_context.now);
    found->second.needsGrant = true;
}

void PoolManager::onTargetObservation(const TargetObservation &message)
{
    const auto found = m_pools.find(message.pool);
    if (found == m_pools.end() || !found->second.poolOwner)
        return;
    found->second.poolOwner->onTargetObservation(message, m_context.now);
    found->second.needsGrant = true;
}

void PoolManager::onRemoteUsage(const PoolUsage &message)
{
    const auto pools = m_byService.find(ServiceId(message.service));
    if (pools == m_byService.end())
        return;
    for (const PoolId id : pools->second) {
        ManagedPool &entry = m_pools.at(id);
        if (entry.poolOwner && id != message.pool)
            entry.poolOwner->onRemoteUsage(message);
    }
}

void PoolManager::onHandover(const PoolHandover &message)
{
    const auto found = m_pools.find(message.pool);
    if (found == m_pools.end())
        return;
    m_earlyHandovers[message.pool] = {m_context.now, message};
    if (found->second.poolOwner)
        applyEarlyHandover(found->second);
}

void PoolManager::onLoadReport(const TargetLoadReport &report)
{
    const auto found = m_targetPool.find(report.target);
    if (found == m_targetPool.end())
        return;
    ManagedPool &entry = m_pools.at(found->second.first);
    if (!entry.poolOwner)
        return;
    entry.poolOwner->onLoadReport(targetHash(report.target), report.bootId, report.running,
                                  report.completed, report.age, m_context.now);
    entry.needsGrant = true;
}

void PoolManager::onPollFailed(const TargetPollFailed &failure)
{
    const auto found = m_targetPool.find(failure.target);
    if (found == m_targetPool.end())
        return;
    ManagedPool &entry = m_pools.at(found->second.first);
    if (!entry.poolOwner)
        return;
    const bool isRefused = failure.failure == AttemptFailure::ConnectRefused;
    entry.poolOwner->onPollFailed(targetHash(failure.target), isRefused, m_context.now);
}

void PoolManager::endLease(const LeaseRef &ref, Duration used, bool isCompleted,
                           const std::string &bootId)
{
    const auto found = m_pools.find(ref.pool);
    if (found == m_pools.end() || !found->second.holder.find(ref.lease))
        return;
    ManagedPool &entry = found->second;
    const bool mayRunAnother = entry.holder.end(ref.lease, used, isCompleted, m_context.now);
    if (mayRunAnother && tryUseLease(entry, ref.lease))
        return;
    returnLease(entry, ref.lease, bootId);
}

void PoolManager::reportTargetSignal(PoolId pool, TargetHash target, TargetSignal signal,
                                     const std::string &bootId)
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end() || found->second.owner.isEmpty())
        return;
    TargetObservation observation {pool, target, static_cast<std::uint8_t>(signal), bootId};
    m_context.send(found->second.owner, FleetMessage(std::move(observation)));
}

void PoolManager::flush()
{
    const std::set<ServiceId> changed = std::exchange(m_changedServices, {});
    for (const ServiceId &service : changed) {
        const ServiceQueue *queue = m_leaseConsumer.queue(service);
        if (!queue || queue->size() == 0)
            continue;
        for (ManagedPool *entry : poolsForDemand(service)) {
            if (queue->anyFlow([&](FlowId flow, std::size_t waiting) {
                    return entry->holder.isOwnerViewStale(flow, waiting);
                })) {
                sendUrgentDemand(*entry, *queue);
            }
        }
    }
    for (auto &[id, entry] : m_pools) {
        if (entry.poolOwner && entry.needsGrant)
            grantFreeSlots(entry);
    }
}

void PoolManager::tick()
{
    for (auto &[id, entry] : m_pools) {
        if (!entry.poolOwner)
            continue;
        entry.poolOwner->setAgreement(ownerAgreementFor(entry.pool));
        entry.poolOwner->tick(m_context.now);
        entry.needsGrant = true;
        for (const TargetHash hash : entry.poolOwner->duePolls(m_context.now)) {
            if (const TargetSpec *target = findTarget(entry, hash))
                m_context.emit(PollTarget {target->target, {target->address, target->port}});
        }
    }
    for (auto &[service, pools] : m_byService) {
        const ServiceQueue *queue = m_leaseConsumer.queue(service);
        const std::optional<TimePoint> oldestArrival
            = queue ? queue->oldestArrival() : std::nullopt;
        if (oldestArrival && m_context.now - *oldestArrival >= spillDelay) {
            m_spillUntil[service] = m_context.now + spillDuration;
            m_changedServices.insert(service);
        }
    }
    for (auto &[id, entry] : m_pools) {
        sendPeriodicDemand(entry);
    }
    if (m_context.now >= m_nextUsageReportAt) {
        m_nextUsageReportAt = m_context.now + usageReportPeriod;
        sendUsageReports();
    }
}

bool PoolManager::isBusy() const
{
    return std::any_of(m_pools.begin(), m_pools.end(), [](const auto &entry) {
        return entry.second.holder.size() > 0 || entry.second.holder.hasReportedDemand()
            || (entry.second.poolOwner && entry.second.poolOwner->waiting() > 0);
    });
}

std::size_t PoolManager::openTargetCount(const ServiceId &service) const
{
    const auto found = m_openTargetCounts.find(service);
    return found == m_openTargetCounts.end() ? 0 : found->second;
}

void PoolManager::fillStatus(NodeStatus &status) const
{
    for (const auto &[id, entry] : m_pools) {
        for (const TargetSpec &spec : entry.pool.targets) {
            const TargetHash hash = targetHash(spec.target);
            TargetStatus target;
            target.service = entry.pool.service;
            target.target = spec.target;
            target.zone = spec.zone;
            target.owner = entry.owner;
            target.state = acceptsNewWork(entry.pool, spec) ? "open" : "leaving";
            target.held = entry.holder.leaseCountAt(hash);
            const auto view
                = entry.poolOwner ? entry.poolOwner->target(hash, m_context.now) : std::nullopt;
            if (view) {
                target.state = view->capacity->stateName();
                target.limit = view->limit;
                target.granted = view->granted;
            }
            status.targets.push_back(std::move(target));
        }
    }
}

double PoolManager::virtualTime(const ServiceId &service, FlowId flow) const
{
    const auto pools = m_byService.find(service);
    if (pools == m_byService.end())
        return 0;
    for (const PoolId id : pools->second) {
        const ManagedPool &entry = m_pools.at(id);
        if (entry.poolOwner)
            return entry.poolOwner->virtualTime(flow, m_context.now);
    }
    return 0;
}

void PoolManager::becomeOwner(ManagedPool &entry)
{
    entry.poolOwner.emplace(m_context.stateMachines.target,
                            PoolOwnerOptions {m_context.options.incarnation,
                                              m_context.options.leaseTerm,
                                              schedulingPolicyFor(m_context.options.policy)},
                            m_context.now);
    configureOwner(entry);
    entry.poolOwner->setAgreement(ownerAgreementFor(entry.pool));
    entry.needsGrant = true;
}

/// Transfers the pool's state to the new owner. This node is still running, so the successor need
/// not wait to learn that state by itself.
void PoolManager::handOver(ManagedPool &entry, const NodeId &successor)
{
    if (!successor.isEmpty())
        m_context.send(successor, FleetMessage(entry.poolOwner->handover(m_context.now)));
}

void PoolManager::applyEarlyHandover(ManagedPool &entry)
{
    const auto found = m_earlyHandovers.find(entry.pool.id);
    if (found == m_earlyHandovers.end())
        return;
    // A handover older than leaseTerm may describe an ownership that other owners have followed
    // since.
    if (m_context.now - found->second.first <= m_context.options.leaseTerm)
        entry.poolOwner->takeOver(found->second.second, m_context.now);
    m_earlyHandovers.erase(found);
    entry.needsGrant = true;
}

void PoolManager::configureOwner(ManagedPool &entry)
{
    Pool pool = entry.pool;
    for (TargetSpec &target : pool.targets)
        target.isLeaving = !acceptsNewWork(entry.pool, target);
    entry.poolOwner->configure(*entry.document, pool, m_context.now);
    entry.needsGrant = true;
}

NodeId PoolManager::ownerOf(const Pool &pool) const
{
    if (m_context.membership.isZoneVacant(pool.zone))
        return rendezvousWinner(pool.name,
                                m_context.membership.eligibleOwnersInFleet(m_context.now));
    return rendezvousWinner(pool.name,
                            m_context.membership.eligibleOwners(pool.zone, m_context.now));
}

OwnerAgreement PoolManager::ownerAgreementFor(const Pool &pool) const
{
    const Membership &membership = m_context.membership;
    if (pool.zone == m_context.options.zone)
        return {membership.agreeingNodeCountInZone(m_context.now), membership.nodeCountInZone()};
    const auto eligibleOwners = membership.eligibleOwnersInFleet(m_context.now).size();
    return {static_cast<std::uint32_t>(eligibleOwners), membership.nodeCountInFleet()};
}

bool PoolManager::acceptsNewWork(const Pool &pool, const TargetSpec &target) const
{
    return !target.isLeaving && !isZoneOutOfService(*m_context.documents.fleet(), pool.zone)
        && !m_context.membership.isVmLeaving(target.target.str());
}

const TargetSpec *PoolManager::findTarget(const ManagedPool &entry, TargetHash target) const
{
    const auto found
        = std::find_if(entry.pool.targets.begin(), entry.pool.targets.end(),
                       [&](const TargetSpec &spec) { return targetHash(spec.target) == target; });
    return found == entry.pool.targets.end() ? nullptr : &*found;
}

/// Starts a request on a held lease if the target still accepts new work and a request is suitable.
bool PoolManager::tryUseLease(ManagedPool &entry, LeaseId lease)
{
    const LeaseHolder::LeaseState *held = entry.holder.find(lease);
    if (!held || !entry.holder.canStartRequest(lease, m_context.now))
        return false;
    const TargetSpec *target = findTarget(entry, held->target);
    if (!target || !acceptsNewWork(entry.pool, *target))
        return false;
    if (!m_leaseConsumer.tryDispatch({entry.pool.id, lease}, held->flow, *target, *entry.document,
                                     held->startDeadline))
        return false;
    entry.holder.begin(lease);
    return true;
}

/// Returns whether a lease can't be used although it is valid and its flow has waiting requests.
bool PoolManager::isUnfit(const ManagedPool &entry, LeaseId lease) const
{
    const LeaseHolder::LeaseState *held = entry.holder.find(lease);
    const ServiceQueue *queue = m_leaseConsumer.queue(entry.pool.service);
    return held && queue && entry.holder.canStartRequest(lease, m_context.now)
        && queue->waiting(held->flow) > 0;
}

void PoolManager::returnLease(ManagedPool &entry, LeaseId lease, const std::string &bootId,
                              bool isUnfit)
{
    PoolReturn message;
    message.pool = entry.pool.id;
    message.leases.push_back(entry.holder.returnLease(lease));
    message.leases.back().isUnfit = isUnfit;
    message.bootId = bootId;
    message.sequence = entry.holder.nextSequence();
    if (!entry.owner.isEmpty())
        m_context.send(entry.owner, FleetMessage(std::move(message)));
}

void PoolManager::grantFreeSlots(ManagedPool &entry)
{
    entry.needsGrant = false;
    for (OwnerMessage &message : entry.poolOwner->grant(m_context.now))
        m_context.send(message.to, FleetMessage(std::move(message.grant)));
}

} // namespace berylridge
