// Defines the status of a node, as reported to operators and tests.
#pragma once

#include "berylridge/Config/Documents.h"
#include "berylridge/Fleet/Messages.h"
#include "berylridge/Support/Id.h"

#include <cstdint>
#include <string>
#include <vector>

namespace berylridge {

struct MemberStatus
{
    NodeId node;
    ZoneId zone;
    std::string state;
    Incarnation incarnation = 0;
    double silentSeconds = 0;
};

struct TargetStatus
{
    ServiceId service;
    TargetId target;
    ZoneId zone;
    std::string state; ///< State in charts/target-life.json, as this node sees it.
    NodeId owner;
    std::uint32_t limit
        = 0; ///< Slots that the owner currently grants; 0 if this node is not the owner.
    std::uint32_t granted = 0;
    std::uint32_t held = 0;    ///< Leases held by this node.
    std::uint32_t running = 0; ///< Requests of this node that run at the target.
};

struct WorkspaceStatus
{
    ServiceId service;
    WorkspaceId workspace;
    double weight = 1;
    double virtualTime = 0; ///< Fleet-wide virtual time as known to this node.
    double charged = 0;     ///< Slot seconds charged by this node.
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
};

struct NodeStatus
{
    NodeId node;
    ZoneId zone;
    std::string state;
    Incarnation incarnation = 0;
    bool isReader = false; ///< The node watches the platform for its zone.
    std::uint64_t vmListRevision = 0;
    std::vector<DocumentVersionEntry> documents;
    std::vector<MemberStatus> members;
    std::vector<TargetStatus> targets;
    std::vector<WorkspaceStatus> workspaces;
};

} // namespace berylridge
