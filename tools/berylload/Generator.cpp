#include "Generator.h"

#include "AnswerText.h"
#include "Uuid.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <utility>

namespace berylridge {

namespace {

constexpr std::size_t mostWrongsKept = 20;
constexpr auto shortestPause = std::chrono::milliseconds(50);
constexpr auto longestPause = std::chrono::milliseconds(1000);

/// How long to wait before a purchase is sent again, as its refusal asks within limits.
Duration pauseAfter(const CallResult &result)
{
    const Duration asked = std::chrono::seconds(std::atoi(result.header("Retry-After").c_str()));
    return std::clamp<Duration>(asked, shortestPause, longestPause);
}

std::size_t pick(RandomEngine &random, std::size_t count)
{
    return static_cast<std::size_t>(uniform(random) * static_cast<double>(count));
}

} // namespace

Generator::Generator(boost::asio::io_context &io, const Profile &profile)
    : m_io(io)
    , m_profile(profile)
    , m_caller(io)
    , m_random(profile.seed)
{
    m_tally.workspaces.resize(profile.workspaces.size());
}

void Generator::start()
{
    m_end = std::chrono::steady_clock::now() + fromSeconds(m_profile.seconds);
    for (std::size_t i = 0; i < m_profile.workspaces.size(); ++i) {
        const auto &spec = m_profile.workspaces[i];
        arrivals(i, RequestKind::Stream, spec.streams);
        arrivals(i, RequestKind::Lookup, spec.lookups);
        arrivals(i, RequestKind::Purchase, spec.purchases);
        for (std::uint32_t caller = 0; caller < spec.lookupCallers; ++caller) {
            Job job = newJob(i, RequestKind::Lookup);
            job.isRepeated = true;
            send(std::move(job));
        }
    }
}

void Generator::arrivals(std::size_t workspace, RequestKind kind, double rate)
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
    const double gap = std::exponential_distribution<double>(rate)(m_random);
    const auto next = timer->expiry() + fromSeconds(gap);
    if (next >= m_end) {
        --m_openArrivals;
        return;
    }
    timer->expires_at(next);
    timer->async_wait([this, timer, workspace, kind, rate](boost::system::error_code error) {
        if (error)
            return;
        send(newJob(workspace, kind));
        scheduleNext(timer, workspace, kind, rate);
    });
}

Generator::Job Generator::newJob(std::size_t workspace, RequestKind kind)
{
    const auto &spec = m_profile.workspaces[workspace];
    const std::string serial = spec.name + "-" + std::to_string(++m_serial);
    Job job;
    job.workspace = workspace;
    job.kind = kind;
    job.start = SystemClock().now();
    job.spec.timeout = m_profile.timeout;
    job.spec.headers
        = {{"Authorization", "Bearer " + spec.key}, {"X-Request-Id", "load-" + serial}};
    if (m_profile.isDirect)
        job.spec.headers.emplace_back("X-Workspace", spec.name);
    job.spec.method = kind == RequestKind::Lookup ? "GET" : "POST";
    if (kind == RequestKind::Stream) {
        const auto range = spec.mostTokens - spec.fewestTokens + 1;
        const auto tokens = spec.fewestTokens + pick(m_random, range);
        job.spec.target = "/generate";
        job.spec.body = R"({"prompt":")" + serial + R"(","tokens":)" + std::to_string(tokens) + "}";
        job.wanted = wholeStream(job.spec.body, tokens);
        job.tokens = tokens;
    } else if (kind == RequestKind::Lookup) {
        job.spec.target = "/recipes/" + serial;
        job.wanted = lookupAnswer(job.spec.target);
    } else {
        job.spec.target = "/purchases";
        job.spec.body = R"({"item":")" + serial + R"("})";
        job.wanted = purchaseAnswer(job.spec.body);
        job.key = uuidV7(SystemClock().wallNow(), m_random);
        job.spec.headers.emplace_back("Idempotency-Key", job.key);
        job.spec.timeout = m_profile.purchaseTimeout;
    }
    if (kind != RequestKind::Lookup)
        job.spec.headers.emplace_back("Content-Type", "application/json");
    address(job);
    return job;
}

