// Splits a service's targets into pools. A pool holds targets of one service in one availability
// zone and has one owner.
#pragma once

#include "berylridge/Config/Documents.h"
#include "berylridge/Fleet/Messages.h"
#include "berylridge/Support/Id.h"

#include <span>
#include <string>
#include <vector>

namespace berylridge {

/// Maximum number of targets in a pool. Larger zones are split into more pools, so that the owners'
/// work and messages are spread over more nodes and do not grow on one.
inline constexpr std::size_t maxTargetsPerPool = 16;

struct Pool
{
    PoolId id = 0;
    std::string name; ///< "service|zone|shard"; its hash is the id, and it selects the owner.
    ServiceId service;
    ZoneId zone;
    std::vector<TargetSpec> targets;
};

FlowId flowId(const ServiceId &service, const WorkspaceId &workspace);
TargetHash targetHash(const TargetId &target);

/// Splits a service's targets into pools. The result is equal on every node on which the same
/// document is active.
std::vector<Pool> splitIntoPools(const ServiceDocument &document);

/// Returns the node that owns the subject, a pool's name: the candidate with the highest rendezvous
/// weight, or an empty id if there are no candidates.
NodeId rendezvousWinner(std::string_view subject, std::span<const NodeId> candidates);

} // namespace berylridge
