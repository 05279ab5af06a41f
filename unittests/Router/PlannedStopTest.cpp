// Planned stops of a node that leases slots: which requests it still takes and how the others end.
#include "berylridge/Router/RouterCore.h"

#include "berylridge/Support/Hash.h"

#include <gtest/gtest.h>
#include <map>
#include <optional>

namespace berylridge {
namespace {

using namespace std::chrono_literals;

/// Provides a core that is the only node of its fleet and has 6 s for a planned stop.
class PlannedStopTest : public testing::Test
{
protected:
    PlannedStopTest()
    {
        CoreOptions options;
        options.node = NodeId("a1");
        options.zone = ZoneId("a");
        options.endpoint = {"127.0.0.1", 7400};
        options.incarnation = 1;
        options.chartDirectory = BERYLRIDGE_SOURCE_DIR "/charts";
        options.stopLimit = stopLimit;
        m_core = *RouterCore::create(options, m_clock.now(), m_clock.wallNow());
        handle(DocumentArrived {{"service/shop", 7, documentText("shop", 64, 20000)}});
        handle(DocumentArrived {{"service/quick", 7, documentText("quick", 64, 300)}});
        handle(DocumentArrived {{"service/narrow", 7, documentText("narrow", 1, 20000)}});
        advanceTime(12s);
    }

    static std::string documentText(const std::string &service, int slots, int attemptTimeoutMs)
    {
        const std::string count = std::to_string(slots);
        return "{\"service\": \"" + service + R"(", "kind": "plain", "slots": )" + count
            + R"(, "coldSlots": )" + count + R"(, "warmAfter": 2, "attemptTimeoutMs": )"
            + std::to_string(attemptTimeoutMs) + R"(, "targets": [{"target": ")" + service
            + R"(-1", "zone": "a", "address": "127.0.0.1", "port": 9000}],
            "workspaces": [{"workspace": "studio", "weight": 1, "credentialDigest": ")"
            + credentialDigest("key") + "\"}]}";
    }

    /// Passes the event to the core and records the outcomes of requests.
    void handle(const Event &event)
    {
        Actions actions;
        m_core->handle(event, m_clock.now(), m_clock.wallNow(), actions);
        for (const Action &action : actions) {
            if (const auto *dispatch = std::get_if<Dispatch>(&action))
                m_dispatchedAt[dispatch->handle] = m_clock.now();
            if (const auto *refusal = std::get_if<Refuse>(&action))
                m_refusals.emplace(refusal->handle, *refusal);
            if (std::holds_alternative<Stopped>(action))
                m_stoppedAt = m_clock.now();
        }
    }

    void advanceTime(Duration time)
    {
        for (const TimePoint end = m_clock.now() + time; m_clock.now() < end;) {
            m_clock.advance(10ms);
            handle(TimerDue {});
        }
    }

    void orderStop()
    {
        m_orderedAt = m_clock.now();
        handle(LeaveOrdered {"SIGTERM"});
    }

    /// Returns the handle of the request.
    RequestHandle sendRequest(const std::string &method, const std::string &service = "shop",
                              std::optional<Duration> maxQueueWait = std::nullopt)
    {
        RequestArrived request;
        request.handle = ++m_lastHandle;
        request.requestId = "request-" + std::to_string(m_lastHandle);
        request.service = ServiceId(service);
        request.credential = "key";
        request.method = method;
        request.path = "/items";
        request.bodyHash = m_lastHandle;
        request.maxQueueWait = maxQueueWait;
        handle(request);
        return m_lastHandle;
    }

    bool isDispatched(RequestHandle handle) const { return m_dispatchedAt.contains(handle); }

    void expectRefusedAsNotRun(RequestHandle handle) const
    {
        EXPECT_FALSE(isDispatched(handle)) << handle;
        ASSERT_TRUE(m_refusals.contains(handle)) << handle;
        EXPECT_EQ(m_refusals.at(handle).status, 503U);
        EXPECT_EQ(m_refusals.at(handle).verdict, Verdict::NotRun);
        EXPECT_TRUE(m_refusals.at(handle).retryAfter);
    }

    static constexpr Duration stopLimit = 6s;
    ManualClock m_clock;
    std::unique_ptr<RouterCore> m_core;
    TimePoint m_orderedAt {};
    std::optional<TimePoint> m_stoppedAt;
    RequestHandle m_lastHandle = 0;
    std::map<RequestHandle, TimePoint> m_dispatchedAt;
    std::map<RequestHandle, Refuse> m_refusals;
};