void Generator::address(Job &job)
{
    if (m_profile.isDirect) {
        const auto &targets
            = job.kind == RequestKind::Stream ? m_profile.engines : m_profile.services;
        job.spec.endpoint = targets[pick(m_random, targets.size())];
        return;
    }
    const auto &own = m_profile.workspaces[job.workspace].routers;
    const auto drawn
        = own.empty() ? pick(m_random, m_profile.routers.size()) : own[pick(m_random, own.size())];
    job.router = drawn;
    job.spec.endpoint = m_profile.routers[drawn];
    const auto &service
        = job.kind == RequestKind::Stream ? m_profile.streamService : m_profile.plainService;
    job.spec.target = "/v1/services/" + service + job.spec.target;
}

void Generator::send(Job job)
{
    auto &tally = m_tally.workspaces[job.workspace];
    if (job.attempt == 1) {
        ++tally.sent;
        tally.tokensAsked += job.tokens;
    }
    if (job.kind == RequestKind::Stream)
        ++tally.openStreams;
    ++m_openRequests;
    const auto spec = job.spec;
    m_caller.call(spec, [this, job = std::move(job)](const CallResult &result) mutable {
        ended(std::move(job), result);
    });
}

void Generator::ended(Job job, const CallResult &result)
{
    --m_openRequests;
    auto &tally = m_tally.workspaces[job.workspace];
    if (job.kind == RequestKind::Stream)
        --tally.openStreams;
    const Outcome outcome = judge(result, job.wanted, m_profile.isDirect);
    note(job, outcome, result);
    if (job.kind != RequestKind::Purchase)
        return settle(job, outcome);
    auto &fate = m_tally.purchases[job.key];
    const bool isHarmless = outcome == Outcome::NotRun || outcome == Outcome::ConnectFailed;
    fate.isServed = fate.isServed || outcome == Outcome::Served;
    fate.isDoubtful = fate.isDoubtful || (!isHarmless && outcome != Outcome::Served);
    fate.isLastNotRun = outcome == Outcome::NotRun;
    const bool isOver = outcome == Outcome::Served || outcome == Outcome::TargetError;
    if (isOver || job.attempt >= m_profile.purchaseAttempts)
        return settle(job, outcome);
    retryPurchase(std::move(job), result);
}

void Generator::settle(const Job &job, Outcome outcome)
{
    auto &tally = m_tally.workspaces[job.workspace];
    tally.add(outcome);
    if (job.isRepeated && std::chrono::steady_clock::now() < m_end) {
        Job next = newJob(job.workspace, job.kind);
        next.isRepeated = true;
        send(std::move(next));
    }
    if (outcome != Outcome::Served)
        return;
    tally.tokensServed += job.tokens;
    if (job.kind == RequestKind::Lookup)
        tally.lookup.add(SystemClock().now() - job.start);
    if (job.kind == RequestKind::Purchase)
        tally.purchase.add(SystemClock().now() - job.start);
}

void Generator::note(const Job &job, Outcome outcome, const CallResult &result)
{
    if (outcome == Outcome::Served && job.kind == RequestKind::Stream)
        m_tally.workspaces[job.workspace].firstByte.add(result.firstByte);
    if (outcome != Outcome::Wrong && outcome != Outcome::BadRefusal)
        return;
    if (m_tally.wrongs.size() < mostWrongsKept) {
        m_tally.wrongs.push_back(std::string(outcomeName(outcome)) + ": " + job.spec.target + " "
                                 + std::to_string(result.status) + " "
                                 + result.body.substr(0, 200));
    }
}

void Generator::retryPurchase(Job job, const CallResult &result)
{
    ++job.attempt;
    if (!m_profile.isDirect) {
        job.router = (job.router + 1) % m_profile.routers.size();
        job.spec.endpoint = m_profile.routers[job.router];
    }
    ++m_openRequests;
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, pauseAfter(result));
    timer->async_wait([this, timer, job = std::move(job)](boost::system::error_code error) mutable {
        --m_openRequests;
        if (!error)
            send(std::move(job));
    });
}

} // namespace berylridge
