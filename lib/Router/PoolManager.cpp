#include "PoolManager.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>

namespace berylridge {

namespace {

/// A request that its own zone has not served by then is offered to other zones' pools too.
constexpr Duration spillAfter = std::chrono::milliseconds(20);
/// After a spill other zones are asked at once for this long: the own zone is full.
constexpr Duration spillLasts = std::chrono::seconds(2);
constexpr Duration exchangePeriod = std::chrono::milliseconds(500);

PickRule ruleOf(SharingPolicy policy)
{
    switch (policy) {
    case SharingPolicy::PerNode:
        return PerNodeRule {};
    case SharingPolicy::RoundRobin:
        return RoundRobinRule {};
    case SharingPolicy::Fifo:
        return FifoRule {};
    case SharingPolicy::Fleet:
        break;
    }
    return FleetRule {};
}

} // namespace

PoolManager::PoolManager(CoreContext &context, LeaseUser &user)
    : m_context(context)
    , m_user(user)
{
}

void PoolManager::onDocuments()
{
    std::map<PoolId, Entry> kept;
    m_byService.clear();
    m_targetPool.clear();
    m_openTargets.clear();
    for (const auto &document : m_context.documents.services()) {
        std::vector<PoolId> &ids = m_byService[document->service];
        for (Pool &pool : poolsOf(*document)) {
            const PoolId id = pool.id;
            for (const TargetSpec &target : pool.targets)
                m_targetPool[target.target] = {id, document->service};
            const auto found = m_pools.find(id);
            Entry entry = found == m_pools.end() ? Entry(pool) : std::move(found->second);
            entry.pool = std::move(pool);
            entry.document = document;
            entry.openTargets = static_cast<std::size_t>(std::count_if(
                entry.pool.targets.begin(), entry.pool.targets.end(),
                [&](const TargetSpec &target) { return isOpen(entry.pool, target); }));
            m_openTargets[document->service] += entry.openTargets;
            if (entry.own)
                configureOwn(entry);
            ids.push_back(id);
            kept.emplace(id, std::move(entry));
        }
        const std::string &node = m_context.options.node.str();
        std::sort(ids.begin(), ids.end(), [&](PoolId a, PoolId b) {
            return rendezvousWeight(kept.at(a).pool.name, node)
                > rendezvousWeight(kept.at(b).pool.name, node);
        });
    }
    m_pools = std::move(kept);
    onMembers();
}

void PoolManager::onMembers()
{
    for (auto &[id, entry] : m_pools) {
        const NodeId owner = ownerOf(entry.pool);
        if (entry.own) {
            entry.own->setPart(partOf(entry.pool));
            entry.isOwnChanged = true;
        }
        if (owner == entry.owner)
            continue;
        const bool concernsSelf = m_context.isSelf(owner) || m_context.isSelf(entry.owner);
        if (concernsSelf) {
            m_context.audit(AuditKind::OwnerChange, "node", entry.pool.name, entry.owner.str(),
                            owner.str());
            m_context.log(LogEventId::TargetOwner,
                          entry.pool.name + " from '" + entry.owner.str() + "' to '" + owner.str()
                              + "'");
        }
        if (entry.own)
            handOver(entry, owner);
        entry.owner = owner;
        entry.own.reset();
        if (m_context.isSelf(owner)) {
            beginOwning(entry);
            takeEarlyHandover(entry);
        }
        // The new owner must learn at once what is held, so that it counts it.
        entry.holder.listedAt = TimePoint {};
        tellPeriodically(entry);
    }
}

void PoolManager::onEndedRuns(const std::vector<EndedIncarnation> &runs)
{
    for (auto &[id, entry] : m_pools) {
        if (!entry.own)
            continue;
        for (const EndedIncarnation &run : runs)
            entry.own->onHolderGone(run.node, run.incarnation, m_context.now);
        entry.isOwnChanged = true;
    }
}

void PoolManager::onProcessResumed()
{
    for (auto &[id, entry] : m_pools) {
        entry.holder.dropIdle();
        if (entry.own)
            beginOwning(entry);
    }
}

void PoolManager::onDemand(const NodeId &from, Incarnation incarnation, const PoolDemand &message)
{
    const auto found = m_pools.find(message.pool);
    if (found == m_pools.end() || !found->second.own)
        return;
    found->second.own->onDemand(from, incarnation, message, m_context.now);
    found->second.isOwnChanged = true;
}

void PoolManager::onGrant(const NodeId &from, Incarnation incarnation, const PoolGrant &message)
{
    const auto found = m_pools.find(message.pool);
    if (found == m_pools.end())
        return;
    Entry &entry = found->second;
    bool isVain = false;
    for (const LeaseId lease : entry.holder.onGrant(from, incarnation, message, m_context.now)) {
        if (tryRun(entry, lease))
            continue;
        isVain = true;
        giveBack(entry, lease, {}, isUnfit(entry, lease));
    }
    // The owner has a wrong picture of what waits here: other pools served it, or it was given up.
    if (!isVain)
        return;
    if (const ServiceQueue *queue = m_user.queue(entry.pool.service))
        tellUrgently(entry, *queue);
}

void PoolManager::onReturn(const NodeId &from, const PoolReturn &message)
{
    const auto found = m_pools.find(message.pool);
    if (found == m_pools.end() || !found->second.own)
        return;
    found->second.own->onReturn(from, message, m_context.now);
    found->second.isOwnChanged = true;
}

void PoolManager::onNews(const TargetObservation &message)
{
    const auto found = m_pools.find(message.pool);
    if (found == m_pools.end() || !found->second.own)
        return;
    found->second.own->onNews(message, m_context.now);
    found->second.isOwnChanged = true;
}

void PoolManager::onRemoteService(const PoolUsage &message)
{
    const auto pools = m_byService.find(ServiceId(message.service));
    if (pools == m_byService.end())
        return;
    for (const PoolId id : pools->second) {
        Entry &entry = m_pools.at(id);
        if (entry.own && id != message.pool)
            entry.own->onRemoteService(message);
    }
}

void PoolManager::onHandover(const PoolHandover &message)
{
    const auto found = m_pools.find(message.pool);
    if (found == m_pools.end())
        return;
    m_earlyHandovers[message.pool] = {m_context.now, message};
    if (found->second.own)
        takeEarlyHandover(found->second);
}

void PoolManager::onReport(const TargetReport &report)
{
    const auto found = m_targetPool.find(report.target);
    if (found == m_targetPool.end())
        return;
    Entry &entry = m_pools.at(found->second.first);
    if (!entry.own)
        return;
    entry.own->onReport(targetHash(report.target), report.bootId, report.running, report.completed,
                        report.age, m_context.now);
    entry.isOwnChanged = true;
}

void PoolManager::onPollFailed(const TargetPollFailed &failure)
{
    const auto found = m_targetPool.find(failure.target);
    if (found == m_targetPool.end())
        return;
    Entry &entry = m_pools.at(found->second.first);
    if (!entry.own)
        return;
    const bool isRefused = failure.failure == AttemptFailure::ConnectRefused;
    entry.own->onPollFailed(targetHash(failure.target), isRefused, m_context.now);
}

void PoolManager::endLease(const LeaseRef &ref, Duration used, bool isCompleted,
                           const std::string &bootId)
{
    const auto found = m_pools.find(ref.pool);
    if (found == m_pools.end() || !found->second.holder.find(ref.lease))
        return;
    Entry &entry = found->second;
    const bool mayRunAnother = entry.holder.end(ref.lease, used, isCompleted, m_context.now);
    if (mayRunAnother && tryRun(entry, ref.lease))
        return;
    giveBack(entry, ref.lease, bootId);
}

void PoolManager::tellNews(PoolId pool, TargetHash target, TargetSign sign,
                           const std::string &bootId)
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end() || found->second.owner.isEmpty())
        return;
    TargetObservation news {pool, target, static_cast<std::uint8_t>(sign), bootId};
    m_context.send(found->second.owner, FleetMessage(std::move(news)));
}

