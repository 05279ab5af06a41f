#include "RequestTrace.h"

#include <cmath>
#include <utility>

namespace berylridge {

namespace {

/// Rounds to whole numbers, which are precise enough for milliseconds and tokens and half as long
/// in the log.
Json::Value rounded(double value)
{
    return Json::Int64(std::llround(value));
}

void describeSilence(const auto &step, Json::Value &out)
{
    out["silentMs"] = toMilliseconds(step.silentFor);
    if (step.targetSilentFor)
        out["targetSilentMs"] = toMilliseconds(*step.targetSilentFor);
}

void describe(const OriginStep &step, Json::Value &out)
{
    out["step"] = "stream origin";
    out["basis"] = step.basis ? std::string(originBasisName(*step.basis)) : "unknown";
    if (!step.answeredBy.isEmpty())
        out["answeredBy"] = step.answeredBy.str();
    out["asked"] = Json::UInt64(step.asked);
    out["answers"] = Json::UInt64(step.answers);
    out["directory"] = Json::UInt64(step.revision);
    if (step.platformAnswerAge)
        out["platformAnsweredMs"] = toMilliseconds(*step.platformAnswerAge);
}

void describe(const PlacementStep &step, Json::Value &out)
{
    const TargetChoice &choice = step.choice;
    out["step"] = step.isAccepted ? "placed" : "turned away";
    out["target"] = choice.target.str();
    out["version"] = choice.softwareVersion;
    out["candidates"] = Json::UInt64(choice.candidates);
    out["waitMs"] = rounded(choice.waitMs);
    out["readMs"] = rounded(choice.readMs);
    out["readTokens"] = choice.tokens;
    out["aheadTokens"] = Json::UInt64(choice.aheadTokens);
    out["running"] = choice.running;
    out["targetHeardMs"] = toMilliseconds(choice.recordAge);
    if (choice.usableFor)
        out["removedUsableMs"] = toMilliseconds(*choice.usableFor);
    if (step.allowedMs <= 0)
        return;
    out["allowedMs"] = rounded(step.allowedMs);
    out["withinShare"] = step.isWithinShare;
    if (!step.shareStatus.isLimited)
        return;
    out["shareDemand"] = rounded(step.shareStatus.demand);
    out["shareAllowed"] = rounded(step.shareStatus.allowed);
    out["shareCredit"] = rounded(step.shareStatus.credit);
    out["fleetDemand"] = rounded(step.shareStatus.fleetDemand);
    out["fleetAdmitted"] = rounded(step.shareStatus.fleetAdmitted);
}

void describe(const NoTargetStep & /*step*/, Json::Value &out)
{
    out["step"] = "no target";
}

void describe(const ResponseStartedStep &step, Json::Value &out)
{
    out["step"] = "answer begun";
    out["status"] = step.status;
}

void describe(const AttemptFailedStep &step, Json::Value &out)
{
    out["step"] = "attempt failed";
    out["target"] = step.target.str();
    out["failure"] = step.failure;
    if (step.status > 0)
        out["status"] = step.status;
    out["sent"] = step.isSent;
    describeSilence(step, out);
}

void describe(const TargetSilentStep &step, Json::Value &out)
{
    out["step"] = "target silent";
    out["target"] = step.target.str();
    describeSilence(step, out);
}

} // namespace

void RequestTrace::add(Duration at, RequestTraceStep step)
{
    if (m_entries.size() < maxSteps)
        m_entries.push_back({at, std::move(step)});
}

Json::Value RequestTrace::details() const
{
    Json::Value list(Json::arrayValue);
    for (const Entry &entry : m_entries) {
        Json::Value one;
        one["atMs"] = toMilliseconds(entry.at);
        std::visit([&](const auto &step) { describe(step, one); }, entry.step);
        list.append(std::move(one));
    }
    return list;
}

} // namespace berylridge
