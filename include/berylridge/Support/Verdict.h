// Whether a request may have been executed by a target: what every refusal and failure must say.
#pragma once

#include <cstdint>
#include <string_view>

namespace berylridge {

enum class Verdict : std::uint8_t {
    NotRun,     ///< No target has seen a byte of it; sending it again is safe.
    MayHaveRun, ///< Bytes left for a target; nobody can tell whether it acted on them.
    Ran,        ///< A target answered it.
};

/// The word used in answers to callers and in logs.
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

/// Verdicts only ever grow: what may have run can't become "not run" again.
constexpr Verdict worse(Verdict a, Verdict b)
{
    return a < b ? b : a;
}

} // namespace berylridge
