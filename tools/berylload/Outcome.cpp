#include "Outcome.h"

#include "AnswerText.h"

namespace berylridge {

namespace {

Outcome judgeRefusal(const CallResult &result, bool isDirect)
{
    const auto verdict = result.header("Berylridge-Verdict");
    if (verdict == "not-run")
        return Outcome::NotRun;
    if (verdict == "may-have-run")
        return Outcome::MayHaveRun;
    return isDirect || verdict == "ran" ? Outcome::TargetError : Outcome::BadRefusal;
}

} // namespace

const char *outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Served:
        return "served";
    case Outcome::Wrong:
        return "wrong";
    case Outcome::Incomplete:
        return "incomplete";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::MayHaveRun:
        return "may-have-run";
    case Outcome::TargetError:
        return "target-error";
    case Outcome::BadRefusal:
        return "bad-refusal";
    case Outcome::NoAnswer:
        return "no-answer";
    case Outcome::ConnectFailed:
        return "connect-failed";
    }
    return "unknown";
}

Outcome judge(const CallResult &result, const std::string &wanted, bool isDirect)
{
    if (result.end == CallEnd::ConnectFailed)
        return Outcome::ConnectFailed;
    if (result.status == 0)
        return Outcome::NoAnswer;
    if (result.end != CallEnd::Whole)
        return Outcome::Incomplete;
    if (result.status >= 400)
        return judgeRefusal(result, isDirect);
    return result.body == wanted ? Outcome::Served : Outcome::Wrong;
}

} // namespace berylridge
