// The life of one request at the node that took it (charts/request-life.json).
#pragma once

#include "berylridge/Chart/StateChart.h"

namespace berylridge {

enum class RequestState : std::uint8_t {
    Arrived,   ///< Read whole.
    Claiming,  ///< Waits for witnesses to admit its idempotency key.
    Queued,    ///< Waits for a slot.
    Sent,      ///< An attempt began; no answer head yet.
    Answering, ///< The answer streams to the caller.
    Answered,  ///< The caller has its whole answer.
    Refused,   ///< Given up; the caller was told, or its connection cut.
    Abandoned, ///< The caller went away.
};

enum class RequestSignal : std::uint8_t {
    ClaimBegun,      ///< It carries a key that must be admitted first.
    Enqueued,        ///< It may wait for a slot.
    Dispatched,      ///< An attempt begins.
    HeadCame,        ///< The answer head came with its own id.
    AnswerEnded,     ///< The answer is whole.
    KeptAnswerFound, ///< An earlier request with its key was answered.
    Retried,         ///< The attempt failed and another one is allowed.
    GivenUp,         ///< It is refused, or its answer cut.
    CallerGone,      ///< The caller closed its connection.
};

using RequestStateMachine = StateMachine<RequestState, RequestSignal>;

/// Loads request-life.json from the directory of charts.
Expected<RequestStateMachine> loadRequestStateMachine(const std::string &chartDirectory);

} // namespace berylridge
