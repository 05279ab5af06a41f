// Formats a log record as one JSON object on one line.
#pragma once

#include "berylridge/Support/LogEvent.h"
#include "berylridge/Support/Time.h"

#include <string>

namespace berylridge {

/// Returns the record as one line of JSON without a line end: `time` (UTC), `level`, `event` (its
/// number) and `name`, then `request`, `detail` and the record's fields if present.
std::string formatLogLine(const LogRecord &record, WallTime time);

} // namespace berylridge
