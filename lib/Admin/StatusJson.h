// Converts the results of the administration API to JSON. Names in JSON are those of the struct
// members.
#pragma once

#include "berylridge/Admin/AuditTrail.h"
#include "berylridge/Config/Documents.h"
#include "berylridge/Router/Status.h"

#include <json/value.h>

namespace berylridge {

Json::Value statusValue(const NodeStatus &status);
Json::Value auditValue(const AuditPage &page);
Json::Value documentVersionValue(const DocumentVersionEntry &documentVersion);
Json::Value eventsValue();

} // namespace berylridge
