// Tests of real daemons under faults. They check the stand-ins' counts and the responses that
// callers received.
#include "AnswerText.h"
#include "FleetFixture.h"
#include "JsonText.h"
#include "Outcome.h"
#include "Uuid.h"

#include <algorithm>
#include <csignal>
#include <gtest/gtest.h>
#include <map>
#include <thread>

using namespace berylridge;
using namespace berylridge::test;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *generatePath = "/v1/services/assistant/generate";
constexpr const char *purchasePath = "/v1/services/catalogue/purchases";
constexpr int markerCrashExitStatus = 71;

/// Waits until a lease and a suspicion have expired at the daemons' default settings.
void waitForLeaseExpiry()
{
    std::this_thread::sleep_for(seconds(4));
}

} // namespace

// Without faults, callers of three workspaces send streams, lookups and purchases through the
// routers. Every response must be complete and belong to its request, and every purchase must be
// executed once.
TEST_F(FleetProcess, WholePath)
{
    FleetOptions options;
    options.routersPerZone = 3;
    ASSERT_NO_FATAL_FAILURE(startFleet(options));
    startLoad(5);
    const auto report = waitForLoadReport();
    expectNoOverload();
    for (const auto &row : report["workspaces"])
        EXPECT_GT(row["outcomes"]["served"].asUInt64(), 0U) << row["name"];
    EXPECT_EQ(report["purchases"]["served"], report["purchases"]["keys"]);
    EXPECT_EQ(totalOutcome(report, "no-answer") + totalOutcome(report, "incomplete"), 0U)
        << toText(report);
}

// A router is killed with requests in progress and restarts without its state. Callers without a
// response resend purchases with the same key through another router: no purchase may run twice.
// The leases of the killed router and those of its successor must not add up on a cold engine.
TEST_F(FleetProcess, RouterKilledAndRestarted)
{
    FleetOptions options;
    options.routersPerZone = 2;
    ASSERT_NO_FATAL_FAILURE(startFleet(options));
    startLoad(10);
    for (const std::size_t routerIndex : {0U, 3U}) {
        std::this_thread::sleep_for(milliseconds(1500));
        m_fleet->routerProcess(routerIndex).kill();
        std::this_thread::sleep_for(milliseconds(1500));
        m_fleet->startRouter(routerIndex);
    }
    waitForLoadReport();
    expectNoOverload();
    EXPECT_TRUE(waitUntil([&] { return m_fleet->isReady(0) && m_fleet->isReady(3); }));
}

// A router is paused for longer than a lease, other routers take over its work, and it resumes with
// outdated state. If it acted on that state, a purchase that was resent elsewhere would run twice.
TEST_F(FleetProcess, RouterFrozenLongerThanALease)
{
    FleetOptions options;
    options.routersPerZone = 2;
    ASSERT_NO_FATAL_FAILURE(startFleet(options));
    startLoad(12);
    std::this_thread::sleep_for(seconds(2));
    m_fleet->routerProcess(1).sendSignal(SIGSTOP);
    waitForLeaseExpiry();
    m_fleet->routerProcess(1).sendSignal(SIGCONT);
    waitForLoadReport();
    expectNoOverload();
    EXPECT_TRUE(waitUntil([&] { return m_fleet->isReady(1); }));
}

// Zone a is partitioned from the other zones while callers resend purchases on both sides. Both
// sides must continue to serve lookups and streams; no purchase may run on both.
TEST_F(FleetProcess, ZoneCutOffFromOthers)
{
    FleetOptions options;
    options.routersPerZone = 2;
    options.hasRelay = true;
    ASSERT_NO_FATAL_FAILURE(startFleet(options));
    startLoad(12);
    std::this_thread::sleep_for(seconds(2));
    m_fleet->relay().partitionZone("a");
    EXPECT_TRUE(waitForNewRequestsInZone("a"));
    waitForLeaseExpiry();
    m_fleet->relay().healPartition();
    waitForLoadReport();
    expectNoOverload();
    EXPECT_GT(m_fleet->relay().forwardedDatagrams(), 0U);
    EXPECT_GT(m_fleet->relay().droppedDatagrams(), 0U);
}

