#include "Generator.h"

#include "AnswerText.h"
#include "Uuid.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <utility>

namespace berylridge {

namespace {

constexpr std::size_t maxFaultyResponses = 20;
constexpr auto minRetryDelay = std::chrono::milliseconds(50);
constexpr auto maxRetryDelay = std::chrono::milliseconds(1000);

/// Returns the delay before a purchase is retried: Retry-After, clamped to the limits above.
Duration retryDelay(const CallResult &result)
{
    const Duration requested
        = std::chrono::seconds(std::atoi(result.header("Retry-After").c_str()));
    return std::clamp<Duration>(requested, minRetryDelay, maxRetryDelay);
}

std::size_t randomIndex(RandomEngine &random, std::size_t count)
{
    return static_cast<std::size_t>(uniform(random) * static_cast<double>(count));
}

} // namespace

Generator::Generator(boost::asio::io_context &io, const Profile &profile)
    : m_io(io)
    , m_profile(profile)
    , m_client(io)
    , m_random(profile.seed)
{
    m_tally.workspaces.resize(profile.workspaces.size());
}

void Generator::start()
{
    m_endTime = std::chrono::steady_clock::now() + fromSeconds(m_profile.seconds);
    for (std::size_t i = 0; i < m_profile.workspaces.size(); ++i) {
        const auto &spec = m_profile.workspaces[i];
        startArrivals(i, RequestKind::Stream, spec.streams);
        startArrivals(i, RequestKind::Lookup, spec.lookups);
        startArrivals(i, RequestKind::Purchase, spec.purchases);
        for (std::uint32_t caller = 0; caller < spec.lookupCallers; ++caller) {
            LoadRequest request = makeRequest(i, RequestKind::Lookup);
            request.isClosedLoop = true;
            send(std::move(request));
        }
    }
}

void Generator::startArrivals(std::size_t workspace, RequestKind kind, double rate)
{
    if (rate <= 0)
        return;
    ++m_openArrivals;
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io);
    timer->expires_at(std::chrono::steady_clock::now());
    scheduleNext(timer, workspace, kind, rate);
}

void Generator::scheduleNext(const std::shared_ptr<boost::asio::steady_timer> &timer,
                             std::size_t workspace, RequestKind kind, double rate)
{
    const double interval = std::exponential_distribution<double>(rate)(m_random);
    const auto next = timer->expiry() + fromSeconds(interval);
    if (next >= m_endTime) {
        --m_openArrivals;
        return;
    }
    timer->expires_at(next);
    timer->async_wait([this, timer, workspace, kind, rate](boost::system::error_code error) {
        if (error)
            return;
        send(makeRequest(workspace, kind));
        scheduleNext(timer, workspace, kind, rate);
    });
}

Generator::LoadRequest Generator::makeRequest(std::size_t workspace, RequestKind kind)
{
    const auto &spec = m_profile.workspaces[workspace];
    const std::string uniqueName = spec.name + "-" + std::to_string(++m_requestCount);
    LoadRequest request;
    request.workspace = workspace;
    request.kind = kind;
    request.start = SystemClock().now();
    request.spec.timeout = m_profile.timeout;
    request.spec.headers
        = {{"Authorization", "Bearer " + spec.key}, {"X-Request-Id", "load-" + uniqueName}};
    if (m_profile.isDirect)
        request.spec.headers.emplace_back("X-Workspace", spec.name);
    request.spec.method = kind == RequestKind::Lookup ? "GET" : "POST";
    if (kind == RequestKind::Stream) {
        const auto range = spec.mostTokens - spec.fewestTokens + 1;
        const auto tokens = spec.fewestTokens + randomIndex(m_random, range);
        request.spec.target = "/generate";
        request.spec.body
            = R"({"prompt":")" + uniqueName + R"(","tokens":)" + std::to_string(tokens) + "}";
        request.expectedBody = completeStream(request.spec.body, tokens);
        request.tokens = tokens;
    } else if (kind == RequestKind::Lookup) {
        request.spec.target = "/recipes/" + uniqueName;
        request.expectedBody = lookupResponse(request.spec.target);
    } else {
        request.spec.target = "/purchases";
        request.spec.body = R"({"item":")" + uniqueName + R"("})";
        request.expectedBody = purchaseResponse(request.spec.body);
        request.key = uuidV7(SystemClock().wallNow(), m_random);
        request.spec.headers.emplace_back("Idempotency-Key", request.key);
        request.spec.timeout = m_profile.purchaseTimeout;
    }
    if (kind != RequestKind::Lookup)
        request.spec.headers.emplace_back("Content-Type", "application/json");
    chooseEndpoint(request);
    return request;
}

