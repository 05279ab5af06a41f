// Pools: the targets of one service in one availability zone that have one owner.
#pragma once

#include "berylridge/Config/Documents.h"
#include "berylridge/Fleet/Messages.h"
#include "berylridge/Support/Id.h"

#include <span>
#include <string>
#include <vector>

namespace berylridge {

/// Targets of one pool at most. Above it a zone's targets of a service are split into more pools,
/// so that the owner's work and its messages grow with the owners, not with one node.
inline constexpr std::size_t maxTargetsPerPool = 16;

struct Pool
{
    PoolId id = 0;
    std::string name; ///< "service|zone|shard"; its hash is the id, and it places the owner.
    ServiceId service;
    ZoneId zone;
    std::vector<TargetSpec> targets;
};

FlowId flowId(const ServiceId &service, const WorkspaceId &workspace);
TargetHash targetHash(const TargetId &target);

/// Splits a service's targets into pools. Equal on every node that has the same document in force.
std::vector<Pool> splitIntoPools(const ServiceDocument &document);

/// The node that owns a pool: the highest rendezvous weight over the candidates; empty without any.
NodeId rendezvousWinner(std::string_view subject, std::span<const NodeId> candidates);

} // namespace berylridge
