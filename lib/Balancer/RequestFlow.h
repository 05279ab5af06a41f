// The life of callers' requests in the balancer: route, admission, attempts, retries and the one
// final answer.
#pragma once

#include "BalancerContext.h"
#include "RequestStory.h"
#include "TargetBoard.h"

#include "berylridge/Policy/CrashRecord.h"
#include "berylridge/Policy/WorkspaceShares.h"
#include "berylridge/Support/Hash.h"
#include "berylridge/Support/Random.h"
#include "berylridge/Support/Verdict.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylridge {

/// One caller's request, from its arrival to its one final answer.
struct BalancedRequest
{
    RequestHandle handle = 0;
    std::string id;
    std::shared_ptr<const RouteTable> table; ///< Under which it was admitted.
    const RouteSpec *route = nullptr;
    const ServiceSpec *service = nullptr;
    WorkspaceId workspace;
    std::uint64_t fingerprint = 0;
    std::optional<PromptChain> chain;
    TimePoint arrivedAt;
    TimePoint deadline; ///< Its caller's, or its route's time limit if that ends sooner.
    RequestState state = RequestState::Arrived;
    Verdict verdict = Verdict::NotRun;

    AttemptNumber attempts = 0;     ///< Begun, of whatever end.
    std::uint32_t sent = 0;         ///< Attempts of which a byte may have reached a target.
    std::vector<TargetKey> avoided; ///< Targets at which it failed.
    bool isBegun = false;           ///< The caller has part of the answer.

    // Of the attempt that runs.
    bool isRunning = false;
    BoardChoice choice;
    TimePoint dispatchedAt;
    Verdict verdictBefore = Verdict::NotRun;
    bool isRead = false; ///< The target's answer has begun.

    WorkspaceKey workspaceKey() const { return shortHash(workspace.str()); }

    RequestStory story;
    std::optional<Duration> firstAfter; ///< From arrival to the answer's begin.
};

class RequestFlow
{
public:
    RequestFlow(BalancerContext &context, TargetBoard &board);

    void onArrived(const RequestArrived &event);
    void onCallerGone(const CallerGone &event);
    void onHead(const AttemptHead &event);
    void onDone(const AttemptDone &event);
    void onFailed(const AttemptFailed &event);
    /// Another node lost a target while it ran a request with this fingerprint.
    void onRemoteBrokenRun(const BrokenRunEntry &entry);

    /// Periodic work: shares and what is remembered for a while.
    void tick();
    /// From now on new requests are refused: a planned stop could not wait for their answers.
    void close() { m_isClosed = true; }
    /// Ends all requests at the limit of a planned stop.
    void endAll();

    WorkspaceShares &shares() { return m_shares; }
    std::vector<BrokenRunEntry> takeBrokenRuns();
    std::size_t size() const { return m_requests.size(); }
    TimePoint lastArrival() const { return m_lastArrival; }

private:
    struct Refusal
    {
        unsigned status;
        const char *type;
        std::string title;
        std::optional<Duration> retryAfter;
    };

    std::optional<Refusal> admit(BalancedRequest &request, const RequestArrived &event);
    std::optional<Refusal> findPlace(BalancedRequest &request, bool isFirst);
    std::optional<Refusal> roomFor(BalancedRequest &request, const BoardChoice &choice,
                                   PlacedStep &step);
    void start(BalancedRequest &request, const BoardChoice &choice);
    Duration firstByteLimit(const BalancedRequest &request) const;
    bool mayRepeat(const BalancedRequest &request) const;
    void learn(BalancedRequest &request, const AttemptFailed &event);
    bool mayRetry(BalancedRequest &request, const AttemptFailed &event);
    void giveUp(BalancedRequest &request, const AttemptFailed &event);
    void recordBrokenRun(const BalancedRequest &request);
    BalancedRequest *find(RequestHandle handle, AttemptNumber attempt);
    void step(BalancedRequest &request, RequestSign sign);
    void endAttempt(BalancedRequest &request);
    void refuse(BalancedRequest &request, const Refusal &refusal);
    void refuseEarly(const RequestArrived &event, const Refusal &refusal);
    /// One line on a request that ended; with its steps where something went wrong.
    void logEnd(const BalancedRequest &request, LogEventId id, const char *outcome,
                Json::Value fields, bool withSteps);
    bool isLate(const BalancedRequest &request) const;
    static Json::Value refusalFields(const Refusal &refusal);
    void finish(RequestHandle handle);
    Duration spread(Duration base);

    BalancerContext &m_context;
    TargetBoard &m_board;
    WorkspaceShares m_shares;
    CrashRecord m_crashes;
    std::map<std::string, RetryShare> m_retries; ///< By service.
    std::unordered_map<RequestHandle, BalancedRequest> m_requests;
    std::vector<BrokenRunEntry> m_brokenRuns; ///< For the next digest.
    RandomEngine m_random;
    TimePoint m_lastArrival {};
    std::uint64_t m_served = 0; ///< Requests so far.
    bool m_wasFull = false;
    bool m_isClosed = false;
};

} // namespace berylridge