// A caller sends the same purchase to both sides of a network partition at the same time. If each
// side treated the key as new, the customer would be charged twice; one side may reject it.
TEST_F(FleetProcess, SameKeyOnBothSidesOfACut)
{
    FleetOptions options;
    options.routersPerZone = 2;
    options.hasRelay = true;
    ASSERT_NO_FATAL_FAILURE(startFleet(options));
    m_fleet->relay().partitionZone("a");
    RandomEngine random(7);
    boost::asio::io_context io;
    PooledHttpClient caller(io);
    std::map<std::string, std::vector<Outcome>> outcomes;
    constexpr int keys = 40;
    for (int i = 0; i < keys; ++i) {
        const auto key = uuidV7(SystemClock().wallNow(), random);
        for (const std::size_t router : {0U, 2U, 5U}) {
            auto spec = m_fleet->callSpec(router, 0, "POST", purchasePath);
            spec.headers.emplace_back("Idempotency-Key", key);
            spec.body = "{}";
            caller.call(spec, [&outcomes, key](const CallResult &result) {
                outcomes[key].push_back(classifyResponse(result, purchaseResponse("{}"), false));
            });
        }
        // Some keys arrive before the nodes have detected the partition, some after.
        io.run_for(milliseconds(100));
    }
    io.run();
    m_fleet->relay().healPartition();
    EXPECT_GT(m_fleet->relay().droppedDatagrams(), 0U);
    int served = 0;
    for (const auto &[key, keyOutcomes] : outcomes) {
        const auto executions = m_fleet->executionCount(key);
        EXPECT_LE(executions, 1U) << key;
        const bool isServed = std::find(keyOutcomes.begin(), keyOutcomes.end(), Outcome::Served)
            != keyOutcomes.end();
        EXPECT_TRUE(!isServed || executions == 1) << key;
        served += isServed ? 1 : 0;
    }
    EXPECT_GT(served, 0) << "no purchase was served on either side\n" << m_fleet->logs();
}

// Three faults at the same time, under load with purchases that are resent: zone a is partitioned,
// a router on the other side is killed and restarts without its state, and an engine restarts cold.
TEST_F(FleetProcess, CutKillAndColdStartTogether)
{
    FleetOptions options;
    options.routersPerZone = 2;
    options.hasRelay = true;
    ASSERT_NO_FATAL_FAILURE(startFleet(options));
    startLoad(14);
    std::this_thread::sleep_for(seconds(2));
    m_fleet->relay().partitionZone("a");
    m_fleet->routerProcess(2).kill();
    m_fleet->engineProcess(2).kill();
    std::this_thread::sleep_for(seconds(1));
    m_fleet->startEngine(2);
    m_fleet->startRouter(2);
    waitForLeaseExpiry();
    m_fleet->relay().healPartition();
    waitForLoadReport();
    expectNoOverload();
    for (std::size_t i = 0; i < m_fleet->routerCount(); ++i)
        EXPECT_TRUE(waitUntil([&] { return m_fleet->isReady(i); })) << i;
}

// The platform stops responding, then serves an old revision. Callers must not be affected, and a
// router that restarts meanwhile must not reactivate the old configuration, which would send
// requests to the evacuated zone c again.
TEST_F(FleetProcess, PlatformDownThenStale)
{
    FleetOptions options;
    options.routersPerZone = 2;
    ASSERT_NO_FATAL_FAILURE(startFleet(options));
    startLoad(20);
    m_fleet->controlPlatform(R"({"mode":"down"})");
    for (const char *zone : {"a", "b", "c"})
        EXPECT_TRUE(waitForNewRequestsInZone(zone));
    m_fleet->controlPlatform(R"({"mode":"normal"})");
    m_fleet->publishEvacuatedZones({"c"});
    std::uint64_t started = 0;
    ASSERT_TRUE(waitUntil([&] {
        started = requestsStartedInZone("c");
        std::this_thread::sleep_for(seconds(1));
        return requestsStartedInZone("c") == started;
    })) << "zone c still receives requests\n"
        << m_fleet->logs();
    // Revision 4 is the last one before the evacuation of zone c.
    m_fleet->controlPlatform(R"({"mode":"stale","revision":4})");
    m_fleet->routerProcess(0).kill();
    m_fleet->startRouter(0);
    EXPECT_TRUE(waitUntil([&] { return m_fleet->isReady(0); })) << m_fleet->logs();
    waitForLoadReport();
    EXPECT_EQ(requestsStartedInZone("c"), started) << "the old configuration became active again";
}

