#include "berylridge/Policy/Pool.h"

#include "berylridge/Support/Hash.h"

#include <map>

namespace berylridge {

FlowId flowId(const ServiceId &service, const WorkspaceId &workspace)
{
    return hash64(workspace.str(), hash64(service.str()));
}

TargetHash targetHash(const TargetId &target)
{
    return hash64(target.str());
}

std::vector<Pool> splitIntoPools(const ServiceDocument &document)
{
    std::map<ZoneId, std::vector<const TargetSpec *>> byZone;
    for (const TargetSpec &target : document.targets)
        byZone[target.zone].push_back(&target);

    std::vector<Pool> pools;
    for (const auto &[zone, targets] : byZone) {
        const std::size_t shards = (targets.size() + maxTargetsPerPool - 1) / maxTargetsPerPool;
        const std::size_t first = pools.size();
        for (std::size_t shard = 0; shard < shards; ++shard) {
            Pool pool;
            pool.name = document.service.str() + '|' + zone.str() + '|' + std::to_string(shard);
            pool.id = hash64(pool.name);
            pool.service = document.service;
            pool.zone = zone;
            pools.push_back(std::move(pool));
        }
        for (const TargetSpec *target : targets)
            pools[first + targetHash(target->target) % shards].targets.push_back(*target);
    }
    return pools;
}

NodeId rendezvousWinner(std::string_view subject, std::span<const NodeId> candidates)
{
    const NodeId *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const NodeId &candidate : candidates) {
        const std::uint64_t weight = rendezvousWeight(subject, candidate.str());
        if (!best || weight > bestWeight || (weight == bestWeight && candidate < *best)) {
            best = &candidate;
            bestWeight = weight;
        }
    }
    return best ? *best : NodeId();
}

} // namespace berylridge