// Guards against a request that is taken late in a planned stop and cut at its end.
TEST_F(PlannedStopTest, RequestThatMayOutlastTheStopIsRefusedAtOnce)
{
    orderStop();
    while (m_clock.now() - m_orderedAt < stopLimit + 2s) {
        const bool isEarly = m_clock.now() - m_orderedAt < stopLimit / 3;
        for (const char *method : {"GET", "POST"}) {
            const RequestHandle request = sendRequest(method);
            if (isEarly)
                EXPECT_TRUE(isDispatched(request)) << request;
            else
                expectRefusedAsNotRun(request);
        }
        advanceTime(100ms);
    }
    EXPECT_TRUE(m_stoppedAt);
}

// Guards against a refusal of a request that ends in time whatever happens.
TEST_F(PlannedStopTest, RequestThatEndsBeforeTheStopIsTaken)
{
    orderStop();
    sendRequest("GET"); // Keeps the stop from ending early.
    advanceTime(4s);
    EXPECT_TRUE(isDispatched(sendRequest("POST", "quick", 500ms)));
    advanceTime(1500ms);
    expectRefusedAsNotRun(sendRequest("POST", "quick", 500ms));
}

// Guards against a request that is sent to a target although the process is about to end.
TEST_F(PlannedStopTest, RequestAfterTheEndIsRefused)
{
    orderStop();
    advanceTime(4s);
    ASSERT_TRUE(m_stoppedAt);
    expectRefusedAsNotRun(sendRequest("GET", "quick"));
}

// Guards against a late request that is taken because it is handled before a late timer.
TEST_F(PlannedStopTest, RequestBeforeALateTimerIsRefused)
{
    orderStop();
    sendRequest("GET");
    advanceTime(5900ms);
    m_clock.advance(300ms);
    expectRefusedAsNotRun(sendRequest("POST", "quick", 500ms));
}

// Guards against a request that waits for a slot at the end of the stop and is then sent or cut.
TEST_F(PlannedStopTest, RequestThatWaitsAtTheEndIsRefused)
{
    orderStop();
    const RequestHandle running = sendRequest("GET", "narrow");
    ASSERT_TRUE(isDispatched(running));
    const RequestHandle waiting = sendRequest("POST", "narrow");
    ASSERT_FALSE(isDispatched(waiting));
    advanceTime(stopLimit + 300ms);
    ASSERT_TRUE(m_stoppedAt);
    expectRefusedAsNotRun(waiting);
    EXPECT_FALSE(m_refusals.contains(running)) << "its answer may still arrive in the drain";
}

// Guards against a retry after the end of the stop, which would be cut.
TEST_F(PlannedStopTest, RequestThatFailsAfterTheEndIsNotRetried)
{
    orderStop();
    const RequestHandle running = sendRequest("GET");
    advanceTime(stopLimit + 300ms);
    ASSERT_TRUE(m_stoppedAt);
    handle(AttemptFailed {running, 1, AttemptFailure::ConnectRefused, false, false});
    ASSERT_TRUE(m_refusals.contains(running));
    EXPECT_EQ(m_refusals.at(running).verdict, Verdict::NotRun);
}

// Guards against a connection that closes at the end of the drain without an answer.
TEST_F(PlannedStopTest, RequestThatOutlastsTheDrainIsAnswered)
{
    orderStop();
    const RequestHandle request = sendRequest("POST");
    ASSERT_TRUE(isDispatched(request));
    advanceTime(stopLimit + Stopped {}.drainLimit);
    ASSERT_TRUE(m_refusals.contains(request));
    EXPECT_EQ(m_refusals.at(request).status, 502U);
    EXPECT_EQ(m_refusals.at(request).verdict, Verdict::MayHaveRun);
}

// Guards against a node that still refuses requests after its planned stop was taken back.
TEST_F(PlannedStopTest, RequestAfterAReturnIsTaken)
{
    orderStop();
    sendRequest("GET");
    advanceTime(4s);
    handle(ReturnOrdered {"operator"});
    advanceTime(1s);
    EXPECT_TRUE(isDispatched(sendRequest("GET")));
}

} // namespace
} // namespace berylridge