void PoolManager::flush()
{
    const std::set<ServiceId> changed = std::exchange(m_changedServices, {});
    for (const ServiceId &service : changed) {
        const ServiceQueue *queue = m_user.queue(service);
        if (!queue || queue->size() == 0)
            continue;
        for (Entry *entry : poolsToAsk(service)) {
            if (queue->anyFlow([&](FlowId flow, std::size_t waiting) {
                    return entry->holder.isOwnerBehind(flow, waiting);
                })) {
                tellUrgently(*entry, *queue);
            }
        }
    }
    for (auto &[id, entry] : m_pools) {
        if (entry.own && entry.isOwnChanged)
            grantOwn(entry);
    }
}

void PoolManager::tick()
{
    for (auto &[id, entry] : m_pools) {
        if (!entry.own)
            continue;
        entry.own->setPart(partOf(entry.pool));
        entry.own->tick(m_context.now);
        entry.isOwnChanged = true;
        for (const TargetHash hash : entry.own->duePolls(m_context.now)) {
            if (const TargetSpec *target = findTarget(entry, hash))
                m_context.act(PollTarget {target->target, {target->address, target->port}});
        }
    }
    for (auto &[service, pools] : m_byService) {
        const ServiceQueue *queue = m_user.queue(service);
        const std::optional<TimePoint> oldest = queue ? queue->oldest() : std::nullopt;
        if (oldest && m_context.now - *oldest >= spillAfter) {
            m_spillUntil[service] = m_context.now + spillLasts;
            m_changedServices.insert(service);
        }
    }
    for (auto &[id, entry] : m_pools) {
        tellPeriodically(entry);
    }
    if (m_context.now >= m_exchangeAt) {
        m_exchangeAt = m_context.now + exchangePeriod;
        exchangeService();
    }
}

