// How a log record is written: one JSON object a line.
#pragma once

#include "berylridge/Support/LogEvent.h"
#include "berylridge/Support/Time.h"

#include <string>

namespace berylridge {

/// The record as one line of JSON without its end: `time` (UTC), `level`, `event` (its number) and
/// `name`, then `request`, `detail` and the record's fields where it has them.
std::string formatLogLine(const LogRecord &record, WallTime time);

} // namespace berylridge
