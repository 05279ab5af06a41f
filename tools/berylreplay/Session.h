// Replays a trace on a decision core and writes down what it decided.
#pragma once

#include "Trace.h"

#include <iosfwd>

namespace berylridge {

/// Feeds the trace to a new core, its timers included, and prints a line for each decision on a
/// request, state or document. With isVerbose also messages, polls and probes. Fails when a chart
/// is wrong.
Expected<OutcomeCounts> replayTrace(const Trace &trace, const std::string &chartDirectory,
                                    bool isVerbose, std::ostream &out);

} // namespace berylridge