bool PoolManager::isBusy() const
{
    return std::any_of(m_pools.begin(), m_pools.end(), [](const auto &entry) {
        return entry.second.holder.size() > 0 || entry.second.holder.hasToldDemand()
            || (entry.second.own && entry.second.own->waiting() > 0);
    });
}

std::size_t PoolManager::openTargets(const ServiceId &service) const
{
    const auto found = m_openTargets.find(service);
    return found == m_openTargets.end() ? 0 : found->second;
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
            target.state = isOpen(entry.pool, spec) ? "open" : "leaving";
            target.held = entry.holder.heldAt(hash);
            const auto view = entry.own ? entry.own->target(hash, m_context.now) : std::nullopt;
            if (view) {
                target.state = view->gauge->stateName();
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
        const Entry &entry = m_pools.at(id);
        if (entry.own)
            return entry.own->virtualTime(flow, m_context.now);
    }
    return 0;
}

void PoolManager::beginOwning(Entry &entry)
{
    entry.own.emplace(m_context.charts.target,
                      PoolOwnerOptions {m_context.options.incarnation, m_context.options.leaseTerm,
                                        ruleOf(m_context.options.policy)},
                      m_context.now);
    configureOwn(entry);
    entry.own->setPart(partOf(entry.pool));
    entry.isOwnChanged = true;
}

/// Ownership moves while this node lives: the successor need not wait for what it can be told.
void PoolManager::handOver(Entry &entry, const NodeId &successor)
{
    if (!successor.isEmpty())
        m_context.send(successor, FleetMessage(entry.own->handover(m_context.now)));
}

