#include "RequestLog.h"

#include <utility>

namespace berylridge {

namespace {

/// One request in so many has its steps logged though nothing went wrong.
constexpr std::uint64_t sampleEvery = 100;
/// Twice what a node of the size to come has in requests a second.
constexpr double linesPerSecond = 200;
/// Of these, with steps.
constexpr double detailsPerSecond = 50;
constexpr Duration tellPeriod = std::chrono::seconds(1);

Json::Value refusalFields(const Refusal &refusal)
{
    Json::Value fields;
    fields["status"] = refusal.status;
    fields["type"] = refusal.type;
    if (refusal.retryAfter)
        fields["retryAfterMs"] = toMilliseconds(*refusal.retryAfter);
    return fields;
}

} // namespace

RequestLog::RequestLog(BalancerContext &context)
    : m_context(context)
    , m_lines({.lines = linesPerSecond})
    , m_details({.lines = detailsPerSecond})
{
}

void RequestLog::answered(const BalancedRequest &request, unsigned status)
{
    const bool isSample = m_answered++ % sampleEvery == 0;
    Json::Value fields;
    fields["status"] = status;
    end(request, LogEventId::RequestEnded, "answered", std::move(fields),
        isSample || request.isLate(m_context.now) || request.attempts > 1);
}

void RequestLog::refused(const BalancedRequest &request, const Refusal &refusal)
{
    end(request, LogEventId::RequestRefused, "refused", refusalFields(refusal), true);
}

void RequestLog::callerGone(const BalancedRequest &request)
{
    end(request, LogEventId::RequestEnded, "caller gone", {}, true);
}

void RequestLog::refusedAtOnce(const RequestArrived &event, const Refusal &refusal)
{
    if (!takesLine())
        return;
    Json::Value fields = refusalFields(refusal);
    fields["outcome"] = "refused";
    fields["verdict"] = std::string(verdictName(Verdict::NotRun));
    fields["catalog"] = Json::UInt64(m_context.table ? m_context.table->catalog().version : 0);
    m_context.act(
        Log {{LogEventId::RequestRefused, refusal.title, event.requestId, std::move(fields)}});
}

void RequestLog::tick()
{
    if (m_unlogged == 0 || m_context.now - m_toldAt < tellPeriod)
        return;
    m_toldAt = m_context.now;
    Json::Value fields;
    fields["requestsWithoutLine"] = Json::UInt64(std::exchange(m_unlogged, 0));
    m_context.log(LogEventId::LogLinesDropped, "", std::move(fields));
}

bool RequestLog::takesLine()
{
    const bool hasRoom = m_lines.tryTake(0, LogLevel::Info, m_context.now);
    m_unlogged += hasRoom ? 0 : 1;
    return hasRoom;
}

void RequestLog::end(const BalancedRequest &request, LogEventId id, const char *outcome,
                     Json::Value fields, bool wantsSteps)
{
    if (!takesLine())
        return;
    fields["outcome"] = outcome;
    fields["verdict"] = std::string(verdictName(request.verdict));
    fields["route"] = request.route->name;
    fields["service"] = request.service->name;
    if (!request.workspace.str().empty())
        fields["workspace"] = request.workspace.str();
    if (request.attempts > 0)
        fields["target"] = request.choice.target.str();
    fields["attempts"] = request.attempts;
    fields["totalMs"] = toMilliseconds(m_context.now - request.arrivedAt);
    if (request.firstAfter)
        fields["firstMs"] = toMilliseconds(*request.firstAfter);
    if (request.isLate(m_context.now))
        fields["late"] = true;
    fields["catalog"] = Json::UInt64(request.table->catalog().version);
    if (wantsSteps && m_details.tryTake(0, LogLevel::Info, m_context.now)) {
        fields["directory"] = Json::UInt64(m_context.directory.revision());
        fields["nodes"] = Json::UInt64(m_context.peers.live(m_context.now));
        fields["steps"] = request.story.details();
    }
    m_context.act(Log {{id, {}, request.id, std::move(fields)}});
}

} // namespace berylridge
