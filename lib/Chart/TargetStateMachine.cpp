// Maps the names in charts/target-life.json to the enums, by order.
#include "berylridge/Chart/TargetStateMachine.h"

#include <array>

namespace berylridge {

namespace {

constexpr auto stateNames = std::to_array<std::string_view>(
    {"unknown", "cold", "warming", "warm", "suspect", "leaving", "gone"});
constexpr auto signalNames = std::to_array<std::string_view>(
    {"newBoot", "refusedConnection", "crash", "firstAnswer", "rampDone", "silence", "timeout",
     "heard", "leaveOrdered", "returnOrdered", "removed"});

} // namespace

Expected<TargetStateMachine> loadTargetStateMachine(const std::string &chartDirectory)
{
    return TargetStateMachine::load(chartDirectory + "/target-life.json", stateNames, signalNames);
}

} // namespace berylridge