// Operators evacuate zone b under load and return it to service. A few seconds after the document
// is published no new request may start there, running requests must complete, and after its return
// the zone must receive requests again.
TEST_F(FleetProcess, ZoneOutAndBack)
{
    FleetOptions options;
    ASSERT_NO_FATAL_FAILURE(startFleet(options));
    startLoad(15);
    ASSERT_TRUE(waitForNewRequestsInZone("b"));
    m_fleet->publishEvacuatedZones({"b"});
    std::this_thread::sleep_for(seconds(3));
    const auto started = requestsStartedInZone("b");
    std::this_thread::sleep_for(seconds(3));
    EXPECT_EQ(requestsStartedInZone("b"), started) << "requests started in an evacuated zone";
    m_fleet->publishEvacuatedZones({});
    EXPECT_TRUE(waitForNewRequestsInZone("b")) << m_fleet->logs();
    const auto report = waitForLoadReport();
    EXPECT_EQ(totalOutcome(report, "no-answer") + totalOutcome(report, "incomplete"), 0U)
        << toText(report);
    expectNoOverload();
}

// A router receives SIGTERM while streams run through it. Their callers must receive them
// completely, and the process must exit by itself with status 0.
TEST_F(FleetProcess, GracefulStopCutsNothing)
{
    FleetOptions options;
    options.warmAfter = 1;
    options.tokensPerSecond = 20;
    ASSERT_NO_FATAL_FAILURE(startFleet(options));
    constexpr unsigned tokens = 60;
    constexpr int streams = 3;
    boost::asio::io_context io;
    PooledHttpClient caller(io);
    std::vector<Outcome> outcomes;
    for (int i = 0; i < streams; ++i) {
        auto spec = m_fleet->callSpec(0, 0, "POST", generatePath);
        spec.body = R"({"tokens":60,"prompt":")" + std::to_string(i) + "\"}";
        caller.call(
            spec,
            [&outcomes, expectedBody = completeStream(spec.body, tokens)](const auto &result) {
                outcomes.push_back(classifyResponse(result, expectedBody, false));
            });
    }
    // All streams must run before the stop; each engine is warm after one response.
    std::thread ioThread([&] { io.run(); });
    std::uint64_t started = 0;
    EXPECT_TRUE(waitUntil([&] {
        started
            = requestsStartedInZone("a") + requestsStartedInZone("b") + requestsStartedInZone("c");
        return started >= streams;
    })) << m_fleet->logs();
    m_fleet->routerProcess(0).sendSignal(SIGTERM);
    ioThread.join();
    EXPECT_EQ(outcomes, std::vector<Outcome>(streams, Outcome::Served)) << m_fleet->logs();
    EXPECT_EQ(m_fleet->routerProcess(0).wait(seconds(30)), 0) << m_fleet->logs();
}

// An engine is killed under load and restarts cold. Routers that still considered it warm would
// send it as many requests as before, and it would crash from overload after every restart.
TEST_F(FleetProcess, EngineRestartsCold)
{
    FleetOptions options;
    options.routersPerZone = 2;
    ASSERT_NO_FATAL_FAILURE(startFleet(options));
    startLoad(12);
    std::this_thread::sleep_for(seconds(3));
    for (int i = 0; i < 2; ++i) {
        m_fleet->engineProcess(0).kill();
        m_fleet->startEngine(0);
        std::this_thread::sleep_for(seconds(2));
    }
    EXPECT_TRUE(waitForNewRequestsInZone("a")) << m_fleet->logs();
    waitForLoadReport();
    expectNoOverload();
}

