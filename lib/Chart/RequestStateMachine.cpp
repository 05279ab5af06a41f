// Maps the names in charts/request-life.json to the enums, by order.
#include "berylridge/Chart/RequestStateMachine.h"

#include <array>

namespace berylridge {

namespace {

constexpr auto stateNames = std::to_array<std::string_view>(
    {"arrived", "claiming", "queued", "sent", "answering", "answered", "refused", "abandoned"});
constexpr auto signalNames = std::to_array<std::string_view>(
    {"claimBegun", "enqueued", "dispatched", "headCame", "answerEnded", "keptAnswerFound",
     "retried", "givenUp", "callerGone"});

} // namespace

Expected<RequestStateMachine> loadRequestStateMachine(const std::string &chartDirectory)
{
    return RequestStateMachine::load(chartDirectory + "/request-life.json", stateNames,
                                     signalNames);
}

} // namespace berylridge
