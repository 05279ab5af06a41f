// Builds the responses that the router itself sends: problem details (RFC 9457) with a verdict.
#pragma once

#include "Asio.h"

#include "berylridge/Router/Actions.h"
#include "berylridge/Support/Time.h"
#include "berylridge/Support/Verdict.h"

#include <optional>
#include <string>
#include <string_view>

namespace berylridge {

struct Problem
{
    unsigned status = 503;
    std::string type; ///< Last segment of the problem type URI.
    std::string title;
    Verdict verdict = Verdict::NotRun;
    std::optional<Duration> retryAfter;
};

/// Converts a rejection by the core to a problem.
Problem problemOf(const Refuse &refuse);

/// Returns the complete response with its Content-Length.
StringResponse problemResponse(const Problem &problem, std::string_view requestId);

} // namespace berylridge
