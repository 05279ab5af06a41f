// What a node tells the owners of pools: its demand, what it holds, and what its poolOwner pools
// gave.
#include "PoolManager.h"

namespace berylridge {

namespace {

/// Demand goes out this often while there is any. Two may be lost before wants are void.
constexpr Duration demandPeriod = std::chrono::milliseconds(500);
/// All that is held goes out this often: it is most of the bytes, and only heals what was lost.
constexpr Duration fullDemandPeriod = std::chrono::milliseconds(1600);
/// Owners told per period: all of today's, where a service has a pool in each of three zones.
constexpr std::size_t ownersPerUsageReport = 2;
/// Pools that one node asks for a service's slots. Which ones differs from node to node, so that
/// each pool is asked by as many; with today's few pools it is all of them.
constexpr std::size_t nearPoolLimit = 4;
constexpr std::size_t farPoolLimit = 6;
/// Flows in one demand message, so that it fits into a datagram. The longest waits come first, so
/// none is left out for ever.
constexpr std::size_t maxFlowsPerDemand = 32;

} // namespace

/// The pools that are to know of the service's waiting requests: one of this zone's at first; more
/// of them, and some of other zones', when that did not serve them for a while or none is open.
std::vector<PoolManager::ManagedPool *> PoolManager::poolsToAsk(const ServiceId &service)
{
    const auto spill = m_spillUntil.find(service);
    const bool isSpilling = spill != m_spillUntil.end() && m_context.now < spill->second;
    std::vector<ManagedPool *> near;
    std::vector<ManagedPool *> far;
    for (const PoolId id : m_byService[service]) {
        ManagedPool &entry = m_pools.at(id);
        const bool isNear = entry.pool.zone == m_context.options.zone;
        std::vector<ManagedPool *> &chosen = isNear ? near : far;
        const std::size_t nearLimit = isSpilling ? nearPoolLimit : 1;
        const std::size_t limit = isNear ? nearLimit : farPoolLimit;
        if (chosen.size() < limit && !entry.owner.isEmpty() && entry.openTargetCount > 0)
            chosen.push_back(&entry);
    }
    if (near.empty() || isSpilling)
        near.insert(near.end(), far.begin(), far.end());
    return near;
}

void PoolManager::sendFullDemand(ManagedPool &entry, const ServiceQueue &queue)
{
    if (entry.owner.isEmpty())
        return;
    PoolDemand message
        = entry.holder.demandMessage(queue.demand(m_context.now, maxFlowsPerDemand), m_context.now);
    m_context.send(entry.owner, FleetMessage(std::move(message)));
}

/// Demand that can't wait for the period. What is held is left out: it is most of the message, and
/// the period tells it.
void PoolManager::sendUrgentDemand(ManagedPool &entry, const ServiceQueue &queue)
{
    if (entry.owner.isEmpty())
        return;
    PoolDemand message
        = entry.holder.urgentMessage(queue.demand(m_context.now, maxFlowsPerDemand), m_context.now);
    m_context.send(entry.owner, FleetMessage(std::move(message)));
}

void PoolManager::sendPeriodicDemand(ManagedPool &entry)
{
    const ServiceQueue *queue = m_leaseConsumer.queue(entry.pool.service);
    const bool hasDemand = entry.holder.hasToldDemand();
    if (!queue || (entry.holder.size() == 0 && !hasDemand))
        return;
    if (m_context.now - entry.holder.listedAt >= fullDemandPeriod)
        sendFullDemand(entry, *queue);
    else if (hasDemand && m_context.now - entry.holder.toldAt >= demandPeriod)
        sendUrgentDemand(entry, *queue);
}

/// Owners to tell next what the pool gave. All are told in turn, a bounded number at a time, so
/// that the messages don't grow with the pools; since the counts are cumulative, waiting one's turn
/// loses nothing but freshness.
std::set<NodeId> PoolManager::nextReportReceivers(ManagedPool &entry)
{
    const std::vector<PoolId> &pools = m_byService[entry.pool.service];
    std::set<NodeId> owners;
    for (std::size_t tried = 0; tried < pools.size() && owners.size() < ownersPerUsageReport;
         ++tried) {
        const PoolId other = pools[entry.nextReceiverIndex++ % pools.size()];
        const NodeId &owner = m_pools.at(other).owner;
        if (other != entry.pool.id && !owner.isEmpty())
            owners.insert(owner);
    }
    return owners;
}

void PoolManager::sendUsageReports()
{
    for (auto &[id, entry] : m_pools) {
        if (!entry.poolOwner)
            continue;
        const std::set<NodeId> owners = nextReportReceivers(entry);
        if (owners.empty())
            continue;
        const PoolUsage report = entry.poolOwner->serviceReport(m_context.now);
        if (report.flows.empty())
            continue;
        for (const NodeId &owner : owners)
            m_context.send(owner, FleetMessage(report));
    }
}

} // namespace berylridge
