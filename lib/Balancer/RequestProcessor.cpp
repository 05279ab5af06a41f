#include "RequestProcessor.h"

#include "berylridge/Policy/Admission.h"
#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace berylridge {

namespace {

/// Time limit of a request if neither the caller nor the route sets one.
constexpr Duration defaultDeadline = std::chrono::seconds(30);
/// Retry-After while no catalog is known; a node receives one within a second of its start.
constexpr Duration startingRetryAfter = std::chrono::milliseconds(300);
/// Retry-After if a newer catalog is on its way that may contain the route or credential.
constexpr Duration outdatedCatalogRetryAfter = std::chrono::milliseconds(300);
/// Retry-After during a planned stop; the caller's next connection reaches another node.
constexpr Duration leavingRetryAfter = std::chrono::milliseconds(20);
/// Retry-After if no target is reachable. Most faults last a few seconds, and a failed target is
/// tried again within two seconds.
constexpr Duration noTargetRetryAfter = std::chrono::milliseconds(500);
/// Minimum Retry-After if the targets have no capacity for the request or reject it.
constexpr Duration fullRetryAfter = std::chrono::milliseconds(60);
/// Silence between two pieces of a response after which it is continued elsewhere. A sound target
/// may be silent for about a second; callers give up after two.
constexpr Duration maxSilence = std::chrono::milliseconds(1500);
/// Time after which a request at a silent target is offered to another one again.
constexpr Duration silenceRecheckPeriod = std::chrono::milliseconds(200);
/// Fraction of the retry budget for requests at silent targets. Their attempts go on without a
/// retry; the requests of broken connections have nothing else.
constexpr double silenceRetryFraction = 0.5;
/// Cost of a generated token relative to a token that is read.
constexpr double generatedTokenCost = 2;
/// Bounds the attempts of a request that one target after the other rejects.
constexpr AttemptNumber maxAttempts = 6;
/// Time before the deadline in which no further attempt starts.
constexpr Duration minTimeLeft = std::chrono::milliseconds(50);

/// Retry-After if another node may know what this one couldn't learn in time.
constexpr Duration unknownOriginRetryAfter = std::chrono::milliseconds(200);
/// A running stream is recorded again after this time, because nodes that keep records restart.
constexpr Duration originRecordPeriod = std::chrono::seconds(2);

Refusal unknownOriginRefusal(std::optional<Duration> retryAfter)
{
    return {503, "stream-origin-unknown", "it is not known which software version began the stream",
            retryAfter};
}

std::uint64_t fingerprintOf(const RequestArrived &event, const WorkspaceId &workspace)
{
    return hash64(event.path, hash64(workspace.str(), event.bodyHash));
}

/// Selects a service by weight; the result is the same each time the request is sent.
const std::string *selectService(const RouteSpec &route, const std::string &requestId)
{
    double total = 0;
    for (const WeightedService &each : route.services)
        total += each.weight;
    constexpr double steps = 1 << 20;
    double left = total * static_cast<double>(hash64(requestId) % (1 << 20)) / steps;
    for (const WeightedService &each : route.services) {
        if (left < each.weight)
            return &each.service;
        left -= each.weight;
    }
    return route.services.empty() ? nullptr : &route.services.back().service;
}

double demandOf(const BalancedRequest &request)
{
    if (!request.chain)
        return 0;
    return request.chain->inputTokens + generatedTokenCost * request.chain->outputTokens;
}

bool isKnownNotRun(const AttemptFailed &event)
{
    return !event.sentAny || event.failure == AttemptFailure::NotRun
        || event.failure == AttemptFailure::OtherTarget;
}

const char *failureName(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::ConnectRefused:
        return "connection refused";
    case AttemptFailure::ConnectTimeout:
        return "connect timeout";
    case AttemptFailure::Reset:
        return "reset";
    case AttemptFailure::Timeout:
        return "timeout";
    case AttemptFailure::InvalidResponse:
        return "bad answer";
    case AttemptFailure::TruncatedResponse:
        return "cut short";
    case AttemptFailure::NotRun:
        return "not run";
    case AttemptFailure::OtherTarget:
        return "other target";
    case AttemptFailure::TargetError:
        return "target error";
    case AttemptFailure::Withheld:
        return "withheld";
    }
    return "unknown";
}

} // namespace

