// Replays a trace on a decision core and prints the core's decisions.
#pragma once

#include "Trace.h"

#include <iosfwd>

namespace berylridge {

/// Replays the events of the trace and the timers that expire between them on a new core, and
/// prints a line for each decision on a request, state or document. With isVerbose, also prints
/// messages, polls and probes. Fails if a state chart file is not valid.
Expected<OutcomeCounts> replayTrace(const Trace &trace, const std::string &chartDirectory,
                                    bool isVerbose, std::ostream &out);

} // namespace berylridge
