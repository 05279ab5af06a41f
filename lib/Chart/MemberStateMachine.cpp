// Maps the names in charts/member-life.json to the enums, by order.
#include "berylridge/Chart/MemberStateMachine.h"

#include <array>

namespace berylridge {

namespace {

constexpr auto stateNames
    = std::to_array<std::string_view>({"unknown", "joining", "live", "suspect", "gone", "leaving"});
constexpr auto signalNames
    = std::to_array<std::string_view>({"heardJoining", "heardReady", "heardLeaving", "goodbye",
                                       "silence", "probeRefused", "newIncarnation", "unlisted"});

} // namespace

Expected<MemberStateMachine> loadMemberStateMachine(const std::string &chartDirectory)
{
    return MemberStateMachine::load(chartDirectory + "/member-life.json", stateNames, signalNames);
}

} // namespace berylridge
