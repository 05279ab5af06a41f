// Binds charts/target-life.json to its enums.
#include "berylridge/Chart/TargetLife.h"

#include <array>

namespace berylridge {

namespace {

constexpr auto stateNames = std::to_array<std::string_view>(
    {"unknown", "cold", "warming", "warm", "suspect", "leaving", "gone"});
constexpr auto signNames = std::to_array<std::string_view>(
    {"newBoot", "refusedConnection", "crash", "firstAnswer", "rampDone", "silence", "timeout",
     "heard", "leaveOrdered", "returnOrdered", "removed"});

} // namespace

Expected<TargetLife> loadTargetLife(const std::string &chartDirectory)
{
    return TargetLife::load(chartDirectory + "/target-life.json", stateNames, signNames);
}

} // namespace berylridge
