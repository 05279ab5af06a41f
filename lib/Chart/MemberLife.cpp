// Binds charts/member-life.json to its enums.
#include "berylridge/Chart/MemberLife.h"

#include <array>

namespace berylridge {

namespace {

constexpr auto stateNames
    = std::to_array<std::string_view>({"unknown", "joining", "live", "suspect", "gone", "leaving"});
constexpr auto signNames
    = std::to_array<std::string_view>({"heardJoining", "heardReady", "heardLeaving", "goodbye",
                                       "silence", "probeRefused", "newIncarnation", "unlisted"});

} // namespace

Expected<MemberLife> loadMemberLife(const std::string &chartDirectory)
{
    return MemberLife::load(chartDirectory + "/member-life.json", stateNames, signNames);
}

} // namespace berylridge