RequestProcessor::RequestProcessor(BalancerContext &context, TargetSelector &targetSelector,
                                   StreamOriginExchange &streamOrigins)
    : m_context(context)
    , m_targetSelector(targetSelector)
    , m_streamOrigins(streamOrigins)
    , m_log(context)
    , m_tally(context)
    , m_overloadLog(context)
    , m_crashDetector(context)
    , m_random(context.options.seed)
{
}

void RequestProcessor::onArrived(const RequestArrived &event)
{
    m_lastArrival = m_context.now;
    BalancedRequest request;
    request.handle = event.handle;
    request.id = event.requestId;
    request.arrivedAt = m_context.now;
    if (const auto refusal = resolveRequest(request, event)) {
        m_tally.refused(request, refusal->type);
        refuseEarly(event, *refusal);
        return;
    }
    BalancedRequest &added = m_requests.emplace(event.handle, std::move(request)).first->second;
    step(added, RequestSignal::Enqueued);
    m_tally.requested(added, demandOf(added));
    if (added.resumption)
        takeUpStream(added);
    else
        admit(added);
}

void RequestProcessor::admit(BalancedRequest &request)
{
    if (const auto refusal = m_crashDetector.checkFirstAttempt(request)) {
        refuse(request, *refusal);
        return;
    }
    m_retries[request.service->name].onFirstAttempt(m_context.now);
    if (const auto refusal = placeRequest(request, true)) {
        request.isRerun = false;
        refuse(request, *refusal);
        return;
    }
    if (request.isRerun)
        m_crashDetector.beginRerun(request);
}

/// Finds out which software version began the stream, before a target is selected.
void RequestProcessor::takeUpStream(BalancedRequest &request)
{
    // Without the stream's own key, a key of this request selects the nodes to ask.
    const StreamKey stream = request.streamKey().value_or(hash64(request.id));
    if (const auto origin = m_streamOrigins.find(stream)) {
        StreamOriginExchange::Result result;
        result.origin = origin;
        addOriginStep(request, result);
        continueStream(request, *origin);
    } else {
        m_streamOrigins.ask(
            {request.handle, stream, routeKeyOf(*request.route), request.service->name});
    }
}

void RequestProcessor::addOriginStep(BalancedRequest &request,
                                     const StreamOriginExchange::Result &result) const
{
    OriginStep step;
    step.basis = result.origin ? std::optional(result.origin->basis) : std::nullopt;
    request.originBasis = step.basis;
    step.answeredBy = result.answeredBy;
    step.asked = result.asked;
    step.answers = result.answers;
    step.revision = m_context.directory.revision();
    if (const auto report = m_context.directory.platformUptime().report(m_context.now))
        step.platformAnswerAge = report->sinceAnswer;
    request.trace.add(m_context.now - request.arrivedAt, std::move(step));
}

void RequestProcessor::handleStreamOrigins()
{
    for (const StreamOriginExchange::Result &result : m_streamOrigins.takeResults()) {
        const auto found = m_requests.find(result.request);
        if (found == m_requests.end())
            continue;
        addOriginStep(found->second, result);
        if (result.origin) {
            continueStream(found->second, *result.origin);
            continue;
        }
        // Another node may know the stream if some of those that were asked have not answered.
        const auto retryAfter
            = result.isFinal ? std::nullopt : std::optional(unknownOriginRetryAfter);
        refuse(found->second, unknownOriginRefusal(retryAfter));
    }
}

