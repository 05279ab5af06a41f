// What one node knows, for operators and tests.
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
    std::string state; ///< Of the target's life chart, as this node sees it.
    NodeId owner;
    std::uint32_t limit
        = 0; ///< Slots that the owner gives out now; 0 where this node is not the owner.
    std::uint32_t granted = 0;
    std::uint32_t held = 0;    ///< Leases that this node holds.
    std::uint32_t running = 0; ///< This node's requests there.
};

struct WorkspaceStatus
{
    ServiceId service;
    WorkspaceId workspace;
    double weight = 1;
    double virtualTime = 0; ///< Fleet-wide, as this node knows it.
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
    bool isReader = false; ///< Watches the platform for its zone.
    std::uint64_t vmListRevision = 0;
    std::vector<DocumentVersionEntry> documents;
    std::vector<MemberStatus> members;
    std::vector<TargetStatus> targets;
    std::vector<WorkspaceStatus> workspaces;
};

} // namespace berylridge
