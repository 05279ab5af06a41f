#include "berylridge/Support/Audit.h"

namespace berylridge {

const char *auditKindName(AuditKind kind)
{
    switch (kind) {
    case AuditKind::DocumentAccepted:
        return "document-accepted";
    case AuditKind::DocumentRefused:
        return "document-refused";
    case AuditKind::ZoneState:
        return "zone-state";
    case AuditKind::TargetState:
        return "target-state";
    case AuditKind::OwnerChange:
        return "owner-change";
    case AuditKind::OperatorCall:
        return "operator-call";
    case AuditKind::NodeState:
        return "node-state";
    }
    return "unknown";
}

} // namespace berylridge
