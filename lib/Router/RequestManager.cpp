// Implements admission, queueing and completion of requests. Attempts and their failures are in
// RequestAttempts.cpp.
#include "RequestManager.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <cmath>

namespace berylridge {

namespace {

/// Number of ended requests whose traces are retained for explain().
constexpr std::size_t maxExplainedRequests = 1000;
constexpr Duration minRetryAfter = std::chrono::seconds(1);
constexpr Duration maxRetryAfter = std::chrono::seconds(60);

/// Returns whether the HTTP method is idempotent (RFC 9110, section 9.2.2).
bool isIdempotentMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE"
        || method == "OPTIONS" || method == "TRACE";
}

bool isIdempotent(const ServiceDocument &document, const std::string &method,
                  const std::string &path)
{
    const RouteRule *best = nullptr;
    for (const RouteRule &rule : document.routes) {
        const bool fits = rule.method == method && path.starts_with(rule.pathPrefix);
        if (fits && (!best || rule.pathPrefix.size() > best->pathPrefix.size()))
            best = &rule;
    }
    return best ? best->isIdempotent : isIdempotentMethod(method);
}

std::uint64_t fingerprintOf(const RequestArrived &event, const WorkspaceId &workspace)
{
    std::uint64_t hash = hash64(event.service.str(), event.bodyHash);
    hash = hash64(workspace.str(), hash);
    hash = hash64(event.method, hash);
    return hash64(event.path, hash);
}

KeyOptions keyOptions(const CoreOptions &options)
{
    KeyOptions keys;
    keys.node = options.node;
    keys.incarnation = options.incarnation;
    return keys;
}

} // namespace

RequestManager::RequestManager(CoreContext &context)
    : m_context(context)
    , m_keys(keyOptions(context.options))
{
}

void RequestManager::onArrived(const RequestArrived &event, bool isJoining)
{
    m_lastArrival = m_context.now;
    if (isJoining) {
        refuseEarly(event, {503, "not-ready", "this node is starting", minRetryAfter});
        return;
    }
    const auto found = m_services.find(event.service);
    if (found == m_services.end()) {
        refuseEarly(event, {404, "unknown-service", "no such service", std::nullopt});
        return;
    }
    Service &service = found->second;
    const auto share = service.byCredential.find(credentialDigest(event.credential));
    if (share == service.byCredential.end()) {
        refuseEarly(event, {401, "unknown-workspace", "no workspace has this key", std::nullopt});
        return;
    }
    if (event.bodyBytes > service.document->bodyLimit) {
        refuseEarly(event,
                    {413, "body-too-large", "the service takes smaller bodies", std::nullopt});
        return;
    }

    Request request;
    request.handle = event.handle;
    request.id = event.requestId;
    request.service = event.service;
    request.workspace = share->second->workspace;
    request.flow = flowId(event.service, request.workspace);
    request.isIdempotent = isIdempotent(*service.document, event.method, event.path);
    request.fingerprint = fingerprintOf(event, request.workspace);
    request.arrivedAt = m_context.now;
    const Duration maxQueueWait
        = std::min(event.maxQueueWait.value_or(service.document->queueTimeout),
                   service.document->queueTimeout);
    request.queueDeadline = m_context.now + maxQueueWait;
    if (!request.isIdempotent && event.idempotencyKey)
        request.key = scopedKey(event.service, request.workspace, *event.idempotencyKey);
    Request &added = m_requests[event.handle] = std::move(request);
    addTrace(added, "arrived", added.workspace.str());
    m_queueDeadlines.emplace(added.queueDeadline, added.handle);

    if (added.key.empty()) {
        admit(added, service);
        return;
    }
    // The key is claimed before any other check can refuse the request. Only the claim shows
    // whether the operation may already have run through another node.
    step(added, RequestSignal::ClaimBegun);
    addTrace(added, "claims its idempotency key");
    KeyOutput output;
    const std::string key = added.key;
    // The fingerprint also covers the method and the path: a key identifies one request, not one
    // body.
    m_keys.begin(added.handle, key, added.fingerprint, m_context.now, m_context.wall, output);
    applyKeyOutput(std::move(output));
}

void RequestManager::onKeyIssueRequested(const KeyIssueRequested &event)
{
    const std::string digest = credentialDigest(event.credential);
    const bool isKnown = std::any_of(m_services.begin(), m_services.end(), [&](const auto &entry) {
        return entry.second.byCredential.contains(digest);
    });
    if (!isKnown) {
        m_context.emit(Refuse {event.handle, 401, Verdict::NotRun, "no workspace has this key",
                               "unknown-workspace", std::nullopt});
        return;
    }
    const std::string key = m_keys.issueKey(m_context.now, m_context.wall);
    m_context.emit(SendStoredResponse {
        event.handle, 201, {{"Content-Type", "application/json"}}, "{\"key\":\"" + key + "\"}\n"});
}