void RequestProcessor::continueStream(BalancedRequest &request, const StreamOrigin &origin)
{
    if (origin.version == unknownVersion) {
        refuse(request, unknownOriginRefusal({}));
        return;
    }
    request.version = origin.version;
    // The route may have been split between services otherwise since the stream began.
    const std::vector<WeightedService> &services = request.route->services;
    const auto service = std::find_if(services.begin(), services.end(), [&](const auto &each) {
        return hash32(each.service) == origin.service;
    });
    // The catalog may name a service in a route and not describe it.
    const ServiceSpec *described
        = service == services.end() ? nullptr : request.routeTable->service(service->service);
    if (described)
        request.service = described;
    const bool isServed = described && m_targetSelector.hasListedTarget(request.targetNeeds());
    if (!isServed) {
        refuse(request,
               {503,
                "stream-version-gone",
                "no target runs the software version that began the stream",
                {}});
        return;
    }
    admit(request);
}

/// Records which software version began the stream, for callers who take it up.
void RequestProcessor::recordStreamOrigin(BalancedRequest &request)
{
    const auto stream = request.streamKey();
    if (!stream || !request.version)
        return;
    request.originRecordedAt = m_context.now;
    m_streamOrigins.record(*stream, request.service->name,
                           {hash32(request.service->name), *request.version, request.attempts});
}

std::optional<Refusal> RequestProcessor::resolveRequest(BalancedRequest &request,
                                                        const RequestArrived &event)
{
    if (m_context.now >= m_rejectNewRequestsFrom)
        return Refusal {503, "leaving", "the router stops", leavingRetryAfter};
    request.routeTable = m_context.routeTable;
    if (!request.routeTable)
        return Refusal {503, "starting", "the router has no catalog yet", startingRetryAfter};
    request.route = request.routeTable->route(event.host, event.path);
    if (!request.route)
        return unknownRefusal({404, "unknown-route", "no route matches host and path", {}});
    if (request.routeTable->needsCredentials()) {
        const WorkspaceSpec *workspace
            = request.routeTable->workspaceForCredential(event.credential);
        if (!workspace && !request.route->isPublic)
            return unknownRefusal(
                {401, "unknown-credential", "no workspace has this credential", {}});
        if (workspace)
            request.workspace = WorkspaceId(workspace->name);
    }
    request.fingerprint = fingerprintOf(event, request.workspace);
    if (request.route->requestKind() == RequestKind::Stream)
        request.resumption = event.resumption;
    const bool namesFirstRequest = event.resumption && !event.resumption->firstRequestId.empty();
    const std::string *service = selectService(
        *request.route, namesFirstRequest ? event.resumption->firstRequestId : event.requestId);
    request.service = service ? request.routeTable->service(*service) : nullptr;
    if (!request.service)
        return Refusal {503, "no-service", "the route's service is not known", noTargetRetryAfter};
    Duration limit = event.deadline.value_or(defaultDeadline);
    if (request.route->timeoutMs > 0)
        limit = std::min(limit, fromMilliseconds(request.route->timeoutMs));
    request.deadline = m_context.now + limit;
    if (event.prompt && request.service->isEngine) {
        request.chain = prefixChainOf(*event.prompt);
        request.sharedParts = sharedPartIds(*event.prompt);
    }
    return std::nullopt;
}

/// Returns the refusal for a route or credential that the catalog doesn't contain. It is final only
/// if no peer has a newer catalog: callers don't repeat a request that gets a 401 or 404.
Refusal RequestProcessor::unknownRefusal(Refusal refusal) const
{
    if (!m_context.isCatalogOutdated())
        return refusal;
    return {503, "outdated-catalog", refusal.title, outdatedCatalogRetryAfter};
}