// A plain service executes a purchase and resets the connection before it responds. The router must
// report that the purchase may have run, and resending the key through any router must not run it
// again.
TEST_F(FleetProcess, ExecutedPurchaseIsNotRepeated)
{
    FleetOptions options;
    ASSERT_NO_FATAL_FAILURE(startFleet(options));
    RandomEngine random(1);
    const auto key = uuidV7(SystemClock().wallNow(), random);
    for (const auto &service : m_fleet->services())
        m_fleet->controlTarget(service.endpoint, R"({"order":"cut-answer","count":1})");
    const auto sendPurchase = [&](std::size_t router) {
        auto spec = m_fleet->callSpec(router, 0, "POST", purchasePath);
        spec.headers.emplace_back("Idempotency-Key", key);
        spec.body = "{}";
        return fetch(spec);
    };
    const auto first = sendPurchase(0);
    EXPECT_EQ(classifyResponse(first, purchaseResponse("{}"), false), Outcome::MayHaveRun)
        << first.body;
    for (std::size_t i = 0; i < m_fleet->routerCount(); ++i) {
        const auto repeated = sendPurchase(i);
        EXPECT_NE(classifyResponse(repeated, purchaseResponse("{}"), false), Outcome::NotRun)
            << repeated.body;
    }
    EXPECT_EQ(m_fleet->executionCount(key), 1U);
}

// One request body crashes every engine that runs it, and its caller resends it through all
// routers. After two crashed engines the fleet must reject the body instead of losing the other
// engines.
TEST_F(FleetProcess, QueryOfDeathStopsAtTwoEngines)
{
    FleetOptions options;
    options.enginesPerZone = 2;
    ASSERT_NO_FATAL_FAILURE(startFleet(options));
    for (const auto &engine : m_fleet->engines())
        m_fleet->controlTarget(engine.endpoint, R"({"marker":"poison"})");
    for (int round = 0; round < 2; ++round) {
        for (std::size_t router = 0; router < m_fleet->routerCount(); ++router) {
            auto spec = m_fleet->callSpec(router, 0, "POST", generatePath);
            spec.body = R"({"tokens":4,"prompt":"poison"})";
            spec.timeout = seconds(20);
            EXPECT_NE(fetch(spec).status, 200U);
            // The report of a crash takes some time to reach the other routers.
            std::this_thread::sleep_for(seconds(1));
        }
    }
    int crashed = 0;
    for (std::size_t i = 0; i < m_fleet->engines().size(); ++i)
        crashed += m_fleet->engineProcess(i).status() == markerCrashExitStatus ? 1 : 0;
    EXPECT_LE(crashed, 2) << m_fleet->logs();
    EXPECT_GE(crashed, 1);
}

// An engine responds with another attempt's id, sends more bytes than announced, truncates a stream
// or responds late. The caller must receive its own complete response from another engine, or be
// able to tell that it has none.
TEST_F(FleetProcess, WrongAnswersNeverReachACallerAsWhole)
{
    FleetOptions options;
    ASSERT_NO_FATAL_FAILURE(startFleet(options));
    const std::string body = R"({"tokens":12,"prompt":"slip"})";
    for (const char *fault : {"crossed", "over-long", "cut-answer", "late"}) {
        for (const auto &engine : m_fleet->engines())
            m_fleet->controlTarget(engine.endpoint,
                                   R"({"order":")" + std::string(fault) + R"(","count":1})");
        for (int i = 0; i < 4; ++i) {
            auto spec = m_fleet->callSpec(0, 0, "POST", generatePath);
            spec.body = body;
            const auto outcome = classifyResponse(fetch(spec), completeStream(body, 12), false);
            EXPECT_NE(outcome, Outcome::WrongBody) << fault;
            EXPECT_NE(outcome, Outcome::MissingVerdict) << fault;
        }
    }
    auto spec = m_fleet->callSpec(0, 0, "POST", generatePath);
    spec.body = body;
    EXPECT_TRUE(waitUntil([&] {
        return classifyResponse(fetch(spec), completeStream(body, 12), false) == Outcome::Served;
    })) << m_fleet->logs();
}
