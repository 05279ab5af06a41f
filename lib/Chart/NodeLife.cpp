// Binds charts/node-life.json to its enums.
#include "berylridge/Chart/NodeLife.h"

#include <array>

namespace berylridge {

namespace {

constexpr auto stateNames
    = std::to_array<std::string_view>({"joining", "ready", "leaving", "stopped"});
constexpr auto signNames = std::to_array<std::string_view>(
    {"documentsKnown", "leaveOrdered", "returnOrdered", "emptied", "limitReached"});

} // namespace

Expected<NodeLife> loadNodeLife(const std::string &chartDirectory)
{
    return NodeLife::load(chartDirectory + "/node-life.json", stateNames, signNames);
}

} // namespace berylridge
