#include "Callers.h"

#include "Rig.h"

#include <cmath>
#include <cstdio>

namespace berylridge::rig {

namespace {

constexpr Duration lookPeriod = std::chrono::milliseconds(100);
constexpr double unevenness = 1.5; ///< Exponent of a workspace's spread over nodes.

} // namespace

Callers::Callers(Rig &rig, CallerOptions options)
    : m_rig(rig)
    , m_options(std::move(options))
    , m_factor(rig.options.workspaces, 1.0)
{
    if (m_options.demand.empty())
        m_options.demand.assign(rig.options.workspaces, 1.0);
    for (std::size_t i = 0; i < rig.options.workspaces; ++i) {
        auto &weights = m_spread.emplace_back();
        for (std::size_t j = 0; j < rig.nodes.size(); ++j)
            weights.push_back(std::pow(0.02 + uniform(rig.world.random), unevenness));
    }
}

void Callers::start()
{
    m_isOn = true;
    for (std::size_t i = 0; i < m_factor.size(); ++i) {
        for (const Kind kind : {Kind::Generation, Kind::Lookup, Kind::Purchase})
            arrive(kind, i);
    }
}

double Callers::rate(Kind kind, std::size_t workspace) const
{
    double sum = 0;
    for (const double demand : m_options.demand)
        sum += demand;
    const double share = m_factor[workspace] * m_options.demand[workspace] / sum;
    const double slots = m_rig.options.engineSlots * static_cast<double>(m_rig.options.engines);
    switch (kind) {
    case Kind::Generation:
        return share * m_options.engineLoad * slots / m_options.meanCost;
    case Kind::Lookup:
        return share * m_options.lookupsPerSecond;
    case Kind::Purchase:
        return share * m_options.purchasesPerSecond;
    }
    return 0;
}

void Callers::arrive(Kind kind, std::size_t workspace)
{
    RandomEngine &random = m_rig.world.random;
    const double perSecond = rate(kind, workspace);
    if (perSecond <= 0)
        return;
    const double wait = std::exponential_distribution<double>(perSecond)(random);
    m_rig.world.queue.after(fromSeconds(wait), [this, kind, workspace] {
        if (!m_isOn)
            return;
        CallerRequest request = kind == Kind::Generation ? generation(workspace)
            : kind == Kind::Lookup
            ? lookup(workspace)
            : purchase(workspace, uniform(m_rig.world.random) >= m_options.keyless);
        const bool isTwice = request.key && uniform(m_rig.world.random) < m_options.asksTwice;
        const std::size_t node = chooseNode(workspace, m_rig.nodes.size());
        CallerRequest &sent = send(std::move(request), node);
        if (isTwice)
            attempt(sent, chooseNode(workspace, node));
        arrive(kind, workspace);
    });
}

CallerRequest Callers::generation(std::size_t workspace)
{
    CallerRequest request;
    request.workspace = workspace;
    request.service = Rig::engineService;
    request.method = "POST";
    request.path = "/generate";
    const double mu = std::log(m_options.meanCost) - m_options.costSigma * m_options.costSigma / 2;
    std::lognormal_distribution<double> cost(mu, m_options.costSigma);
    request.cost = std::min(cost(m_rig.world.random), 5 * m_options.meanCost);
    request.bodyHash = m_nextBody++;
    return request;
}

CallerRequest Callers::lookup(std::size_t workspace)
{
    CallerRequest request;
    request.workspace = workspace;
    request.service = Rig::applicationService;
    request.method = "GET";
    request.path = "/recipes/1";
    request.cost = 0.02;
    return request;
}

CallerRequest Callers::purchase(std::size_t workspace, bool hasKey)
{
    CallerRequest request;
    request.workspace = workspace;
    request.service = Rig::applicationService;
    request.method = "POST";
    request.path = "/purchases";
    request.isIdempotent = false;
    request.cost = 0.05 + 0.3 * uniform(m_rig.world.random);
    request.bodyHash = m_nextBody++;
    if (hasKey)
        request.key = newKey();
    return request;
}

/// A UUIDv7 (RFC 9562): 48 bits of milliseconds, then random bits.
std::string Callers::newKey()
{
    const auto ms
        = static_cast<std::uint64_t>(m_rig.world.queue.wallNow().time_since_epoch().count());
    const std::uint64_t a = m_rig.world.random();
    const std::uint64_t b = m_rig.world.random();
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
    CallerRequest &kept = m_rig.world.journal.add(std::move(request));
    attempt(kept, node);
    return kept;
}

void Callers::sendDeadly(std::size_t workspace, std::size_t times)
{
    CallerRequest request = generation(workspace);
    request.isDeadly = true;
    CallerRequest &sent = send(std::move(request), chooseNode(workspace, m_rig.nodes.size()));
    for (std::size_t i = 1; i < times; ++i) {
        m_rig.world.queue.after(std::chrono::seconds(2 * i), [this, &sent, workspace] {
            attempt(sent, chooseNode(workspace, sent.tries.back()->node));
        });
    }
}

/// The balancer: among nodes that look ready, by the workspace's spread.
std::size_t Callers::chooseNode(std::size_t workspace, std::size_t avoided)
{
    std::vector<double> weights = m_spread[workspace];
    for (std::size_t i = 0; i < weights.size(); ++i) {
        const FakeNode &node = *m_rig.nodes[i];
        // The balancer notices a pause late: now and then it still sends there.
        const bool isSent
            = node.isReady() || (node.isPaused() && uniform(m_rig.world.random) < 0.2);
        if (!isSent || i == avoided)
            weights[i] = 0;
    }
    double sum = 0;
    for (const double weight : weights)
        sum += weight;
    if (sum <= 0)
        return avoided < weights.size() ? avoided : 0;
    return std::discrete_distribution<std::size_t>(weights.begin(),
                                                   weights.end())(m_rig.world.random);
}

void Callers::attempt(CallerRequest &request, std::size_t node)
{
    FakeNode &router = *m_rig.nodes[node];
    // The balancer has nobody: the caller sees a refused connection.
    if (!router.isUp())
        return;
    CallerTry &callerTry = m_rig.world.journal.begin(request, node);
    RequestArrived event;
    event.service = m_rig.services[request.service].service;
    event.credential = m_rig.credentials[request.workspace];
    event.method = request.method;
    event.path = request.path;
    event.idempotencyKey = request.key;
    event.bodyHash = request.bodyHash;
    event.bodyBytes = 500;
    router.arrive(callerTry, event);
    m_rig.world.queue.after(m_options.patience, [this, &router, &callerTry] {
        if (callerTry.ending != Ending::Open)
            return;
        if (!router.wasDisturbed(callerTry.at)) {
            m_rig.world.journal.fail("own answer",
                                     callerTry.id + " hung until its caller left"
                                         + historyOf(*callerTry.request));
        }
        router.callerGone(callerTry);
    });
    if (!request.isDeadly)
        look(request, callerTry);
}

/// Looks now and then whether the try has ended, and sends again where that makes sense.
void Callers::look(CallerRequest &request, CallerTry &callerTry)
{
    m_rig.world.queue.after(lookPeriod, [this, &request, &callerTry] {
        if (callerTry.ending == Ending::Open) {
            look(request, callerTry);
            return;
        }
        const bool isLast = request.tries.back().get() == &callerTry;
        if (!isLast || !maySendAgain(request, callerTry))
            return;
        const double wait = 0.2 + uniform(m_rig.world.random);
        m_rig.world.queue.after(fromSeconds(wait), [this, &request, &callerTry] {
            if (m_isOn)
                attempt(request, chooseNode(request.workspace, callerTry.node));
        });
    });
}

bool Callers::maySendAgain(const CallerRequest &request, const CallerTry &callerTry) const
{
    if (request.tries.size() >= m_options.mostTries)
        return false;
    switch (callerTry.ending) {
    case Ending::NotRun:
        return request.service == Rig::applicationService;
    case Ending::MayHaveRun:
    case Ending::Cut:
    case Ending::Lost:
        return request.isIdempotent || request.key;
    default:
        return false;
    }
}

} // namespace berylridge::rig