void RequestManager::admit(Request &request, Service &service)
{
    if (mayOutlastStop(request, service)) {
        refuse(request, leavingRefusal());
        return;
    }
    if (m_crashes.remainingBlockTime(request.fingerprint, m_context.now)) {
        m_context.log(LogEventId::CrashingRequest, request.id);
        refuse(request, crashingRefusal(503, request.fingerprint));
        return;
    }
    const auto share = std::find_if(
        service.document->workspaces.begin(), service.document->workspaces.end(),
        [&](const WorkspaceShare &entry) { return entry.workspace == request.workspace; });
    const bool isKnown = share != service.document->workspaces.end();
    if (!isKnown || service.queue.waiting(request.flow) >= share->queueLimit) {
        refuse(request,
               {429, "queue-full", "too many requests of the workspace wait",
                retryAfterFor(service, request.flow)});
        return;
    }
    // A request that would exceed its queue deadline is refused immediately, not after the wait.
    const auto wait = service.queue.expectedWait(request.flow, m_context.now);
    if (wait && m_context.now + *wait > request.queueDeadline) {
        refuse(request,
               {503, "wait-too-long", "the request would wait longer than it may",
                retryAfterFor(service, request.flow)});
        return;
    }
    if (m_pools->openTargetCount(request.service) == 0) {
        refuse(request, {503, "no-target", "no target of the service takes work", minRetryAfter});
        return;
    }
    enqueue(request);
}

bool RequestManager::mayOutlastStop(const Request &request, const Service &service) const
{
    return m_context.now >= m_context.takesLongRequestsUntil
        && request.queueDeadline + service.document->attemptTimeout > m_context.stopsAt;
}

RequestManager::Refusal RequestManager::leavingRefusal()
{
    return {503, "leaving", "the router stops", minRetryAfter};
}

void RequestManager::refuseWaiting()
{
    std::vector<RequestHandle> waiting;
    for (const auto &[handle, request] : m_requests) {
        if (request.state == RequestState::Queued || request.state == RequestState::Claiming)
            waiting.push_back(handle);
    }
    for (const RequestHandle handle : waiting) {
        // A released key may have ended another request that waited for it.
        const auto found = m_requests.find(handle);
        if (found != m_requests.end())
            refuse(found->second, leavingRefusal());
    }
}

void RequestManager::enqueue(Request &request)
{
    Service &service = m_services.at(request.service);
    step(request, RequestSignal::Enqueued);
    addTrace(request, "waits");
    service.queue.push(request.flow, request.handle, m_context.now);
    m_pools->onQueueChanged(request.service);
}

void RequestManager::onCallerGone(const CallerGone &event)
{
    const auto found = m_requests.find(event.handle);
    if (found == m_requests.end())
        return;
    Request &request = found->second;
    addTrace(request, "caller gone");
    const bool isRunning
        = request.state == RequestState::Sent || request.state == RequestState::Answering;
    if (isRunning && !request.isIdempotent) {
        // The request may have run. The attempt continues, so that a retry with the same key finds
        // the stored response.
        request.isCallerGone = true;
        return;
    }
    if (isRunning) {
        m_context.emit(AbortAttempt {request.handle, request.attempts});
        endAttempt(request, false);
    } else {
        removeFromQueue(request);
        if (!request.key.empty()) {
            KeyOutput output;
            m_keys.release(request.key, output);
            applyKeyOutput(std::move(output));
        }
    }
    step(request, RequestSignal::CallerGone);
    finish(event.handle);
}

void RequestManager::onDocuments()
{
    std::map<ServiceId, Service> updatedServices;
    for (const auto &document : m_context.documents.services()) {
        Service service;
        const auto found = m_services.find(document->service);
        if (found != m_services.end())
            service = std::move(found->second);
        service.document = document;
        service.budget.setRatio(document->retryBudget);
        service.byCredential.clear();
        for (const WorkspaceShare &share : document->workspaces)
            service.byCredential.emplace(share.credentialDigest, &share);
        updatedServices.emplace(document->service, std::move(service));
    }
    m_services.swap(updatedServices);
    // Requests that wait for a withdrawn service are refused now; running ones complete.
    std::vector<RequestHandle> orphaned;
    for (const auto &[handle, request] : m_requests) {
        const bool waits
            = request.state == RequestState::Queued || request.state == RequestState::Claiming;
        if (waits && !m_services.contains(request.service))
            orphaned.push_back(handle);
    }
    for (const RequestHandle handle : orphaned)
        refuse(m_requests.at(handle),
               {404, "unknown-service", "the service was withdrawn", std::nullopt});
}