std::optional<Refusal> RequestProcessor::placeRequest(BalancedRequest &request, bool isFirst)
{
    const TargetNeeds needs = request.targetNeeds();
    const auto choice = chooseTarget(request);
    const Duration at = m_context.now - request.arrivedAt;
    if (!choice) {
        request.trace.add(at, NoTargetStep {});
        if (const auto pause = m_targetSelector.remainingPause(needs))
            return Refusal {503, "targets-paused", "all targets asked for a pause",
                            addRetryJitter(std::max(*pause, noTargetRetryAfter), m_random)};
        return Refusal {503, "no-target", "no target can take the request now",
                        addRetryJitter(noTargetRetryAfter, m_random)};
    }
    PlacementStep step;
    step.choice = *choice;
    std::optional<Refusal> refusal
        = isFirst ? checkAdmission(request, *choice, step) : std::nullopt;
    if (!refusal && !m_targetSelector.reserve(*choice, needs)) {
        refusal = Refusal {503, "target-cold", "the targets are cold",
                           addRetryJitter(noTargetRetryAfter, m_random)};
    }
    step.isAccepted = !refusal;
    request.trace.add(at, std::move(step));
    if (refusal)
        return refusal;
    if (isFirst) {
        const double demand = demandOf(request);
        m_shares.onAdmitted(request.workspaceKey(), demand, m_context.now);
        m_tally.admitted(request, demand);
        request.isAdmitted = true;
    }
    start(request, *choice);
    return std::nullopt;
}

/// Returns a target at which the request has not failed. Targets that were only silent come last.
std::optional<TargetChoice> RequestProcessor::chooseTarget(const BalancedRequest &request)
{
    const TargetNeeds needs = request.targetNeeds();
    if (request.silentTargets.empty())
        return m_targetSelector.choose(needs, request.excludedTargets);
    std::vector<TargetKey> excludedTargets = request.excludedTargets;
    excludedTargets.insert(excludedTargets.end(), request.silentTargets.begin(),
                           request.silentTargets.end());
    if (auto choice = m_targetSelector.choose(needs, excludedTargets))
        return choice;
    return m_targetSelector.choose(needs, request.excludedTargets);
}

std::optional<Refusal> RequestProcessor::checkAdmission(BalancedRequest &request,
                                                        const TargetChoice &choice,
                                                        PlacementStep &step)
{
    double secondsOver = 0;
    if (request.chain) {
        const WorkspaceKey workspace = request.workspaceKey();
        m_shares.onRequested(workspace, demandOf(request), m_context.now);
        secondsOver = m_shares.secondsOverShare(workspace, m_context.now);
        step.shareStatus = m_shares.shareStatus(workspace, m_context.now);
    }
    step.isWithinShare = secondsOver <= 0;
    const double target = request.route->latencyTargetMs;
    if (target <= 0)
        return std::nullopt;
    const double allowed
        = maxQueueWaitMs({target, choice.readMs, secondsOver, step.shareStatus.isLimited});
    step.allowedMs = allowed;
    if (choice.waitMs <= allowed)
        return std::nullopt;
    if (step.isWithinShare || choice.waitMs > maxQueueWaitMs({target, choice.readMs, 0})) {
        m_shares.onRejected(demandOf(request), m_context.now);
    } else {
        m_shares.onHeldBack(demandOf(request), m_context.now);
        m_tally.heldBack(request);
    }
    // The queue shrinks by the excess in this time, provided that callers don't retry earlier.
    const auto excess = fromSeconds((choice.waitMs - allowed) / 1000);
    return Refusal {503, step.isWithinShare ? "full" : "beyond-share",
                    "the targets have more to do than would be done in time",
                    addRetryJitter(std::max(excess, fullRetryAfter), m_random),
                    !step.isWithinShare};
}

