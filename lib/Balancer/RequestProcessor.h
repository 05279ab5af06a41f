// Processes callers' requests: routing, admission, attempts, retries and the single final response.
#pragma once

#include "BalancedRequest.h"
#include "BalancerContext.h"
#include "CrashDetector.h"
#include "OverloadLog.h"
#include "RequestLog.h"
#include "StreamOriginExchange.h"
#include "TargetSelector.h"
#include "WorkspaceTally.h"

#include "berylridge/Support/Random.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylridge {

class RequestProcessor
{
public:
    RequestProcessor(BalancerContext &context, TargetSelector &targetSelector,
                     StreamOriginExchange &streamOrigins);

    void onArrived(const RequestArrived &event);
    /// Records how late a traffic thread is.
    void onLag(const TrafficThreadReport &event);
    void onCallerGone(const CallerGone &event);
    void onHead(const AttemptHead &event);
    /// Binds the rest of the stream to the software version that began it.
    void onFirstEvent(const FirstEventRelayed &event);
    void onDone(const AttemptDone &event);
    void onFailed(const AttemptFailed &event);
    /// Sends the request to another target if one may and can take it; otherwise lets the attempt
    /// go on, because a sound target may be silent for a while.
    void onSilent(const AttemptSilent &event);
    void onResponseCut(const ResponseCut &event) { m_log.cut(event); }
    CrashDetector &crashDetector() { return m_crashDetector; }
    /// Aborts the requests that wait at targets and have a part that was just quarantined.
    void abortQuarantined();

    /// Continues the requests whose lookups of their streams' origins have ended.
    void handleStreamOrigins();

    /// Does the periodic work: updates shares and logs, and removes expired entries.
    void tick();
    /// Rejects all requests that arrive at `time` or later, because a planned stop could not wait
    /// for their responses.
    void rejectNewRequestsFrom(TimePoint time) { m_rejectNewRequestsFrom = time; }
    /// Aborts all requests when a planned stop reaches its time limit.
    void abortAll();

    WorkspaceShares &shares() { return m_shares; }
    const WorkspaceShares &shares() const { return m_shares; }
    /// As WorkspaceShares::getsMostOfItsShare, of the credential's workspace.
    bool getsMostOfItsShare(CredentialKey credential) const;
    std::size_t size() const { return m_requests.size(); }
    TimePoint lastArrival() const { return m_lastArrival; }

private:
    std::optional<Refusal> resolveRequest(BalancedRequest &request, const RequestArrived &event);
    Refusal unknownRefusal(Refusal refusal) const;
    void admit(BalancedRequest &request);
    void takeUpStream(BalancedRequest &request);
    void addOriginStep(BalancedRequest &request, const StreamOriginExchange::Result &result) const;
    void continueStream(BalancedRequest &request, const StreamOrigin &origin);
    void bindToVersion(BalancedRequest &request);
    void recordStreamOrigin(BalancedRequest &request);
    std::optional<Refusal> placeRequest(BalancedRequest &request, bool isFirst);
    std::optional<Refusal> checkAdmission(BalancedRequest &request, const TargetChoice &choice,
                                          PlacementStep &step);
    std::optional<TargetChoice> chooseTarget(const BalancedRequest &request);
    void start(BalancedRequest &request, const TargetChoice &choice);
    Duration firstByteLimit(const BalancedRequest &request) const;
    bool allowsAnotherAttempt(const BalancedRequest &request) const;
    bool mayReplace(const BalancedRequest &request, const AttemptSilent &event) const;
    bool tryReplace(BalancedRequest &request, const AttemptSilent &event);
    void updateTargetHealth(BalancedRequest &request, const AttemptFailed &event);
    bool mayRetry(BalancedRequest &request, const AttemptFailed &event);
    bool takeRetry(const BalancedRequest &request, double fraction = 1);
    void finishFailed(BalancedRequest &request, const AttemptFailed &event);
    BalancedRequest *find(RequestHandle handle, AttemptNumber attempt);
    void step(BalancedRequest &request, RequestSignal signal);
    void endAttempt(BalancedRequest &request);
    void refuse(BalancedRequest &request, const Refusal &refusal);
    void refuseEarly(const RequestArrived &event, const Refusal &refusal);
    void finish(RequestHandle handle);

    BalancerContext &m_context;
    TargetSelector &m_targetSelector;
    StreamOriginExchange &m_streamOrigins;
    RequestLog m_log;
    WorkspaceTally m_tally;
    OverloadLog m_overloadLog;
    WorkspaceShares m_shares;
    CrashDetector m_crashDetector;
    std::map<std::string, FleetRetryBudget> m_retries; ///< Keyed by service.
    std::unordered_map<RequestHandle, BalancedRequest> m_requests;
    RandomEngine m_random;
    TimePoint m_lastArrival {};
    bool m_wasOverloaded = false;
    TimePoint m_rejectNewRequestsFrom = TimePoint::max();
};

} // namespace berylridge