void RequestManager::onKeyMessage(const NodeId &from, Incarnation incarnation,
                                  const KeyMessage &message)
{
    KeyOutput output;
    m_keys.onMessage(from, incarnation, message, m_context.now, m_context.wall, output);
    applyKeyOutput(std::move(output));
}

void RequestManager::onMembers()
{
    std::vector<KeyMember> members;
    for (const auto &[node, member] : m_context.membership.members()) {
        KeyMember entry;
        entry.node = node;
        entry.incarnation = member.incarnation;
        entry.isAlive = member.state == MemberState::Live || member.state == MemberState::Joining;
        entry.isLeaving = member.state == MemberState::Leaving;
        // The member state is not sufficient: a node that an outdated VM list omits is in state
        // Gone, but it may be running and vote for keys. Only a closed port proves that the
        // incarnation ended.
        entry.isTerminated
            = member.incarnation != 0 && member.refusedIncarnation == member.incarnation;
        members.push_back(std::move(entry));
    }
    KeyOutput output;
    m_keys.onMembers(members, m_context.now, m_context.wall, output);
    applyKeyOutput(std::move(output));
    sendKnownCrashes();
}

void RequestManager::onVmList(const VmList &list)
{
    KeyOutput output;
    m_keys.onVmList(list, m_context.now, m_context.wall, output);
    applyKeyOutput(std::move(output));
}

void RequestManager::applyKeyOutput(KeyOutput output)
{
    for (OutgoingKeyMessage &send : output.sends)
        m_context.send(send.to, std::move(send.message));
    for (KeyDecision &decision : output.decisions) {
        const RequestHandle handle
            = std::visit([](const auto &value) { return value.request; }, decision);
        const auto found = m_requests.find(handle);
        if (found == m_requests.end())
            continue;
        Request &request = found->second;
        if (std::holds_alternative<KeyAdmitted>(decision)) {
            addTrace(request, "idempotency key admitted");
            admit(request, m_services.at(request.service));
        } else if (auto *refused = std::get_if<KeyRefused>(&decision)) {
            m_context.log(LogEventId::KeyConflict, request.id + ' ' + refused->type);
            request.verdict = worse(request.verdict, refused->verdict);
            request.key.clear(); // Another request holds the key.
            m_context.emit(Refuse {handle, refused->status, request.verdict, refused->title,
                                   refused->type, refused->retryAfter});
            addTrace(request, "refused", refused->type);
            step(request, RequestSignal::GivenUp);
            finish(handle);
        } else if (auto *answered = std::get_if<KeyReplayed>(&decision)) {
            addTrace(request, "answered from the response kept for its key");
            m_context.emit(SendStoredResponse {
                handle, answered->status, std::move(answered->headers), std::move(answered->body)});
            step(request, RequestSignal::KeptAnswerFound);
            finish(handle);
        }
    }
}

void RequestManager::tick()
{
    while (!m_queueDeadlines.empty() && m_queueDeadlines.begin()->first <= m_context.now) {
        const RequestHandle handle = m_queueDeadlines.begin()->second;
        Request &request = m_requests.at(handle);
        Service &service = m_services.at(request.service);
        refuse(request,
               {503, "queue-timeout", "no slot came free in time",
                retryAfterFor(service, request.flow)});
    }
    for (auto check = m_crashChecks.begin(); check != m_crashChecks.end();) {
        if (check->second.until > m_context.now) {
            ++check;
            continue;
        }
        const TargetId target = check->first;
        const CrashCheck due = check->second;
        check = m_crashChecks.erase(check);
        recordCrash(due, target);
        finishCrashCheck(due);
    }
    resendCrashReports();
    m_crashes.expire(m_context.now);
    KeyOutput output;
    m_keys.tick(m_context.now, m_context.wall, output);
    applyKeyOutput(std::move(output));
}

TimePoint RequestManager::nextTimer() const
{
    TimePoint next = m_keys.nextTimer();
    if (!m_queueDeadlines.empty())
        next = std::min(next, m_queueDeadlines.begin()->first);
    for (const auto &[target, check] : m_crashChecks)
        next = std::min(next, check.until);
    for (const CrashBroadcast &broadcast : m_crashBroadcasts)
        next = std::min(next, broadcast.remainingCopies > 0 ? broadcast.at : next);
    return next;
}

