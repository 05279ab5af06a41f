// Manages callers' requests on this node: admission, queueing, attempts, retries and the single
// final response.
#pragma once

#include "CoreContext.h"
#include "PoolManager.h"
#include "Request.h"

#include "berylridge/Idempotency/KeyRegistry.h"
#include "berylridge/Policy/CrashRecord.h"
#include "berylridge/Policy/RetryBudget.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylridge {

class RequestManager : public LeaseConsumer
{
public:
    explicit RequestManager(CoreContext &context);
    /// Sets the pool manager, which itself depends on this object. Called once before the first
    /// event.
    void setPoolManager(PoolManager &pools) { m_pools = &pools; }

    void onArrived(const RequestArrived &event, bool isJoining);
    void onKeyIssueRequested(const KeyIssueRequested &event);
    void onCallerGone(const CallerGone &event);
    void onHead(const AttemptHead &event);
    void onDone(const AttemptDone &event);
    void onFailed(const AttemptFailed &event);
    void onLoadReport(const TargetLoadReport &report);
    void onPollFailed(const TargetPollFailed &failure);
    void onCrashReport(const CrashReport &crashReport);
    void onDocuments();

    void onKeyMessage(const NodeId &from, Incarnation incarnation, const KeyMessage &message);
    void onMembers();
    void onVmList(const VmList &list);

    /// Returns whether a key that a caller generates now could be admitted.
    bool acceptsNewKeys() const { return m_keys.acceptsNewKeys(m_context.wall); }

    /// Refuses requests that have not been sent to a target, at the end of a planned stop.
    void refuseWaiting();
    /// Aborts and refuses requests whose targets have not begun to answer, because the process
    /// ends.
    void abortUnanswered();

    /// Refuses requests whose queue timeout has passed and completes crash checks that are due.
    void tick();
    TimePoint nextTimer() const;

    // LeaseConsumer
    bool tryDispatch(const LeaseRef &ref, FlowId flow, const TargetSpec &target,
                     const ServiceDocument &document, TimePoint notAfter) override;
    ServiceQueue *queue(const ServiceId &service) override;

    std::size_t size() const { return m_requests.size(); }
    TimePoint lastArrival() const { return m_lastArrival; }
    std::vector<std::string> explain(const std::string &requestId) const;
    void fillStatus(NodeStatus &status) const;

private:
    /// Holds this node's state of a service beside its document.
    struct Service
    {
        std::shared_ptr<const ServiceDocument> document;
        std::unordered_map<std::string, const WorkspaceShare *> byCredential;
        ServiceQueue queue;
        RetryBudget budget;
    };
    struct Usage
    {
        Duration charged {0};
        std::uint32_t running = 0;
    };
    /// Tracks an attempt whose connection broke. A poll of the target shows whether its boot has
    /// ended.
    struct CrashCheck
    {
        std::uint64_t fingerprint = 0;
        std::string bootId;
        RequestHandle handle = 0; ///< Request to retry afterwards; 0 if it was refused.
        AttemptNumber attempt = 0;
        std::uint64_t poll = 0; ///< Number of the poll that checks the target.
        TimePoint until;        ///< Without a response by then, the target counts as crashed.
    };
    struct Refusal
    {
        unsigned status;
        const char *type;
        std::string title;
        std::optional<Duration> retryAfter;
    };

    Request *find(RequestHandle handle, AttemptNumber attempt);
    void admit(Request &request, Service &service);
    bool mayOutlastStop(const Request &request, const Service &service) const;
    void enqueue(Request &request);
    void refuse(Request &request, Refusal refusal);
    void refuseEarly(const RequestArrived &event, Refusal refusal);
    void finish(RequestHandle handle);
    void step(Request &request, RequestSignal signal);
    void addTrace(Request &request, const char *what, std::string detail = {});
    void removeFromQueue(Request &request);
    void endAttempt(Request &request, bool isCompleted);
    void afterFailure(Request &request, const AttemptFailed &event);
    bool mayRetry(const Request &request, const AttemptFailed &event);
    void retry(Request &request);
    void startCrashCheck(Request &request, bool isRetried);
    void resolveCrashChecks(const TargetId &target, std::uint64_t poll, const std::string &bootId);
    void resendCrashReports();
    void refuseCrashingRequests(std::uint64_t fingerprint);
    static Refusal leavingRefusal();
    Refusal crashingRefusal(unsigned status, std::uint64_t fingerprint) const;
    void recordCrash(const CrashCheck &check, const TargetId &target);
    void finishCrashCheck(const CrashCheck &check);
    void recordBoot(Request &request, const std::string &bootId);
    void applyKeyOutput(KeyOutput output);
    void sendKnownCrashes();
    Duration retryAfterFor(const Service &service, FlowId flow) const;

    CoreContext &m_context;
    PoolManager *m_pools = nullptr;
    KeyRegistry m_keys;
    CrashRecord m_crashes;
    /// Holds a crash report that must be sent to all nodes again.
    struct CrashBroadcast
    {
        CrashReport crashReport;
        TimePoint at; ///< Time of the next copy.
        int remainingCopies = 0;
    };
    std::deque<CrashBroadcast> m_crashBroadcasts;
    std::map<NodeId, Incarnation> m_crashesSentTo;
    std::map<ServiceId, Service> m_services;
    std::unordered_map<RequestHandle, Request> m_requests;
    std::set<std::pair<TimePoint, RequestHandle>>
        m_queueDeadlines; ///< Deadlines of waiting requests.
    std::multimap<TargetId, CrashCheck> m_crashChecks;
    std::uint64_t m_lastPollNumber = 0;           ///< Number of the last poll for a crash check.
    std::map<TargetId, std::string> m_knownBoots; ///< Last boot id seen per target.
    std::map<FlowId, Usage> m_usage;
    std::deque<std::pair<std::string, std::vector<TraceStep>>>
        m_endedTraces; ///< Traces of ended requests for explain().
    TimePoint m_lastArrival {};
};

} // namespace berylridge
