// One line in the log for each request that ended; with its steps where something went wrong.
//
// Load it answers: a flood of a thousand requests a second at one node, each refused. Building a
// line takes some 10 us of the control thread, which the refusals need; beyond a budget they are
// counted.
#pragma once

#include "BalancedRequest.h"
#include "BalancerContext.h"

#include "berylridge/Support/LogBudget.h"

#include <cstdint>

namespace berylridge {

class RequestLog
{
public:
    explicit RequestLog(BalancerContext &context);

    void answered(const BalancedRequest &request, unsigned status);
    void refused(const BalancedRequest &request, const Refusal &refusal);
    void callerGone(const BalancedRequest &request);
    /// Refused before anything was worked out for it.
    void refusedEarly(const RequestArrived &event, const Refusal &refusal);

    /// Tells now and then how many had no line.
    void tick();

private:
    bool consumeLineBudget();
    void logEnded(const BalancedRequest &request, LogEventId id, const char *outcome,
                  Json::Value fields, bool includesSteps);

    BalancerContext &m_context;
    LogBudget m_lineBudget;
    LogBudget m_detailBudget;
    std::uint64_t m_answered = 0;
    std::uint64_t m_unlogged = 0; ///< Since it was last told.
    TimePoint m_lastLoggedAt {};
};

} // namespace berylridge
