// Recorded traces: what one decision core was told, one JSON object a line, and what must come of
// it.
#pragma once

#include "berylridge/Router/RouterCore.h"

#include <iosfwd>
#include <json/json.h>
#include <map>
#include <string>
#include <vector>

namespace berylridge {

/// One line of a trace: an event and the core's own times at which it came.
struct TraceEvent
{
    TimePoint at {};
    WallTime wall {};
    Event event;
};

/// Counts of a session, by name: answered, refused-not-run, refused-may-have-run, kept, dispatched.
using OutcomeCounts = std::map<std::string, std::uint64_t>;

struct Trace
{
    CoreOptions options;
    TimePoint start {};
    WallTime startWall {};
    std::vector<TraceEvent> events;
    OutcomeCounts expected; ///< Stated by the trace's last line.
};

/// The trace's first line.
Json::Value headerToJson(const CoreOptions &options, TimePoint now, WallTime wall);
/// One event's line.
Json::Value eventToJson(const Event &event, TimePoint now, WallTime wall);

/// Reads a whole trace; the reason names file and line.
Expected<Trace> readTrace(const std::string &file, std::istream &in);

} // namespace berylridge
