// One entry of the audit trail: who changed what, from which version to which, and when.
#pragma once

#include "berylridge/Support/Time.h"

#include <cstdint>
#include <string>

namespace berylridge {

enum class AuditKind : std::uint8_t {
    DocumentAccepted,
    DocumentRefused,
    ZoneState,
    TargetState,
    OwnerChange,
    OperatorCall,
    NodeState,
};

struct AuditEntry
{
    AuditKind kind = AuditKind::NodeState;
    std::string
        who; ///< An operator, a document's publisher, or "node" for the system's own decision.
    std::string what; ///< The thing that changed.
    std::string from; ///< Its version or state before; empty where there was none.
    std::string to;
    WallTime when {};
};

/// The word used in the trail's output.
const char *auditKindName(AuditKind kind);

} // namespace berylridge
