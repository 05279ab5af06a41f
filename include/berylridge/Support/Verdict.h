// Verdicts: whether a target may have executed a request. Every response that reports a rejection
// or failure contains one.
#pragma once

#include <cstdint>
#include <string_view>

namespace berylridge {

enum class Verdict : std::uint8_t {
    NotRun,     ///< No byte of the request has reached a target; it is safe to retry.
    MayHaveRun, ///< Bytes were sent to a target, which may or may not have executed the request.
    Ran,        ///< A target responded to the request.
};

/// Returns the name of the verdict in responses to callers and in logs.
constexpr std::string_view verdictName(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Ran:
        return "ran";
    }
    return "may-have-run";
}

/// Returns the worse verdict of two. A request's verdict never improves: once it may have run, it
/// cannot become "not run" again.
constexpr Verdict worse(Verdict a, Verdict b)
{
    return a < b ? b : a;
}

} // namespace berylridge
