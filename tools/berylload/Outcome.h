// What became of one request, judged from the answer alone.
#pragma once

#include "HttpCall.h"

#include <cstdint>
#include <string>

namespace berylridge {

enum class RequestKind : std::uint8_t { Stream, Lookup, Purchase };

enum class Outcome : std::uint8_t {
    Served,         ///< Complete, and the request's own.
    WrongBody,      ///< Looked whole but is not the request's answer: never allowed.
    Incomplete,     ///< Visibly cut short.
    NotRun,         ///< Refused with the verdict not-run.
    MayHaveRun,     ///< Refused with the verdict may-have-run.
    TargetError,    ///< The target itself answered with an error.
    MissingVerdict, ///< An error that carries no verdict: never allowed from a router.
    NoResponse,     ///< The connection broke or timed out before an answer.
    ConnectFailed,  ///< Nothing was sent.
};
inline constexpr std::size_t outcomeCount = 9;

const char *outcomeName(Outcome outcome);

/// Judges an answer against the one that the request must get.
Outcome classifyResponse(const CallResult &result, const std::string &expectedBody, bool isDirect);

} // namespace berylridge
