// Declares the state machine of one request at the node that accepted it
// (charts/request-life.json).
#pragma once

#include "berylridge/Chart/StateChart.h"

namespace berylridge {

enum class RequestState : std::uint8_t {
    Arrived,   ///< Read completely.
    Claiming,  ///< Waits for witnesses to admit its idempotency key.
    Queued,    ///< Waits for a slot.
    Sent,      ///< An attempt is running; no response head arrived yet.
    Answering, ///< The response is streamed to the caller.
    Answered,  ///< The caller received the complete response.
    Refused,   ///< Rejected with an error response, or the connection was closed.
    Abandoned, ///< The caller disconnected.
};

enum class RequestSignal : std::uint8_t {
    ClaimBegun,      ///< The request has an idempotency key that must be admitted first.
    Enqueued,        ///< The request was put into the queue for a slot.
    Dispatched,      ///< An attempt was started.
    HeadCame,        ///< The response head arrived with the matching request id.
    AnswerEnded,     ///< The response is complete.
    KeptAnswerFound, ///< An earlier request with the same key has a stored response.
    Retried,         ///< The attempt failed and another one is allowed.
    GivenUp,         ///< The request is refused, or its response is cut off.
    CallerGone,      ///< The caller closed its connection.
};

using RequestStateMachine = StateMachine<RequestState, RequestSignal>;

/// Loads request-life.json from the chart directory.
Expected<RequestStateMachine> loadRequestStateMachine(const std::string &chartDirectory);

} // namespace berylridge
