// Recorded traces: the events that one decision core received, one JSON object per line, and the
// expected counts of its decisions.
#pragma once

#include "berylridge/Router/RouterCore.h"

#include <iosfwd>
#include <json/json.h>
#include <map>
#include <string>
#include <vector>

namespace berylridge {

/// One line of a trace: an event and the times of the core's clocks when it arrived.
struct TraceEvent
{
    TimePoint at {};
    WallTime wall {};
    Event event;
};

/// Counts of a session by name: answered (attempts done), refused-not-run, refused-may-have-run,
/// kept (stored responses sent), passed (held responses relayed), dispatched.
using OutcomeCounts = std::map<std::string, std::uint64_t>;

struct Trace
{
    CoreOptions options;
    TimePoint start {};
    WallTime startWall {};
    std::vector<TraceEvent> events;
    OutcomeCounts expected; ///< From the last line of the trace.
};

/// Returns the first line of a trace.
Json::Value headerToJson(const CoreOptions &options, TimePoint now, WallTime wall);
/// Returns the line of one event.
Json::Value eventToJson(const Event &event, TimePoint now, WallTime wall);

/// Reads a complete trace. The reason of a failure names the file and the line.
Expected<Trace> readTrace(const std::string &file, std::istream &in);

} // namespace berylridge
