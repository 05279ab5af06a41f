// Implements attempts of requests at targets: dispatch, completion, failure and retries.
#include "RequestManager.h"

namespace berylridge {

namespace {

constexpr AttemptNumber maxAttempts = 3;

} // namespace

bool RequestManager::tryDispatch(const LeaseRef &ref, FlowId flow, const TargetSpec &target,
                                 const ServiceDocument &document, TimePoint notAfter)
{
    Service &service = m_services.at(document.service);
    const TargetHash hash = targetHash(target.target);
    const std::size_t open = m_pools->openTargetCount(document.service);
    const auto isFit = [&](RequestHandle handle) {
        const Request &request = m_requests.at(handle);
        const bool isAvoided
            = request.failedTargets.contains(hash) && request.failedTargets.size() < open;
        const bool isHeld
            = request.attempts == 0 && m_crashes.isHeld(request.fingerprint, m_context.now);
        return !isAvoided && !isHeld
            && (request.key.empty()
                || m_keys.mayDispatch(request.key, m_context.now, m_context.wall));
    };
    const auto handle = service.queue.popIf(flow, m_context.now, isFit);
    if (!handle)
        return false;
    m_pools->onQueueChanged(document.service);

    Request &request = m_requests.at(*handle);
    m_queueDeadlines.erase({request.queueDeadline, request.handle});
    request.target = target.target;
    request.endpoint = {target.address, target.port};
    request.lease = ref;
    request.dispatchedAt = m_context.now;
    request.bootId = m_knownBoots[target.target];
    ++request.attempts;
    if (request.attempts == 1)
        service.budget.onFirstAttempt();
    // From here on a byte may be sent at any time. The verdict is reset only if the shell reports
    // that none was sent.
    request.verdictBefore = request.verdict;
    request.verdict = Verdict::MayHaveRun;
    if (!request.key.empty())
        m_keys.dispatched(request.key);
    ++m_usage[flow].running;
    step(request, RequestSignal::Dispatched);
    addTrace(request, "sent to", target.target.str());

    Dispatch dispatch;
    dispatch.handle = request.handle;
    dispatch.attempt = request.attempts;
    dispatch.target = target.target;
    dispatch.endpoint = request.endpoint;
    dispatch.notAfter = notAfter;
    dispatch.attemptTimeout = document.attemptTimeout;
    dispatch.idleTimeout = document.idleTimeout;
    dispatch.isResumed = request.isResumed;
    dispatch.storesResponse = !request.key.empty();
    dispatch.workspace = request.workspace;
    dispatch.resendPolicy = request.isIdempotent ? ResendPolicy::Allowed : ResendPolicy::Forbidden;
    m_context.emit(std::move(dispatch));
    return true;
}

void RequestManager::onHead(const AttemptHead &event)
{
    Request *request = find(event.handle, event.attempt);
    if (!request)
        return;
    step(*request, RequestSignal::HeadCame);
    addTrace(*request, "response begins", std::to_string(event.status));
    recordBoot(*request, event.bootId);
}

void RequestManager::onDone(const AttemptDone &event)
{
    Request *request = find(event.handle, event.attempt);
    if (!request)
        return;
    recordBoot(*request, event.bootId);
    request->verdict = Verdict::Ran;
    m_crashes.clear(request->fingerprint, request->dispatchedAt, m_context.now);
    addTrace(*request, "answered", std::to_string(event.status));
    if (!request->key.empty())
        m_keys.finished(request->key, event.status, event.storedHeaders, event.storedBody);
    step(*request, RequestSignal::AnswerEnded);
    endAttempt(*request, true);
    finish(event.handle);
}

void RequestManager::onFailed(const AttemptFailed &event)
{
    Request *request = find(event.handle, event.attempt);
    if (!request)
        return;
    static constexpr const char *names[]
        = {"refused connection", "connect timeout", "reset",        "timeout",      "bad answer",
           "cut short",          "not run",         "other target", "target error", "withheld"};
    const char *name = names[static_cast<std::size_t>(event.failure)];
    addTrace(*request, "attempt failed:", name);
    m_context.log(LogEventId::AttemptFailed,
                  request->id + " at " + request->target.str() + ' ' + name);
    const TargetHash hash = targetHash(request->target);
    request->failedTargets.insert(hash);
    switch (event.failure) {
    case AttemptFailure::ConnectRefused:
        m_pools->reportTargetSignal(request->lease.pool, hash, TargetSignal::RefusedConnection,
                                    request->bootId);
        break;
    case AttemptFailure::Reset:
    case AttemptFailure::TruncatedResponse:
        if (event.sentAny)
            m_pools->reportTargetSignal(request->lease.pool, hash, TargetSignal::Crash,
                                        request->bootId);
        break;
    case AttemptFailure::ConnectTimeout:
    case AttemptFailure::Timeout:
        m_pools->reportTargetSignal(request->lease.pool, hash, TargetSignal::Timeout,
                                    request->bootId);
        break;
    // Only protocols of the balancer distinguish these failures.
    case AttemptFailure::Withheld:
    case AttemptFailure::NotRun:
    case AttemptFailure::OtherTarget:
    case AttemptFailure::TargetError:
    case AttemptFailure::InvalidResponse:
        m_context.log(LogEventId::AnswerRejected, request->id + " from " + request->target.str());
        break;
    }
    endAttempt(*request, false);
    afterFailure(*request, event);
}

void RequestManager::afterFailure(Request &request, const AttemptFailed &event)
{
    if (!event.sentAny) {
        request.verdict = request.verdictBefore;
        if (!request.key.empty())
            m_keys.revertDispatch(request.key);
    } else if (!request.key.empty()) {
        m_keys.failed(request.key);
    }
    request.isResumed = request.isResumed || event.answerBegun;
    const bool isRetried = !request.isCallerGone && mayRetry(request, event);
    const bool maybeCrash = event.sentAny
        && (event.failure == AttemptFailure::Reset
            || event.failure == AttemptFailure::TruncatedResponse);
    if (isRetried) {
        step(request, RequestSignal::Retried);
        request.queueDeadline
            = m_context.now + m_services.at(request.service).document->queueTimeout;
        m_queueDeadlines.emplace(request.queueDeadline, request.handle);
        m_context.log(LogEventId::RequestRetried, request.id);
    }
    if (maybeCrash)
        startCrashCheck(request, isRetried);
    if (isRetried && !maybeCrash)
        retry(request);
    if (isRetried)
        return;
    if (request.isCallerGone) {
        step(request, RequestSignal::CallerGone);
        finish(request.handle);
        return;
    }
    const bool wasSent = request.verdict != Verdict::NotRun;
    refuse(request,
           {wasSent ? 502U : 503U, wasSent ? "target-failed" : "no-target",
            wasSent ? "the target broke off" : "no target could be reached",
            wasSent && !request.isIdempotent ? std::nullopt
                                             : std::optional<Duration>(std::chrono::seconds(1))});
}

void RequestManager::abortUnanswered()
{
    std::vector<RequestHandle> unanswered;
    for (const auto &[handle, request] : m_requests) {
        if (request.state == RequestState::Sent && !request.isCallerGone)
            unanswered.push_back(handle);
    }
    for (const RequestHandle handle : unanswered) {
        Request &request = m_requests.at(handle);
        m_context.emit(AbortAttempt {handle, request.attempts});
        endAttempt(request, false);
        if (!request.key.empty())
            m_keys.failed(request.key);
        refuse(request,
               {502, "stopping", "the router stops and can't wait for the answer", std::nullopt});
    }
}

bool RequestManager::mayRetry(const Request &request, const AttemptFailed &event)
{
    if (request.attempts >= maxAttempts || m_context.now >= m_context.stopsAt)
        return false;
    // Once the target may have processed the request, only an idempotent one may be sent again:
    // running a purchase twice is worse than refusing it.
    if (event.sentAny && !request.isIdempotent)
        return false;
    const auto service = m_services.find(request.service);
    if (service == m_services.end())
        return false;
    // The caller has part of the response. Only a model engine can resume the stream from there.
    const bool canResume = service->second.document->kind == ServiceKind::ModelEngine;
    if (request.isResumed && !canResume)
        return false;
    if (m_crashes.isQuarantined(request.fingerprint))
        return false;
    return service->second.budget.tryTake();
}

/// Puts a request that is to be retried at the front of its queue.
void RequestManager::retry(Request &request)
{
    Service &service = m_services.at(request.service);
    service.queue.pushFront(request.flow, request.handle, request.arrivedAt, m_context.now);
    m_pools->onQueueChanged(request.service);
}

Request *RequestManager::find(RequestHandle handle, AttemptNumber attempt)
{
    const auto found = m_requests.find(handle);
    if (found == m_requests.end() || found->second.attempts != attempt)
        return nullptr;
    const RequestState state = found->second.state;
    const bool runs = state == RequestState::Sent || state == RequestState::Answering;
    return runs ? &found->second : nullptr;
}

/// Releases the attempt's lease for reuse or return and records the cost for the flow.
void RequestManager::endAttempt(Request &request, bool isCompleted)
{
    const Duration used = m_context.now - request.dispatchedAt;
    const auto service = m_services.find(request.service);
    if (isCompleted && service != m_services.end())
        service->second.queue.recordCost(request.flow, used);
    Usage &usage = m_usage[request.flow];
    usage.charged += used;
    --usage.running;
    m_pools->endLease(request.lease, used, isCompleted, request.bootId);
}

/// Records the boot id that responded and reports a changed one to the pool owner.
void RequestManager::recordBoot(Request &request, const std::string &bootId)
{
    if (bootId.empty())
        return;
    request.bootId = bootId;
    std::string &known = m_knownBoots[request.target];
    if (known == bootId)
        return;
    known = bootId;
    m_pools->reportTargetSignal(request.lease.pool, targetHash(request.target),
                                TargetSignal::NewBoot, bootId);
}

} // namespace berylridge