void RequestProcessor::start(BalancedRequest &request, const TargetChoice &choice)
{
    ++request.attempts;
    request.choice = choice;
    request.isRunning = true;
    request.hasResponseStarted = false;
    request.isSilent = false;
    request.dispatchedAt = m_context.now;
    // From here on a byte may be sent at any moment. Only a report of the event loop that none was
    // sent, or of the target that the request has not run, reverts the verdict.
    request.verdictBeforeAttempt = request.verdict;
    request.verdict = Verdict::MayHaveRun;
    step(request, RequestSignal::Dispatched);

    const Duration left = request.deadline - m_context.now;
    Dispatch dispatch;
    dispatch.handle = request.handle;
    dispatch.attempt = request.attempts;
    dispatch.target = choice.target;
    dispatch.targetBoot = choice.boot;
    dispatch.endpoint = choice.endpoint;
    dispatch.notAfter = request.deadline;
    dispatch.attemptTimeout = left;
    dispatch.timeLeft = left;
    if (request.chain)
        dispatch.expectedFirstByte = fromSeconds((choice.waitMs + choice.readMs) / 1000);
    dispatch.connectTimeout = std::chrono::milliseconds(400);
    dispatch.firstByteTimeout = std::min(left, firstByteLimit(request));
    dispatch.idleTimeout = allowsAnotherAttempt(request) ? std::min(left, maxSilence) : left;
    dispatch.silencePolicy = SilencePolicy::Report;
    dispatch.isResumed = request.isPartlyDelivered;
    if (request.attempts == 1 && request.originBasis)
        dispatch.originBasis = originBasisName(*request.originBasis);
    dispatch.workspace = request.workspace;
    dispatch.resendPolicy
        = request.route->isRetryable() ? ResendPolicy::Allowed : ResendPolicy::Forbidden;
    dispatch.idleConnectionLimit = idleConnectionLimit(
        request.service->connectionLimit, m_context.peers.limitShareCount(m_context.now));
    m_context.emit(std::move(dispatch));
}

/// Returns the time to the first byte after which the request is offered to another target. Applies
/// only if the request may be retried.
Duration RequestProcessor::firstByteLimit(const BalancedRequest &request) const
{
    const Duration left = request.deadline - m_context.now;
    if (!allowsAnotherAttempt(request))
        return left;
    constexpr Duration minTimeout = std::chrono::milliseconds(600);
    constexpr Duration maxTimeout = std::chrono::milliseconds(1600);
    const auto expected = fromSeconds((request.choice.waitMs + request.choice.readMs) / 1000 * 3);
    const Duration latencyBound = fromMilliseconds(request.route->latencyTargetMs) * 3;
    return std::clamp(std::max(expected, latencyBound), minTimeout, maxTimeout);
}

/// Returns whether a further attempt would be allowed if the attempt that is starting fails without
/// a response.
bool RequestProcessor::allowsAnotherAttempt(const BalancedRequest &request) const
{
    return request.route->isRetryable() && request.sentAttempts + 1 < request.route->attempts;
}

void RequestProcessor::onHead(const AttemptHead &event)
{
    BalancedRequest *request = find(event.handle, event.attempt);
    if (!request)
        return;
    step(*request, RequestSignal::HeadCame);
    if (std::exchange(request->hasResponseStarted, true))
        return;
    request->responseStartedAt = m_context.now;
    const Duration at = m_context.now - request->arrivedAt;
    request->trace.add(at, ResponseStartedStep {event.status});
    if (!request->firstResponseDelay) {
        request->firstResponseDelay = at;
        const bool isLate = request->isLate(m_context.now);
        m_tally.begun(*request, demandOf(*request), isLate);
        if (isLate)
            m_shares.onLate(demandOf(*request), m_context.now);
    }
    m_targetSelector.onFirstEvent(request->choice, m_context.now - request->dispatchedAt);
    m_crashDetector.onResponseStarted(*request);
}

void RequestProcessor::onFirstEvent(const FirstEventRelayed &event)
{
    BalancedRequest *request = find(event.handle, event.attempt);
    if (!request)
        return;
    bindToVersion(*request);
    recordStreamOrigin(*request);
}

/// Binds the rest of a response whose events the caller has to the version of its target. If the
/// target was listed with another one since it was selected, the events may be of either.
void RequestProcessor::bindToVersion(BalancedRequest &request)
{
    const VersionKey version = m_targetSelector.versionOf(request.choice);
    if (!request.version || version == unknownVersion)
        request.version = version;
}

void RequestProcessor::onDone(const AttemptDone &event)
{
    BalancedRequest *request = find(event.handle, event.attempt);
    if (!request)
        return;
    request->verdict = Verdict::Ran;
    request->hasCrashEvidence = true;
    m_crashDetector.onCompleted(*request, event);
    m_targetSelector.health(request->choice.key).onCompleteResponse(m_context.now);
    if (!request->chain)
        m_targetSelector.onResponseCompleted(request->service->name,
                                             m_context.now - request->dispatchedAt);
    endAttempt(*request);
    step(*request, RequestSignal::AnswerEnded);
    m_log.answered(*request, event);
    finish(event.handle);
}