void PoolManager::takeEarlyHandover(Entry &entry)
{
    const auto found = m_earlyHandovers.find(entry.pool.id);
    if (found == m_earlyHandovers.end())
        return;
    // An older one tells of a reign that others may have followed.
    if (m_context.now - found->second.first <= m_context.options.leaseTerm)
        entry.own->takeOver(found->second.second, m_context.now);
    m_earlyHandovers.erase(found);
    entry.isOwnChanged = true;
}

void PoolManager::configureOwn(Entry &entry)
{
    Pool pool = entry.pool;
    for (TargetSpec &target : pool.targets)
        target.isLeaving = !isOpen(entry.pool, target);
    entry.own->configure(*entry.document, pool, m_context.now);
    entry.isOwnChanged = true;
}

NodeId PoolManager::ownerOf(const Pool &pool) const
{
    if (m_context.membership.isZoneVacant(pool.zone))
        return rendezvousWinner(pool.name,
                                m_context.membership.eligibleOwnersInFleet(m_context.now));
    return rendezvousWinner(pool.name,
                            m_context.membership.eligibleOwners(pool.zone, m_context.now));
}

OwnerPart PoolManager::partOf(const Pool &pool) const
{
    const Membership &membership = m_context.membership;
    if (pool.zone == m_context.options.zone)
        return {membership.agreeingNodeCountInZone(m_context.now), membership.nodeCountInZone()};
    const auto eligibleOwners = membership.eligibleOwnersInFleet(m_context.now).size();
    return {static_cast<std::uint32_t>(eligibleOwners), membership.nodeCountInFleet()};
}

bool PoolManager::isOpen(const Pool &pool, const TargetSpec &target) const
{
    return !target.isLeaving && !isZoneOut(*m_context.documents.fleet(), pool.zone)
        && !m_context.membership.isVmLeaving(target.target.str());
}

const TargetSpec *PoolManager::findTarget(const Entry &entry, TargetHash target) const
{
    const auto found
        = std::find_if(entry.pool.targets.begin(), entry.pool.targets.end(),
                       [&](const TargetSpec &spec) { return targetHash(spec.target) == target; });
    return found == entry.pool.targets.end() ? nullptr : &*found;
}

/// Begins a request on a lease that is held, if the target still takes new work and a request fits.
bool PoolManager::tryRun(Entry &entry, LeaseId lease)
{
    const LeaseHolder::Held *held = entry.holder.find(lease);
    if (!held || !entry.holder.mayBegin(lease, m_context.now))
        return false;
    const TargetSpec *target = findTarget(entry, held->target);
    if (!target || !isOpen(entry.pool, *target))
        return false;
    if (!m_user.runOn({entry.pool.id, lease}, held->flow, *target, *entry.document, held->startsBy))
        return false;
    entry.holder.begin(lease);
    return true;
}

/// Whether a lease can't be used although it is valid and its flow waits.
bool PoolManager::isUnfit(const Entry &entry, LeaseId lease) const
{
    const LeaseHolder::Held *held = entry.holder.find(lease);
    const ServiceQueue *queue = m_user.queue(entry.pool.service);
    return held && queue && entry.holder.mayBegin(lease, m_context.now)
        && queue->waiting(held->flow) > 0;
}

void PoolManager::giveBack(Entry &entry, LeaseId lease, const std::string &bootId, bool isUnfit)
{
    PoolReturn message;
    message.pool = entry.pool.id;
    message.leases.push_back(entry.holder.giveBack(lease));
    message.leases.back().isUnfit = isUnfit;
    message.bootId = bootId;
    message.sequence = entry.holder.nextSequence();
    if (!entry.owner.isEmpty())
        m_context.send(entry.owner, FleetMessage(std::move(message)));
}

void PoolManager::grantOwn(Entry &entry)
{
    entry.isOwnChanged = false;
    for (OwnerMessage &message : entry.own->grant(m_context.now))
        m_context.send(message.to, FleetMessage(std::move(message.grant)));
}

} // namespace berylridge