void Generator::chooseEndpoint(LoadRequest &request)
{
    if (m_profile.isDirect) {
        const auto &targets
            = request.kind == RequestKind::Stream ? m_profile.engines : m_profile.services;
        request.spec.endpoint = targets[randomIndex(m_random, targets.size())];
        return;
    }
    const auto &assignedRouters = m_profile.workspaces[request.workspace].routers;
    const auto routerIndex = assignedRouters.empty()
        ? randomIndex(m_random, m_profile.routers.size())
        : assignedRouters[randomIndex(m_random, assignedRouters.size())];
    request.router = routerIndex;
    request.spec.endpoint = m_profile.routers[routerIndex];
    const auto &service
        = request.kind == RequestKind::Stream ? m_profile.streamService : m_profile.plainService;
    request.spec.target = "/v1/services/" + service + request.spec.target;
}

void Generator::send(LoadRequest request)
{
    auto &tally = m_tally.workspaces[request.workspace];
    if (request.attempt == 1) {
        ++tally.sent;
        tally.tokensRequested += request.tokens;
    }
    if (request.kind == RequestKind::Stream)
        ++tally.openStreams;
    ++m_openRequests;
    const auto spec = request.spec;
    m_client.call(spec, [this, request = std::move(request)](const CallResult &result) mutable {
        onCallEnded(std::move(request), result);
    });
}

void Generator::onCallEnded(LoadRequest request, const CallResult &result)
{
    --m_openRequests;
    auto &tally = m_tally.workspaces[request.workspace];
    if (request.kind == RequestKind::Stream)
        --tally.openStreams;
    const Outcome outcome = classifyResponse(result, request.expectedBody, m_profile.isDirect);
    recordResponse(request, outcome, result);
    if (request.kind != RequestKind::Purchase)
        return finishRequest(request, outcome);
    auto &keyOutcome = m_tally.purchases[request.key];
    const bool isKnownNotRun = outcome == Outcome::NotRun || outcome == Outcome::ConnectFailed;
    keyOutcome.isServed = keyOutcome.isServed || outcome == Outcome::Served;
    keyOutcome.hasUnknownOutcome
        = keyOutcome.hasUnknownOutcome || (!isKnownNotRun && outcome != Outcome::Served);
    keyOutcome.isLastAttemptNotRun = outcome == Outcome::NotRun;
    const bool isFinal = outcome == Outcome::Served || outcome == Outcome::TargetError;
    if (isFinal || request.attempt >= m_profile.purchaseAttempts)
        return finishRequest(request, outcome);
    retryPurchase(std::move(request), result);
}

void Generator::finishRequest(const LoadRequest &request, Outcome outcome)
{
    auto &tally = m_tally.workspaces[request.workspace];
    tally.add(outcome);
    if (request.isClosedLoop && std::chrono::steady_clock::now() < m_endTime) {
        LoadRequest next = makeRequest(request.workspace, request.kind);
        next.isClosedLoop = true;
        send(std::move(next));
    }
    if (outcome != Outcome::Served)
        return;
    tally.tokensServed += request.tokens;
    if (request.kind == RequestKind::Lookup)
        tally.lookup.add(SystemClock().now() - request.start);
    if (request.kind == RequestKind::Purchase)
        tally.purchase.add(SystemClock().now() - request.start);
}

void Generator::recordResponse(const LoadRequest &request, Outcome outcome,
                               const CallResult &result)
{
    if (outcome == Outcome::Served && request.kind == RequestKind::Stream)
        m_tally.workspaces[request.workspace].firstByte.add(result.firstByte);
    if (outcome != Outcome::WrongBody && outcome != Outcome::MissingVerdict)
        return;
    if (m_tally.faultyResponses.size() < maxFaultyResponses) {
        m_tally.faultyResponses.push_back(
            std::string(outcomeName(outcome)) + ": " + request.spec.target + " "
            + std::to_string(result.status) + " " + result.body.substr(0, 200));
    }
}

void Generator::retryPurchase(LoadRequest request, const CallResult &result)
{
    ++request.attempt;
    if (!m_profile.isDirect) {
        request.router = (request.router + 1) % m_profile.routers.size();
        request.spec.endpoint = m_profile.routers[request.router];
    }
    ++m_openRequests;
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, retryDelay(result));
    timer->async_wait(
        [this, timer, request = std::move(request)](boost::system::error_code error) mutable {
            --m_openRequests;
            if (!error)
                send(std::move(request));
        });
}

} // namespace berylridge
