#include "Outcome.h"

#include "AnswerText.h"

namespace berylridge {

namespace {

Outcome classifyErrorResponse(const CallResult &result, bool isDirect)
{
    const auto verdict = result.header("Berylridge-Verdict");
    if (verdict == "not-run")
        return Outcome::NotRun;
    if (verdict == "may-have-run")
        return Outcome::MayHaveRun;
    return isDirect || verdict == "ran" ? Outcome::TargetError : Outcome::MissingVerdict;
}

} // namespace

const char *outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Served:
        return "served";
    case Outcome::WrongBody:
        return "wrong";
    case Outcome::Incomplete:
        return "incomplete";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::MayHaveRun:
        return "may-have-run";
    case Outcome::TargetError:
        return "target-error";
    case Outcome::MissingVerdict:
        return "bad-refusal";
    case Outcome::NoResponse:
        return "no-answer";
    case Outcome::ConnectFailed:
        return "connect-failed";
    }
    return "unknown";
}

Outcome classifyResponse(const CallResult &result, const std::string &expectedBody, bool isDirect)
{
    if (result.end == CallEnd::ConnectFailed)
        return Outcome::ConnectFailed;
    if (result.status == 0)
        return Outcome::NoResponse;
    if (result.end != CallEnd::Complete)
        return Outcome::Incomplete;
    if (result.status >= 400)
        return classifyErrorResponse(result, isDirect);
    return result.body == expectedBody ? Outcome::Served : Outcome::WrongBody;
}

} // namespace berylridge
