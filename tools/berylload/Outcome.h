// Classifies the outcome of a request by its response alone.
#pragma once

#include "HttpCall.h"

#include <cstdint>
#include <string>

namespace berylridge {

enum class RequestKind : std::uint8_t { Stream, Lookup, Purchase };

enum class Outcome : std::uint8_t {
    Served,         ///< A complete response with the expected body.
    WrongBody,      ///< A complete response with another body: always a violation.
    Incomplete,     ///< The client can tell that the response is truncated.
    NotRun,         ///< An error with the verdict not-run.
    MayHaveRun,     ///< An error with the verdict may-have-run.
    TargetError,    ///< The target itself responded with an error.
    MissingVerdict, ///< An error without a verdict: a violation by a router.
    NoResponse,     ///< The connection broke or timed out before a response.
    ConnectFailed,  ///< Nothing was sent.
};
inline constexpr std::size_t outcomeCount = 9;

const char *outcomeName(Outcome outcome);

/// Compares a response with the body that the request must get. With isDirect, the response comes
/// from a target, whose errors carry no verdict.
Outcome classifyResponse(const CallResult &result, const std::string &expectedBody, bool isDirect);

} // namespace berylridge
