// Answers that the router gives itself: problem details (RFC 9457) with the verdict.
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
    std::string type; ///< Last part of the problem type URI.
    std::string title;
    Verdict verdict = Verdict::NotRun;
    std::optional<Duration> retryAfter;
};

/// The problem that a refusal of the core stands for.
Problem problemOf(const Refuse &refuse);

/// The whole answer; its Content-Length is set.
StringResponse problemResponse(const Problem &problem, std::string_view requestId);

} // namespace berylridge
