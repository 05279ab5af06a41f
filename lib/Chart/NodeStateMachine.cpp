// Maps the names in charts/node-life.json to the enums, by order.
#include "berylridge/Chart/NodeStateMachine.h"

#include <array>

namespace berylridge {

namespace {

constexpr auto stateNames
    = std::to_array<std::string_view>({"joining", "ready", "leaving", "stopped"});
constexpr auto signalNames = std::to_array<std::string_view>(
    {"documentsKnown", "leaveOrdered", "returnOrdered", "emptied", "limitReached"});

} // namespace

Expected<NodeStateMachine> loadNodeStateMachine(const std::string &chartDirectory)
{
    return NodeStateMachine::load(chartDirectory + "/node-life.json", stateNames, signalNames);
}

} // namespace berylridge