void RequestProcessor::onFailed(const AttemptFailed &event)
{
    BalancedRequest *request = find(event.handle, event.attempt);
    if (!request)
        return;
    updateTargetHealth(*request, event);
    endAttempt(*request);
    if (isKnownNotRun(event))
        request->verdict = request->verdictBeforeAttempt;
    if (event.sentAny && event.failure != AttemptFailure::OtherTarget)
        ++request->sentAttempts;
    request->isPartlyDelivered = request->isPartlyDelivered || event.answerBegun;
    if (event.answerBegun)
        bindToVersion(*request);
    request->excludedTargets.push_back(request->choice.key);
    m_tally.attemptFailed(*request, failureName(event.failure));
    request->trace.add(m_context.now - request->arrivedAt,
                       AttemptFailedStep {request->choice.target, failureName(event.failure),
                                          event.status, event.sentAny, event.silentFor,
                                          m_targetSelector.silentFor(request->choice.key)});
    if (mayRetry(*request, event)) {
        step(*request, RequestSignal::Retried);
        if (!placeRequest(*request, false))
            return;
    }
    finishFailed(*request, event);
}

void RequestProcessor::onSilent(const AttemptSilent &event)
{
    BalancedRequest *request = find(event.handle, event.attempt);
    if (!request)
        return;
    if (!std::exchange(request->isSilent, true)) {
        m_targetSelector.health(request->choice.key).onFailedResponse(m_context.now);
        request->trace.add(m_context.now - request->arrivedAt,
                           TargetSilentStep {request->choice.target, event.silentFor,
                                             m_targetSelector.silentFor(request->choice.key)});
    }
    if (!mayReplace(*request, event) || !tryReplace(*request, event))
        m_context.emit(ContinueAttempt {event.handle, event.attempt, silenceRecheckPeriod});
}

bool RequestProcessor::mayReplace(const BalancedRequest &request, const AttemptSilent &event) const
{
    return event.canContinueElsewhere && allowsAnotherAttempt(request)
        && request.attempts < maxAttempts && !m_crashDetector.isQuarantined(request);
}

bool RequestProcessor::tryReplace(BalancedRequest &request, const AttemptSilent &event)
{
    if (event.answerBegun)
        bindToVersion(request);
    const TargetNeeds needs = request.targetNeeds();
    std::vector<TargetKey> excludedTargets = request.excludedTargets;
    excludedTargets.insert(excludedTargets.end(), request.silentTargets.begin(),
                           request.silentTargets.end());
    excludedTargets.push_back(request.choice.key);
    const auto choice = m_targetSelector.choose(needs, excludedTargets);
    if (!choice)
        return false;
    const Duration left = request.deadline - m_context.now;
    const Duration expected = fromSeconds((choice->waitMs + choice->busyMs) / 1000);
    const bool isInTime = expected + minTimeLeft < left;
    if (!isInTime || !takeRetry(request, silenceRetryFraction)
        || !m_targetSelector.reserve(*choice, needs))
        return false;
    endAttempt(request);
    ++request.sentAttempts;
    request.silentTargets.push_back(request.choice.key);
    request.isPartlyDelivered = request.isPartlyDelivered || event.answerBegun;
    m_tally.attemptFailed(request, "silent");
    step(request, RequestSignal::Retried);
    PlacementStep placement;
    placement.choice = *choice;
    placement.isAccepted = true;
    request.trace.add(m_context.now - request.arrivedAt, std::move(placement));
    start(request, *choice);
    return true;
}

