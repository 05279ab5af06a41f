#include "RequestLog.h"

#include <algorithm>
#include <cmath>
#include <span>
#include <utility>

namespace berylridge {

namespace {

/// One in this many requests is logged with its steps even if nothing went wrong.
constexpr std::uint64_t requestsPerSample = 100;
/// Twice the request rate of a node in a fleet of the planned size.
constexpr double maxLinesPerSecond = 200;
/// Limit for the lines that include steps, which count towards maxLinesPerSecond too.
constexpr double maxDetailedLinesPerSecond = 50;
/// All requests of a target are interrupted at once when it ends.
constexpr double maxInterruptionLinesPerSecond = 50;
constexpr std::size_t maxLoggedParts = 64;
/// Callers choose their ids, and a line must not grow with them.
constexpr std::size_t maxLoggedIdBytes = 64;
constexpr Duration logPeriod = std::chrono::seconds(1);

Json::Value refusalFields(const Refusal &refusal)
{
    Json::Value fields;
    fields["status"] = refusal.status;
    fields["type"] = refusal.type;
    if (refusal.retryAfter)
        fields["retryAfterMs"] = toMilliseconds(*refusal.retryAfter);
    return fields;
}

/// Adds what the time to the first event was estimated from.
void addEstimate(const TargetChoice &choice, Json::Value &fields)
{
    fields["expectedMs"] = Json::Int64(std::llround(choice.waitMs + choice.readMs));
    fields["readTokens"] = choice.tokens;
    fields["aheadTokens"] = Json::UInt64(choice.aheadTokens);
    fields["running"] = choice.running;
}

} // namespace

RequestLog::RequestLog(BalancerContext &context)
    : m_context(context)
    , m_lineBudget({.lines = maxLinesPerSecond})
    , m_detailBudget({.lines = maxDetailedLinesPerSecond})
    , m_interruptionBudget({.lines = maxInterruptionLinesPerSecond})
{
}

void RequestLog::answered(const BalancedRequest &request, const AttemptDone &event)
{
    const bool isSample = m_answered++ % requestsPerSample == 0;
    Json::Value fields;
    fields["status"] = event.status;
    if (event.endedWithConnection)
        fields["endedWithConnection"] = true;
    logEnded(request, LogEventId::RequestEnded, "answered", std::move(fields),
             isSample || request.isLate(m_context.now) || request.attempts > 1
                 || request.resumption.has_value());
}

void RequestLog::refused(const BalancedRequest &request, const Refusal &refusal)
{
    logEnded(request, LogEventId::RequestRefused, "refused", refusalFields(refusal), true);
}

void RequestLog::callerGone(const BalancedRequest &request)
{
    logEnded(request, LogEventId::RequestEnded, "caller gone", {}, true);
}

void RequestLog::interrupted(const BalancedRequest &request, const char *failure)
{
    const LogEventId id = LogEventId::RequestInterrupted;
    if (!m_interruptionBudget.tryTake(0, logEventInfo(id).level, m_context.now))
        return;
    Json::Value fields;
    fields["target"] = request.choice.target.str();
    fields["boot"] = hexText(request.choice.boot);
    fields["failure"] = failure;
    fields["sentMs"] = toMilliseconds(m_context.now - request.dispatchedAt);
    if (request.hasResponseStarted)
        fields["begunMs"] = toMilliseconds(m_context.now - request.responseStartedAt);
    fields["fingerprint"] = hexText(request.fingerprint);
    const std::size_t loggedParts = std::min(request.sharedParts.size(), maxLoggedParts);
    for (const std::uint64_t part : std::span(request.sharedParts).first(loggedParts))
        fields["parts"].append(hexText(part));
    if (loggedParts < request.sharedParts.size())
        fields["partCount"] = Json::UInt64(request.sharedParts.size());
    m_context.emit(Log {{id, {}, request.id, std::move(fields)}});
}

void RequestLog::cut(const ResponseCut &event)
{
    if (!consumeLineBudget())
        return;
    Json::Value fields;
    fields["reason"] = event.reason;
    fields["bodyBytes"] = Json::UInt64(event.bodyBytes);
    m_context.emit(Log {{LogEventId::ResponseCut, {}, event.requestId, std::move(fields)}});
}

void RequestLog::refusedEarly(const RequestArrived &event, const Refusal &refusal)
{
    if (!consumeLineBudget())
        return;
    Json::Value fields = refusalFields(refusal);
    fields["outcome"] = "refused";
    fields["verdict"] = std::string(verdictName(Verdict::NotRun));
    fields["catalog"]
        = Json::UInt64(m_context.routeTable ? m_context.routeTable->catalog().version : 0);
    m_context.emit(
        Log {{LogEventId::RequestRefused, refusal.title, event.requestId, std::move(fields)}});
}

void RequestLog::tick()
{
    if (m_unlogged == 0 || m_context.now - m_lastLoggedAt < logPeriod)
        return;
    m_lastLoggedAt = m_context.now;
    Json::Value fields;
    fields["requestsWithoutLine"] = Json::UInt64(std::exchange(m_unlogged, 0));
    m_context.log(LogEventId::LogLinesDropped, "", std::move(fields));
}

bool RequestLog::consumeLineBudget()
{
    const bool hasBudget = m_lineBudget.tryTake(0, LogLevel::Info, m_context.now);
    m_unlogged += hasBudget ? 0 : 1;
    return hasBudget;
}

void RequestLog::logEnded(const BalancedRequest &request, LogEventId id, const char *outcome,
                          Json::Value fields, bool includesSteps)
{
    if (!consumeLineBudget())
        return;
    fields["outcome"] = outcome;
    fields["verdict"] = std::string(verdictName(request.verdict));
    fields["route"] = request.route->name;
    fields["service"] = request.service->name;
    if (!request.workspace.str().empty())
        fields["workspace"] = request.workspace.str();
    if (request.attempts > 0) {
        fields["target"] = request.choice.target.str();
        fields["version"] = request.choice.softwareVersion;
    }
    if (request.resumption)
        fields["resumes"] = request.resumption->firstRequestId.substr(0, maxLoggedIdBytes);
    if (request.isRerun)
        fields["rerun"] = true;
    fields["attempts"] = request.attempts;
    fields["totalMs"] = toMilliseconds(m_context.now - request.arrivedAt);
    if (request.firstResponseDelay) {
        fields["firstMs"] = toMilliseconds(*request.firstResponseDelay);
        if (request.chain)
            addEstimate(request.choice, fields);
    }
    if (request.isLate(m_context.now))
        fields["late"] = true;
    fields["catalog"] = Json::UInt64(request.routeTable->catalog().version);
    if (includesSteps && m_detailBudget.tryTake(0, LogLevel::Info, m_context.now)) {
        fields["directory"] = Json::UInt64(m_context.directory.revision());
        if (const auto report = m_context.directory.platformUptime().report(m_context.now))
            fields["platformAnsweredMs"] = toMilliseconds(report->sinceAnswer);
        fields["nodes"] = Json::UInt64(m_context.peers.liveCount(m_context.now));
        fields["steps"] = request.trace.details();
    }
    m_context.emit(Log {{id, {}, request.id, std::move(fields)}});
}

} // namespace berylridge
