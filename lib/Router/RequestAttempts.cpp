// Attempts of requests at targets: their begin, their ends, retries, and requests that crash
// targets.
#include "RequestManager.h"

#include "berylridge/Support/Hash.h"

namespace berylridge {

namespace {

constexpr AttemptNumber attemptLimit = 3;
/// Time for a broken target's port to answer a poll, and for word of a crash to reach every node,
/// before the request that may have caused it goes to a second target.
constexpr Duration crashCheckTime = std::chrono::milliseconds(400);
/// With a tenth of the datagrams lost, all four are lost once in ten thousand times.
constexpr int crashNewsCopies = 4;
constexpr Duration crashNewsPeriod = std::chrono::milliseconds(200);

std::uint64_t bootHash(const TargetId &target, const std::string &bootId)
{
    return hash64(bootId, hash64(target.str()));
}

} // namespace

bool RequestManager::runOn(const LeaseRef &ref, FlowId flow, const TargetSpec &target,
                           const ServiceDocument &document, TimePoint notAfter)
{
    Service &service = m_services.at(document.service);
    const TargetHash hash = targetHash(target.target);
    const std::size_t open = m_pools->openTargets(document.service);
    const auto isFit = [&](RequestHandle handle) {
        const Request &request = m_requests.at(handle);
        const bool isAvoided = request.avoided.contains(hash) && request.avoided.size() < open;
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
    m_deadlines.erase({request.giveUpAt, request.handle});
    request.target = target.target;
    request.endpoint = {target.address, target.port};
    request.lease = ref;
    request.dispatchedAt = m_context.now;
    request.bootId = m_boots[target.target];
    ++request.attempts;
    if (request.attempts == 1)
        service.budget.onFirstAttempt();
    // From here on a byte may leave at any moment; only the shell's word that none did takes it
    // back.
    request.verdictBefore = request.verdict;
    request.verdict = Verdict::MayHaveRun;
    if (!request.key.empty())
        m_keys.dispatched(request.key);
    ++m_usage[flow].running;
    step(request, RequestSign::Dispatched);
    note(request, "sent to", target.target.str());

    Dispatch dispatch;
    dispatch.handle = request.handle;
    dispatch.attempt = request.attempts;
    dispatch.target = target.target;
    dispatch.endpoint = request.endpoint;
    dispatch.notAfter = notAfter;
    dispatch.attemptTimeout = document.attemptTimeout;
    dispatch.idleTimeout = document.idleTimeout;
    dispatch.isResumed = request.isResumed;
    dispatch.keepsAnswer = !request.key.empty();
    dispatch.workspace = request.workspace;
    dispatch.isIdempotent = request.isIdempotent;
    m_context.act(std::move(dispatch));
    return true;
}

void RequestManager::onHead(const AttemptHead &event)
{
    Request *request = find(event.handle, event.attempt);
    if (!request)
        return;
    step(*request, RequestSign::HeadCame);
    note(*request, "answer begins", std::to_string(event.status));
    noteBoot(*request, event.bootId);
}

void RequestManager::onDone(const AttemptDone &event)
{
    Request *request = find(event.handle, event.attempt);
    if (!request)
        return;
    noteBoot(*request, event.bootId);
    request->verdict = Verdict::Ran;
    m_crashes.clear(request->fingerprint);
    note(*request, "answered", std::to_string(event.status));
    if (!request->key.empty())
        m_keys.finished(request->key, event.status, event.keptHeaders, event.keptBody);
    step(*request, RequestSign::AnswerEnded);
    endAttempt(*request, true);
    finish(event.handle);
}

void RequestManager::onFailed(const AttemptFailed &event)
{
    Request *request = find(event.handle, event.attempt);
    if (!request)
        return;
    static constexpr const char *names[]
        = {"refused connection", "connect timeout", "reset", "timeout", "bad answer", "cut short"};
    const char *name = names[static_cast<std::size_t>(event.failure)];
    note(*request, "attempt failed:", name);
    m_context.log(LogEventId::AttemptFailed,
                  request->id + " at " + request->target.str() + ' ' + name);
    const TargetHash hash = targetHash(request->target);
    request->avoided.insert(hash);
    switch (event.failure) {
    case AttemptFailure::ConnectRefused:
        m_pools->tellNews(request->lease.pool, hash, TargetSign::RefusedConnection,
                          request->bootId);
        break;
    case AttemptFailure::Reset:
    case AttemptFailure::CutShort:
        if (event.sentAny)
            m_pools->tellNews(request->lease.pool, hash, TargetSign::Crash, request->bootId);
        break;
    case AttemptFailure::ConnectTimeout:
    case AttemptFailure::Timeout:
        m_pools->tellNews(request->lease.pool, hash, TargetSign::Timeout, request->bootId);
        break;
    case AttemptFailure::BadAnswer:
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
            m_keys.notSent(request.key);
    } else if (!request.key.empty()) {
        m_keys.failed(request.key);
    }
    request.isResumed = request.isResumed || event.answerBegun;
    const bool isRetried = !request.isCallerGone && mayRetry(request, event);
    const bool maybeCrash = event.sentAny
        && (event.failure == AttemptFailure::Reset || event.failure == AttemptFailure::CutShort);
    if (isRetried) {
        step(request, RequestSign::Retried);
        request.giveUpAt = m_context.now + m_services.at(request.service).document->queueTimeout;
        m_deadlines.emplace(request.giveUpAt, request.handle);
        m_context.log(LogEventId::RequestRetried, request.id);
    }
    if (maybeCrash)
        checkCrash(request, isRetried);
    if (isRetried && !maybeCrash)
        retry(request);
    if (isRetried)
        return;
    if (request.isCallerGone) {
        step(request, RequestSign::CallerGone);
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

bool RequestManager::mayRetry(const Request &request, const AttemptFailed &event)
{
    if (request.attempts >= attemptLimit)
        return false;
    // Once the target may have acted on it, only what is idempotent may be sent again; whatever the
    // caller would like, a doubled purchase is worse than a refusal.
    if (event.sentAny && !request.isIdempotent)
        return false;
    const auto service = m_services.find(request.service);
    if (service == m_services.end())
        return false;
    // The caller has part of the answer: only an engine can go on from there.
    const bool canResume = service->second.document->kind == ServiceKind::ModelEngine;
    if (request.isResumed && !canResume)
        return false;
    if (m_crashes.crashes(request.fingerprint) >= CrashRecord::crashLimit)
        return false;
    return service->second.budget.tryTake();
}

/// Puts a request that is to be tried again before those that wait.
void RequestManager::retry(Request &request)
{
    Service &service = m_services.at(request.service);
    service.queue.pushFront(request.flow, request.handle, request.arrivedAt, m_context.now);
    m_pools->onQueueChanged(request.service);
}

/// Asks the target whether its boot has ended. Until it is known the request is not tried again: if
/// it crashes whatever runs it, each target that it reached meanwhile would be lost.
void RequestManager::checkCrash(Request &request, bool isRetried)
{
    CrashCheck check;
    check.fingerprint = request.fingerprint;
    check.bootId = request.bootId;
    check.handle = isRetried ? request.handle : 0;
    check.attempt = request.attempts;
    check.until = m_context.now + crashCheckTime;
    check.poll = ++m_polls;
    m_checks.emplace(request.target, check);
    m_context.act(PollTarget {request.target, request.endpoint, check.poll});
}

void RequestManager::onReport(const TargetReport &report)
{
    m_boots[report.target] = report.bootId;
    resolveCrashChecks(report.target, report.poll, report.bootId);
}

void RequestManager::onPollFailed(const TargetPollFailed &failure)
{
    // Silence proves nothing yet: the check's own time limit decides.
    if (failure.failure == AttemptFailure::ConnectRefused)
        resolveCrashChecks(failure.target, failure.poll, {});
}

/// Word of the target: the boot that answers, or none when its port is closed.
void RequestManager::resolveCrashChecks(const TargetId &target, std::uint64_t poll,
                                        const std::string &bootId)
{
    const auto [first, last] = m_checks.equal_range(target);
    for (auto check = first; check != last;) {
        const CrashCheck &pending = check->second;
        const bool isSameBoot = !bootId.empty() && bootId == pending.bootId;
        if (!isSameBoot) {
            recordCrash(pending, target);
            ++check;
            continue;
        }
        // An answer to an earlier poll may be older than the crash: taken for a sign of life, the
        // request that caused the crash went to a third target at once.
        if (poll < pending.poll) {
            ++check;
            continue;
        }
        // The boot lives: the connection alone broke.
        const CrashCheck alive = pending;
        check = m_checks.erase(check);
        crashCheckDone(alive);
    }
}

void RequestManager::recordCrash(const CrashCheck &check, const TargetId &target)
{
    const std::uint64_t boot = bootHash(target, check.bootId);
    if (!m_crashes.add(check.fingerprint, boot, m_context.now))
        return;
    m_context.log(LogEventId::TargetCold, target.str() + " crashed while it ran a request");
    m_crashEchoes.push_back({{check.fingerprint, boot}, m_context.now, crashNewsCopies});
    repeatCrashNews();
    refuseCrashing(check.fingerprint);
}

/// Sends word of crashes to all nodes, each several times: a datagram may be lost, and the node
/// that misses it lets the request crash two more targets.
void RequestManager::repeatCrashNews()
{
    for (CrashEcho &echo : m_crashEchoes) {
        if (echo.left == 0 || echo.at > m_context.now)
            continue;
        --echo.left;
        echo.at = m_context.now + crashNewsPeriod;
        for (const auto &[node, member] : m_context.membership.members()) {
            if (member.state != MemberState::Gone)
                m_context.send(node, FleetMessage(echo.news));
        }
    }
    while (!m_crashEchoes.empty() && m_crashEchoes.front().left == 0)
        m_crashEchoes.pop_front();
}

/// The time for word of a crash is over: the request goes on, or is given up.
void RequestManager::crashCheckDone(const CrashCheck &check)
{
    const auto found = m_requests.find(check.handle);
    if (found == m_requests.end() || found->second.attempts != check.attempt
        || found->second.state != RequestState::Queued) {
        return;
    }
    Request &request = found->second;
    if (m_crashes.crashes(request.fingerprint) < CrashRecord::crashLimit) {
        retry(request);
        return;
    }
    m_context.log(LogEventId::CrashingRequest, request.id);
    refuse(request,
           {502, "crashing-request", "this request crashed the targets that ran it",
            m_crashes.blockedFor(request.fingerprint, m_context.now)});
}

void RequestManager::onCrashNews(const CrashNews &news)
{
    m_crashes.add(news.fingerprint, news.boot, m_context.now);
    refuseCrashing(news.fingerprint);
}

/// Requests that wait with a blocked fingerprint would be the next to crash a target.
void RequestManager::refuseCrashing(std::uint64_t fingerprint)
{
    if (!m_crashes.blockedFor(fingerprint, m_context.now))
        return;
    std::vector<RequestHandle> waiting;
    for (const auto &[handle, request] : m_requests) {
        if (request.fingerprint == fingerprint && request.state == RequestState::Queued)
            waiting.push_back(handle);
    }
    for (const RequestHandle handle : waiting) {
        refuse(m_requests.at(handle),
               {503, "crashing-request", "this request crashed the targets that ran it",
                m_crashes.blockedFor(fingerprint, m_context.now)});
    }
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

/// The attempt's lease is used again or goes back, and the flow's cost is learnt.
void RequestManager::endAttempt(Request &request, bool isCompleted)
{
    const Duration used = m_context.now - request.dispatchedAt;
    const auto service = m_services.find(request.service);
    if (isCompleted && service != m_services.end())
        service->second.queue.noteCost(request.flow, used);
    Usage &usage = m_usage[request.flow];
    usage.charged += used;
    --usage.running;
    m_pools->endLease(request.lease, used, isCompleted, request.bootId);
}

/// Keeps the boot in mind that answered; tells the owner where it is another than before.
void RequestManager::noteBoot(Request &request, const std::string &bootId)
{
    if (bootId.empty())
        return;
    request.bootId = bootId;
    std::string &known = m_boots[request.target];
    if (known == bootId)
        return;
    known = bootId;
    m_pools->tellNews(request.lease.pool, targetHash(request.target), TargetSign::NewBoot, bootId);
}

} // namespace berylridge