void RequestProcessor::updateTargetHealth(BalancedRequest &request, const AttemptFailed &event)
{
    TargetHealth &health = m_targetSelector.health(request.choice.key);
    const TimePoint now = m_context.now;
    switch (event.failure) {
    case AttemptFailure::ConnectRefused:
        m_crashDetector.onConnectionRefused(request);
        health.onConnectFailed(now);
        return;
    case AttemptFailure::ConnectTimeout:
    case AttemptFailure::OtherTarget: // The listed target is no longer at this address.
        health.onConnectFailed(now);
        return;
    case AttemptFailure::Timeout:
        if (now < request.deadline)
            health.onConnectionBroken(now);
        return;
    case AttemptFailure::Reset:
    case AttemptFailure::TruncatedResponse:
        if (event.sentAny) {
            health.onConnectionBroken(now);
            m_log.interrupted(request, failureName(event.failure));
            request.hasCrashEvidence = true;
            m_crashDetector.onInterrupted(request);
        }
        return;
    case AttemptFailure::InvalidResponse:
    case AttemptFailure::TargetError:
    case AttemptFailure::NotRun:
        health.onFailedResponse(now);
        return;
    case AttemptFailure::Withheld:
        return;
    }
}

bool RequestProcessor::mayRetry(BalancedRequest &request, const AttemptFailed &event)
{
    if (request.deadline - m_context.now < minTimeLeft || request.attempts >= maxAttempts)
        return false;
    if (!event.canContinueElsewhere)
        return false;
    if (!isKnownNotRun(event) && !request.route->isRetryable())
        return false;
    if (request.sentAttempts >= request.route->attempts)
        return false;
    const bool isUnfinishedRerun = request.isRerun && request.verdict == Verdict::NotRun;
    if (!isUnfinishedRerun && m_crashDetector.isQuarantined(request))
        return false;
    if (!event.sentAny)
        return true; // Nothing reached a target, so a retry repeats nothing.
    return takeRetry(request);
}

/// Takes one retry from the given fraction of the budget of the request's service if one is left.
bool RequestProcessor::takeRetry(const BalancedRequest &request, double fraction)
{
    return m_retries[request.service->name].tryTake(m_context.options.retries,
                                                    m_context.peers.limitShareCount(m_context.now),
                                                    m_context.now, fraction);
}

void RequestProcessor::finishFailed(BalancedRequest &request, const AttemptFailed &event)
{
    if (event.hasHeldResponse && !request.isRunning) {
        m_context.emit(RelayHeldResponse {event.handle, event.attempt});
        step(request, RequestSignal::GivenUp);
        finish(request.handle);
        return;
    }
    if (request.verdict == Verdict::NotRun) {
        const auto pause = m_targetSelector.remainingPause(request.targetNeeds());
        refuse(
            request,
            {503, "target-refused", "no target took the request",
             addRetryJitter(std::max(pause.value_or(fullRetryAfter), fullRetryAfter), m_random)});
        return;
    }
    const bool isLate = m_context.now + std::chrono::milliseconds(5) >= request.deadline;
    refuse(request,
           {isLate ? 504U : 502U,
            isLate ? "deadline" : "target-failed",
            std::string("the target failed: ") + failureName(event.failure),
            {}});
}

void RequestProcessor::abortQuarantined()
{
    if (!m_crashDetector.takeNewQuarantine())
        return;
    std::vector<RequestHandle> quarantined;
    for (const auto &[handle, request] : m_requests) {
        const bool isWaiting = request.isRunning && !request.hasResponseStarted && !request.isRerun;
        if (isWaiting && m_crashDetector.isQuarantined(request))
            quarantined.push_back(handle);
    }
    for (const RequestHandle handle : quarantined) {
        BalancedRequest &request = m_requests.at(handle);
        m_context.emit(AbortAttempt {handle, request.attempts});
        endAttempt(request);
        refuse(request, CrashDetector::partRefusal());
    }
}

void RequestProcessor::onLag(const TrafficThreadReport &event)
{
    m_overloadLog.onLag(event);
    m_tally.turnedAway(event.shed);
}

bool RequestProcessor::getsMostOfItsShare(CredentialKey credential) const
{
    const WorkspaceSpec *workspace = m_context.routeTable
        ? m_context.routeTable->workspaceForCredentialHash(credential)
        : nullptr;
    return workspace && m_shares.getsMostOfItsShare(hash32(workspace->name), m_context.now);
}

