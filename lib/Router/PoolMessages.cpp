// Sends this node's demand and held leases to pool owners, and the usage of its own pools to other
// owners.
#include "PoolManager.h"

namespace berylridge {

namespace {

/// Period of demand messages while demand exists. Two messages may be lost before the owner
/// discards the demand.
constexpr Duration demandPeriod = std::chrono::milliseconds(500);
/// Period of demand messages with the full list of held leases. The list makes up most of the bytes
/// and only repairs the effect of lost messages.
constexpr Duration fullDemandPeriod = std::chrono::milliseconds(1600);
/// Owners that receive a usage report per period. With one pool in each of three zones this covers
/// all other owners.
constexpr std::size_t ownersPerUsageReport = 2;
/// Maximum number of pools of one service, in this zone and in all other zones, that one node sends
/// its demand to. The selection differs per node, so that each pool receives the demand of equally
/// many nodes. With fewer pools than the limits, all receive it.
constexpr std::size_t ownZonePoolLimit = 4;
constexpr std::size_t otherZonePoolLimit = 6;
/// Maximum number of flows in one demand message, so that it fits into a datagram. The flows with
/// the longest waits come first, so that none is omitted permanently.
constexpr std::size_t maxFlowsPerDemand = 32;

} // namespace

/// Returns the pools that receive demand for the service's waiting requests. At first this is one
/// pool of this zone. While requests spill, or if this zone has no pool with targets that accept
/// work, pools of other zones are added, and while requests spill, more pools of this zone.
std::vector<PoolManager::ManagedPool *> PoolManager::poolsForDemand(const ServiceId &service)
{
    const auto spill = m_spillUntil.find(service);
    const bool isSpilling = spill != m_spillUntil.end() && m_context.now < spill->second;
    std::vector<ManagedPool *> ownZone;
    std::vector<ManagedPool *> otherZones;
    for (const PoolId id : m_byService[service]) {
        ManagedPool &entry = m_pools.at(id);
        const bool isOwnZone = entry.pool.zone == m_context.options.zone;
        std::vector<ManagedPool *> &chosen = isOwnZone ? ownZone : otherZones;
        const std::size_t ownZoneLimit = isSpilling ? ownZonePoolLimit : 1;
        const std::size_t limit = isOwnZone ? ownZoneLimit : otherZonePoolLimit;
        if (chosen.size() < limit && !entry.owner.isEmpty() && entry.openTargetCount > 0)
            chosen.push_back(&entry);
    }
    if (ownZone.empty() || isSpilling)
        ownZone.insert(ownZone.end(), otherZones.begin(), otherZones.end());
    return ownZone;
}

void PoolManager::sendFullDemand(ManagedPool &entry, const ServiceQueue &queue)
{
    if (entry.owner.isEmpty())
        return;
    PoolDemand message
        = entry.holder.demandMessage(queue.demand(m_context.now, maxFlowsPerDemand), m_context.now);
    m_context.send(entry.owner, FleetMessage(std::move(message)));
}

/// Sends demand immediately instead of at the next period. The list of held leases is omitted: it
/// makes up most of the message, and the periodic message contains it.
void PoolManager::sendUrgentDemand(ManagedPool &entry, const ServiceQueue &queue)
{
    if (entry.owner.isEmpty())
        return;
    PoolDemand message = entry.holder.demandOnlyMessage(
        queue.demand(m_context.now, maxFlowsPerDemand), m_context.now);
    m_context.send(entry.owner, FleetMessage(std::move(message)));
}

void PoolManager::sendPeriodicDemand(ManagedPool &entry)
{
    const ServiceQueue *queue = m_leaseConsumer.queue(entry.pool.service);
    const bool hasDemand = entry.holder.hasReportedDemand();
    if (!queue || (entry.holder.size() == 0 && !hasDemand))
        return;
    if (m_context.now - entry.holder.leasesReportedAt >= fullDemandPeriod)
        sendFullDemand(entry, *queue);
    else if (hasDemand && m_context.now - entry.holder.demandReportedAt >= demandPeriod)
        sendUrgentDemand(entry, *queue);
}

/// Returns the owners that receive the pool's next usage report. They take turns, a bounded number
/// at a time, so that the number of messages does not grow with the number of pools. The counts are
/// cumulative, so a skipped turn only delays the information.
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
        const PoolUsage report = entry.poolOwner->usageReport(m_context.now);
        if (report.flows.empty())
            continue;
        for (const NodeId &owner : owners)
            m_context.send(owner, FleetMessage(report));
    }
}

} // namespace berylridge
