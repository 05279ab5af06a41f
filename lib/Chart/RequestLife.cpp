// Binds charts/request-life.json to its enums.
#include "berylridge/Chart/RequestLife.h"

#include <array>

namespace berylridge {

namespace {

constexpr auto stateNames = std::to_array<std::string_view>(
    {"arrived", "claiming", "queued", "sent", "answering", "answered", "refused", "abandoned"});
constexpr auto signNames = std::to_array<std::string_view>(
    {"claimBegun", "enqueued", "dispatched", "headCame", "answerEnded", "keptAnswerFound",
     "retried", "givenUp", "callerGone"});

} // namespace

Expected<RequestLife> loadRequestLife(const std::string &chartDirectory)
{
    return RequestLife::load(chartDirectory + "/request-life.json", stateNames, signNames);
}

} // namespace berylridge