void RequestProcessor::onCallerGone(const CallerGone &event)
{
    const auto found = m_requests.find(event.handle);
    if (found == m_requests.end())
        return;
    BalancedRequest &request = found->second;
    if (request.isRunning) {
        m_context.emit(AbortAttempt {request.handle, request.attempts});
        endAttempt(request);
    }
    step(request, RequestSignal::CallerGone);
    m_log.callerGone(request);
    finish(event.handle);
}

void RequestProcessor::tick()
{
    m_crashDetector.tick();
    m_log.tick();
    m_overloadLog.tick(m_requests.size());
    for (auto &[handle, request] : m_requests) {
        if (request.isRunning && request.originRecordedAt > TimePoint {}
            && m_context.now - request.originRecordedAt > originRecordPeriod) {
            bindToVersion(request);
            recordStreamOrigin(request);
        }
    }
    const double configuredTokensPerSecond
        = m_context.routeTable ? m_context.routeTable->catalog().tokensPerSecond : 0;
    m_shares.update(configuredTokensPerSecond, m_context.now);
    m_tally.tick(m_shares.fleet());
    if (m_shares.isOverloaded() == m_wasOverloaded)
        return;
    m_wasOverloaded = m_shares.isOverloaded();
    Json::Value fields;
    fields["named"] = configuredTokensPerSecond;
    fields["level"] = std::min(m_shares.fleet().fairRate, configuredTokensPerSecond);
    m_context.log(m_wasOverloaded ? LogEventId::FleetFull : LogEventId::FleetHasRoom, "",
                  std::move(fields));
}

void RequestProcessor::abortAll()
{
    std::vector<RequestHandle> handles;
    for (const auto &[handle, request] : m_requests)
        handles.push_back(handle);
    for (const RequestHandle handle : handles) {
        BalancedRequest &request = m_requests.at(handle);
        if (request.isRunning) {
            m_context.emit(AbortAttempt {handle, request.attempts});
            endAttempt(request);
        }
        refuse(request, {502, "stopping", "the router stops and can't wait for the answer", {}});
    }
}

BalancedRequest *RequestProcessor::find(RequestHandle handle, AttemptNumber attempt)
{
    const auto found = m_requests.find(handle);
    if (found == m_requests.end() || found->second.attempts != attempt || !found->second.isRunning)
        return nullptr;
    return &found->second;
}

void RequestProcessor::step(BalancedRequest &request, RequestSignal signal)
{
    m_context.stateMachines.request.step(request.state, signal);
}

void RequestProcessor::endAttempt(BalancedRequest &request)
{
    assert(request.isRunning && "an attempt must end only once");
    request.isRunning = false;
    m_targetSelector.onAttemptEnded(request.choice, request.hasResponseStarted);
}

void RequestProcessor::refuse(BalancedRequest &request, const Refusal &refusal)
{
    m_log.refused(request, refusal);
    m_tally.refused(request, refusal.type);
    m_context.emit(Refuse {request.handle, refusal.status, request.verdict, refusal.title,
                           refusal.type, refusal.retryAfter, refusal.isOverShare});
    step(request, RequestSignal::GivenUp);
    finish(request.handle);
}

void RequestProcessor::refuseEarly(const RequestArrived &event, const Refusal &refusal)
{
    m_log.refusedEarly(event, refusal);
    m_context.emit(Refuse {event.handle, refusal.status, Verdict::NotRun, refusal.title,
                           refusal.type, refusal.retryAfter});
}

void RequestProcessor::finish(RequestHandle handle)
{
    const auto found = m_requests.find(handle);
    if (found->second.isAdmitted && !found->second.firstResponseDelay)
        m_tally.endedUnbegun(found->second, demandOf(found->second));
    if (found->second.isRerun && !found->second.hasCrashEvidence)
        m_crashDetector.endRerun(found->second);
    m_requests.erase(found);
}

} // namespace berylridge
