#include "Callers.h"

#include "Rig.h"

#include <cmath>
#include <cstdio>

namespace berylridge::rig {

namespace {

constexpr Duration attemptPollPeriod = std::chrono::milliseconds(100);
constexpr double nodeSkewExponent = 1.5; ///< Higher values make the nodes' weights less equal.

} // namespace

Callers::Callers(Rig &rig, CallerOptions options)
    : m_rig(rig)
    , m_options(std::move(options))
    , m_loadFactors(rig.options.workspaces, 1.0)
{
    if (m_options.demandWeights.empty())
        m_options.demandWeights.assign(rig.options.workspaces, 1.0);
    for (std::size_t i = 0; i < rig.options.workspaces; ++i) {
        auto &weights = m_nodeWeights.emplace_back();
        for (std::size_t j = 0; j < rig.nodes.size(); ++j)
            weights.push_back(std::pow(0.02 + uniform(rig.simulation.random), nodeSkewExponent));
    }
}

void Callers::start()
{
    m_isRunning = true;
    for (std::size_t i = 0; i < m_loadFactors.size(); ++i) {
        for (const RequestKind kind :
             {RequestKind::Generation, RequestKind::Lookup, RequestKind::Purchase})
            scheduleNextArrival(kind, i);
    }
}

double Callers::arrivalRate(RequestKind kind, std::size_t workspace) const
{
    double sum = 0;
    for (const double weight : m_options.demandWeights)
        sum += weight;
    const double share = m_loadFactors[workspace] * m_options.demandWeights[workspace] / sum;
    const double slots = m_rig.options.engineSlots * static_cast<double>(m_rig.options.engines);
    switch (kind) {
    case RequestKind::Generation:
        return share * m_options.engineLoad * slots / m_options.meanCost;
    case RequestKind::Lookup:
        return share * m_options.lookupsPerSecond;
    case RequestKind::Purchase:
        return share * m_options.purchasesPerSecond;
    }
    return 0;
}

void Callers::scheduleNextArrival(RequestKind kind, std::size_t workspace)
{
    RandomEngine &random = m_rig.simulation.random;
    const double perSecond = arrivalRate(kind, workspace);
    if (perSecond <= 0)
        return;
    const double wait = std::exponential_distribution<double>(perSecond)(random);
    m_rig.simulation.queue.scheduleAfter(fromSeconds(wait), [this, kind, workspace] {
        if (!m_isRunning)
            return;
        CallerRequest request = kind == RequestKind::Generation ? makeGeneration(workspace)
            : kind == RequestKind::Lookup
            ? makeLookup(workspace)
            : makePurchase(workspace, uniform(m_rig.simulation.random) >= m_options.keylessRatio);
        const bool isDuplicated
            = request.key && uniform(m_rig.simulation.random) < m_options.duplicateRatio;
        const std::size_t node = chooseNode(workspace, m_rig.nodes.size());
        CallerRequest &sent = send(std::move(request), node);
        if (isDuplicated)
            submit(sent, chooseNode(workspace, node));
        scheduleNextArrival(kind, workspace);
    });
}

CallerRequest Callers::makeGeneration(std::size_t workspace)
{
    CallerRequest request;
    request.workspace = workspace;
    request.service = Rig::engineService;
    request.method = "POST";
    request.path = "/generate";
    const double mu = std::log(m_options.meanCost) - m_options.costSigma * m_options.costSigma / 2;
    std::lognormal_distribution<double> cost(mu, m_options.costSigma);
    request.cost = std::min(cost(m_rig.simulation.random), 5 * m_options.meanCost);
    request.bodyHash = m_nextBodyHash++;
    return request;
}

CallerRequest Callers::makeLookup(std::size_t workspace)
{
    CallerRequest request;
    request.workspace = workspace;
    request.service = Rig::applicationService;
    request.method = "GET";
    request.path = "/recipes/1";
    request.cost = 0.02;
    return request;
}

CallerRequest Callers::makePurchase(std::size_t workspace, bool hasKey)
{
    CallerRequest request;
    request.workspace = workspace;
    request.service = Rig::applicationService;
    request.method = "POST";
    request.path = "/purchases";
    request.isIdempotent = false;
    request.cost = 0.05 + 0.3 * uniform(m_rig.simulation.random);
    request.bodyHash = m_nextBodyHash++;
    if (hasKey)
        request.key = makeIdempotencyKey();
    return request;
}

/// Returns a UUIDv7 (RFC 9562): 48 bits of milliseconds, then random bits.
std::string Callers::makeIdempotencyKey()
{
    const auto ms
        = static_cast<std::uint64_t>(m_rig.simulation.queue.wallNow().time_since_epoch().count());
    const std::uint64_t a = m_rig.simulation.random();
    const std::uint64_t b = m_rig.simulation.random();
    char text[37];
    std::snprintf(text, sizeof text, "%08x-%04x-7%03x-%04x-%012llx",
                  static_cast<unsigned>(ms >> 16), static_cast<unsigned>(ms & 0xffff),
                  static_cast<unsigned>(a & 0xfff),
                  static_cast<unsigned>(0x8000 | (a >> 20 & 0x3fff)),
                  static_cast<unsigned long long>(b & 0xffffffffffffULL));
    return text;
}

CallerRequest &Callers::send(CallerRequest request, std::size_t node)
{
    CallerRequest &addedRequest = m_rig.simulation.journal.add(std::move(request));
    submit(addedRequest, node);
    return addedRequest;
}

void Callers::sendQueryOfDeath(std::size_t workspace, std::size_t times)
{
    CallerRequest request = makeGeneration(workspace);
    request.isQueryOfDeath = true;
    CallerRequest &sent = send(std::move(request), chooseNode(workspace, m_rig.nodes.size()));
    for (std::size_t i = 1; i < times; ++i) {
        m_rig.simulation.queue.scheduleAfter(std::chrono::seconds(2 * i), [this, &sent, workspace] {
            submit(sent, chooseNode(workspace, sent.attempts.back()->node));
        });
    }
}

/// Simulates the load balancer in front of the fleet: chooses among nodes that appear ready, by the
/// workspace's weights.
std::size_t Callers::chooseNode(std::size_t workspace, std::size_t excludedNode)
{
    std::vector<double> weights = m_nodeWeights[workspace];
    for (std::size_t i = 0; i < weights.size(); ++i) {
        const FakeNode &node = *m_rig.nodes[i];
        // The load balancer detects a pause late, so a paused node still receives some requests.
        const bool isRoutable
            = node.isReady() || (node.isPaused() && uniform(m_rig.simulation.random) < 0.2);
        if (!isRoutable || i == excludedNode)
            weights[i] = 0;
    }
    double sum = 0;
    for (const double weight : weights)
        sum += weight;
    if (sum <= 0)
        return excludedNode < weights.size() ? excludedNode : 0;
    return std::discrete_distribution<std::size_t>(weights.begin(),
                                                   weights.end())(m_rig.simulation.random);
}

void Callers::submit(CallerRequest &request, std::size_t node)
{
    FakeNode &router = *m_rig.nodes[node];
    // The load balancer found no running node, so the caller's connection is refused.
    if (!router.isUp())
        return;
    CallerAttempt &callerAttempt = m_rig.simulation.journal.beginAttempt(request, node);
    RequestArrived event;
    event.service = m_rig.services[request.service].service;
    event.credential = m_rig.credentials[request.workspace];
    event.method = request.method;
    event.path = request.path;
    event.idempotencyKey = request.key;
    event.bodyHash = request.bodyHash;
    event.bodyBytes = 500;
    router.acceptRequest(callerAttempt, event);
    m_rig.simulation.queue.scheduleAfter(m_options.callerTimeout, [this, &router, &callerAttempt] {
        if (callerAttempt.outcome != AttemptOutcome::Pending)
            return;
        if (!router.hadOutageSince(callerAttempt.sentAt)) {
            m_rig.simulation.journal.recordViolation(
                "own answer",
                callerAttempt.id + " received no response until its caller timed out"
                    + formatHistory(*callerAttempt.request));
        }
        router.onCallerDisconnected(callerAttempt);
    });
    if (!request.isQueryOfDeath)
        pollAttempt(request, callerAttempt);
}

/// Polls until the attempt has ended, and retries the request where a retry is allowed.
void Callers::pollAttempt(CallerRequest &request, CallerAttempt &callerAttempt)
{
    m_rig.simulation.queue.scheduleAfter(attemptPollPeriod, [this, &request, &callerAttempt] {
        if (callerAttempt.outcome == AttemptOutcome::Pending) {
            pollAttempt(request, callerAttempt);
            return;
        }
        const bool isLast = request.attempts.back().get() == &callerAttempt;
        if (!isLast || !isRetryAllowed(request, callerAttempt))
            return;
        const double wait = 0.2 + uniform(m_rig.simulation.random);
        m_rig.simulation.queue.scheduleAfter(fromSeconds(wait), [this, &request, &callerAttempt] {
            if (m_isRunning)
                submit(request, chooseNode(request.workspace, callerAttempt.node));
        });
    });
}

bool Callers::isRetryAllowed(const CallerRequest &request, const CallerAttempt &callerAttempt) const
{
    if (request.attempts.size() >= m_options.maxAttempts)
        return false;
    switch (callerAttempt.outcome) {
    case AttemptOutcome::NotRun:
        return request.service == Rig::applicationService;
    case AttemptOutcome::MayHaveRun:
    case AttemptOutcome::Truncated:
    case AttemptOutcome::NodeLost:
        return request.isIdempotent || request.key;
    default:
        return false;
    }
}

} // namespace berylridge::rig