ServiceQueue *RequestManager::queue(const ServiceId &service)
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second.queue;
}

/// Refuses a request: sends the caller the refusal immediately and releases everything that it
/// held.
void RequestManager::refuse(Request &request, Refusal refusal)
{
    removeFromQueue(request);
    if (!request.key.empty() && request.verdict == Verdict::NotRun) {
        KeyOutput output;
        const Verdict verdict = m_keys.release(request.key, output);
        request.verdict = worse(request.verdict, verdict);
        request.key.clear();
        applyKeyOutput(std::move(output));
    }
    m_context.log(LogEventId::RequestRefused,
                  request.id + ' ' + refusal.type + ' '
                      + std::string(verdictName(request.verdict)));
    addTrace(request, "refused", refusal.type);
    m_context.emit(Refuse {request.handle, refusal.status, request.verdict,
                           std::move(refusal.title), refusal.type, refusal.retryAfter});
    step(request, RequestSignal::GivenUp);
    finish(request.handle);
}

/// Refuses a request before its workspace and operation are known.
void RequestManager::refuseEarly(const RequestArrived &event, Refusal refusal)
{
    // An earlier request with the same key may have run through another node.
    const Verdict verdict = event.idempotencyKey ? Verdict::MayHaveRun : Verdict::NotRun;
    m_context.log(LogEventId::RequestRefused,
                  event.requestId + ' ' + refusal.type + ' ' + std::string(verdictName(verdict)));
    m_context.emit(Refuse {event.handle, refusal.status, verdict, std::move(refusal.title),
                           refusal.type, refusal.retryAfter});
}

void RequestManager::finish(RequestHandle handle)
{
    const auto found = m_requests.find(handle);
    // No deadline may refer to the request after it ended, whichever way it ended.
    m_queueDeadlines.erase({found->second.queueDeadline, handle});
    m_endedTraces.emplace_back(found->second.id, std::move(found->second.trace));
    if (m_endedTraces.size() > maxExplainedRequests)
        m_endedTraces.pop_front();
    m_requests.erase(found);
}

/// Removes a request from the queue and from the list of deadlines.
void RequestManager::removeFromQueue(Request &request)
{
    m_queueDeadlines.erase({request.queueDeadline, request.handle});
    const auto service = m_services.find(request.service);
    if (service != m_services.end() && service->second.queue.remove(request.flow, request.handle))
        m_pools->onQueueChanged(request.service);
}

void RequestManager::step(Request &request, RequestSignal signal)
{
    m_context.stateMachines.request.step(request.state, signal);
}

void RequestManager::addTrace(Request &request, const char *what, std::string detail)
{
    request.trace.push_back({m_context.now, what, std::move(detail)});
}

/// Returns the Retry-After delay: the time until the flow's waiting requests are expected to drain.
Duration RequestManager::retryAfterFor(const Service &service, FlowId flow) const
{
    const auto wait = service.queue.expectedWait(flow, m_context.now);
    return std::clamp(wait.value_or(maxRetryAfter / 4), minRetryAfter, maxRetryAfter);
}

std::vector<std::string> RequestManager::explain(const std::string &requestId) const
{
    std::vector<std::string> lines;
    const auto print = [&](const std::vector<TraceStep> &trace) {
        for (const TraceStep &entry : trace) {
            const Duration at = entry.at - trace.front().at;
            std::string line = std::to_string(at.count() / 1000) + " ms: " + entry.what;
            if (!entry.detail.empty())
                line += ' ' + entry.detail;
            lines.push_back(std::move(line));
        }
    };
    for (const auto &[id, trace] : m_endedTraces) {
        if (id == requestId)
            print(trace);
    }
    for (const auto &[handle, request] : m_requests) {
        if (request.id == requestId)
            print(request.trace);
    }
    return lines;
}

void RequestManager::fillStatus(NodeStatus &status) const
{
    for (const auto &[id, service] : m_services) {
        for (const WorkspaceShare &share : service.document->workspaces) {
            const FlowId flow = flowId(id, share.workspace);
            WorkspaceStatus workspace;
            workspace.service = id;
            workspace.workspace = share.workspace;
            workspace.weight = share.weight;
            workspace.virtualTime = m_pools->virtualTime(id, flow);
            workspace.waiting = static_cast<std::uint32_t>(service.queue.waiting(flow));
            const auto usage = m_usage.find(flow);
            if (usage != m_usage.end()) {
                workspace.charged = toSeconds(usage->second.charged);
                workspace.running = usage->second.running;
            }
            status.workspaces.push_back(std::move(workspace));
        }
    }
}

} // namespace berylridge
