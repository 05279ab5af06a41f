// Logs one line for each completed request, including its steps if something went wrong.
//
// Protects the control thread against a flood, for example of a thousand refused requests a second
// at one node. Building a line takes about 10 us of the control thread, which also has to send the
// refusals. Requests beyond the line budget are only counted.
#pragma once

#include "BalancedRequest.h"
#include "BalancerContext.h"

#include "berylridge/Support/LogRateLimiter.h"

#include <cstdint>

namespace berylridge {

class RequestLog
{
public:
    explicit RequestLog(BalancerContext &context);

    void answered(const BalancedRequest &request, const AttemptDone &event);
    void refused(const BalancedRequest &request, const Refusal &refusal);
    void callerGone(const BalancedRequest &request);
    /// Logs that a target's connection broke while it ran the request.
    void interrupted(const BalancedRequest &request, const char *failure);
    /// Logs a request that was refused before its route and service were resolved.
    /// Logs that the connection of the request's caller was closed before the response was
    /// complete.
    void cut(const ResponseCut &event);
    void refusedEarly(const RequestArrived &event, const Refusal &refusal);

    /// Periodically logs the number of requests without a line.
    void tick();

private:
    bool consumeLineBudget();
    void logEnded(const BalancedRequest &request, LogEventId id, const char *outcome,
                  Json::Value fields, bool includesSteps);

    BalancerContext &m_context;
    LogRateLimiter m_lineBudget;
    LogRateLimiter m_detailBudget;
    LogRateLimiter m_interruptionBudget;
    std::uint64_t m_answered = 0;
    std::uint64_t m_unlogged = 0; ///< Requests without a line since the last report.
    TimePoint m_lastLoggedAt {};
};

} // namespace berylridge
