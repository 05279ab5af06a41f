// Entries of the audit trail: who changed what, from which version to which, and when.
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
    /// An operator, a document's publisher, or "node" for a decision of the node itself.
    std::string who;
    std::string what; ///< The object that changed.
    std::string from; ///< Previous version or state; empty if there was none.
    std::string to;   ///< New version or state.
    WallTime when {};
};

/// Returns the name of the kind in the audit trail's output.
const char *auditKindName(AuditKind kind);

} // namespace berylridge
