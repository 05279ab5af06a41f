// The life of callers' requests on this node: admission, waiting, attempts, retries and the one
// final answer.
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
    /// The two need each other; called once, before the first event.
    void setPoolManager(PoolManager &pools) { m_pools = &pools; }

    void onArrived(const RequestArrived &event, bool isJoining);
    void onKeyIssueRequested(const KeyIssueRequested &event);
    void onCallerGone(const CallerGone &event);
    void onHead(const AttemptHead &event);
    void onDone(const AttemptDone &event);
    void onFailed(const AttemptFailed &event);
    void onReport(const TargetLoadReport &report);
    void onPollFailed(const TargetPollFailed &failure);
    void onCrashReport(const CrashReport &news);
    void onDocuments();

    void onKeyMessage(const NodeId &from, Incarnation incarnation, const KeyMessage &message);
    void onMembers();
    void onVmList(const VmList &list);

    /// Whether a key that a caller makes now could be admitted.
    bool acceptsNewKeys() const { return m_keys.acceptsNewKeys(m_context.wall); }

    /// Refuses what has waited too long and tries again what was put off.
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
    /// What this node keeps of a service beside its document.
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
    /// An attempt that broke while it ran: a poll of the target tells whether its boot has ended.
    struct CrashCheck
    {
        std::uint64_t fingerprint = 0;
        std::string bootId;
        RequestHandle handle = 0; ///< The request to go on with; 0 when it was refused.
        AttemptNumber attempt = 0;
        std::uint64_t poll = 0; ///< That asks the target.
        TimePoint until;        ///< Without a word of the target by then, it counts as crashed.
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
    /// Word of a crash that is still to be repeated.
    struct CrashBroadcast
    {
        CrashReport news;
        TimePoint at;
        int left = 0;
    };
    std::deque<CrashBroadcast> m_crashBroadcasts;
    std::map<NodeId, Incarnation> m_crashesSentTo;
    std::map<ServiceId, Service> m_services;
    std::unordered_map<RequestHandle, Request> m_requests;
    std::set<std::pair<TimePoint, RequestHandle>> m_queueDeadlines; ///< Of requests that wait.
    std::multimap<TargetId, CrashCheck> m_crashChecks;
    std::uint64_t m_lastPollNumber = 0; ///< Made for crash checks; each has the next number.
    std::map<TargetId, std::string> m_knownBoots; ///< Last boot that this node saw of a target.
    std::map<FlowId, Usage> m_usage;
    std::deque<std::pair<std::string, std::vector<TraceStep>>> m_endedTraces; ///< For explain().
    TimePoint m_lastArrival {};
};

} // namespace berylridge
