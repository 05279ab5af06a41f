#include "berylridge/Router/RouterCore.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

std::string documentText()
{
    return R"({"service": "shop", "kind": "plain", "slots": 2, "coldSlots": 1, "warmAfter": 2,
        "targets": [{"target": "shop-1", "zone": "a", "address": "127.0.0.1", "port": 9000}],
        "workspaces": [{"workspace": "studio", "weight": 1, "credentialDigest": ")"
        + credentialDigest("key") + "\"}]}";
}

/// Provides a core that is the only node of its fleet.
class RouterCoreTest : public testing::Test
{
protected:
    RouterCoreTest()
    {
        CoreOptions options;
        options.node = NodeId("a1");
        options.zone = ZoneId("a");
        options.endpoint = {"127.0.0.1", 7400};
        options.incarnation = 1;
        options.chartDirectory = BERYLRIDGE_SOURCE_DIR "/charts";
        m_core = *RouterCore::create(options, m_clock.now(), m_clock.wallNow());
    }

    template <typename T>
    std::vector<T> actionsAfter(const Event &event)
    {
        Actions actions;
        m_core->handle(event, m_clock.now(), m_clock.wallNow(), actions);
        std::vector<T> found;
        for (const Action &action : actions) {
            if (const T *wanted = std::get_if<T>(&action))
                found.push_back(*wanted);
        }
        return found;
    }
    /// Advances the clock in steps of 10 ms and sends TimerDue at each, as an event loop would.
    template <typename T>
    std::vector<T> advanceTime(Duration time)
    {
        std::vector<T> found;
        for (const TimePoint end = m_clock.now() + time; m_clock.now() < end;) {
            m_clock.advance(10ms);
            const std::vector<T> step = actionsAfter<T>(TimerDue {});
            found.insert(found.end(), step.begin(), step.end());
        }
        return found;
    }
    void startServing()
    {
        actionsAfter<Log>(DocumentArrived {{"service/shop", 7, documentText()}});
        advanceTime<Log>(12s);
        TargetLoadReport report;
        report.target = TargetId("shop-1");
        report.bootId = "boot";
        report.completed = 10;
        actionsAfter<Log>(report);
    }
    RequestArrived lookupRequest(RequestHandle handle, const std::string &credential = "key") const
    {
        RequestArrived request;
        request.handle = handle;
        request.requestId = "request-" + std::to_string(handle);
        request.service = ServiceId("shop");
        request.credential = credential;
        request.method = "GET";
        request.path = "/items";
        return request;
    }

    ManualClock m_clock;
    std::unique_ptr<RouterCore> m_core;
};

} // namespace

TEST_F(RouterCoreTest, RequestReachesTargetAndIsExplained)
{
    startServing();
    const auto sent = actionsAfter<Dispatch>(lookupRequest(1));
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent.front().target, TargetId("shop-1"));
    EXPECT_EQ(sent.front().resendPolicy, ResendPolicy::Allowed);
    AttemptDone done;
    done.handle = 1;
    done.attempt = 1;
    done.status = 200;
    actionsAfter<Log>(done);
    const auto lines = m_core->explain("request-1");
    EXPECT_TRUE(std::any_of(lines.begin(), lines.end(), [](const std::string &line) {
        return line.find("sent to shop-1") != std::string::npos;
    }));
}

// During a planned stop without running requests the process is paused, and callers' requests
// arrive in its sockets. If the quiet period included the pause, the process would exit on resuming
// and drop the unread requests.
TEST_F(RouterCoreTest, PauseRestartsQuietPeriodOfPlannedStop)
{
    startServing();
    actionsAfter<Log>(LeaveOrdered {"operator"});
    advanceTime<Log>(500ms);
    m_clock.advance(10s);
    EXPECT_TRUE(actionsAfter<Stopped>(TimerDue {}).empty());
    actionsAfter<Log>(lookupRequest(1));
    EXPECT_EQ(advanceTime<Dispatch>(4s).size(), 1U) << "served after the wait of a new owner";
    AttemptDone done;
    done.handle = 1;
    done.attempt = 1;
    done.status = 200;
    actionsAfter<Log>(done);
    EXPECT_EQ(advanceTime<Stopped>(15s).size(), 1U);
}

// A stale platform offers an older document than the active one. Accepting it would revert what
// operators published, so every node must keep the newer one.
TEST_F(RouterCoreTest, OlderDocumentIsIgnored)
{
    startServing();
    std::string older = documentText();
    older.replace(older.find("studio"), 6, "others");
    actionsAfter<Log>(DocumentArrived {{"service/shop", 6, older}});
    EXPECT_EQ(m_core->status().documents.front().version, 7U);
    EXPECT_EQ(m_core->status().workspaces.front().workspace, WorkspaceId("studio"));
}

TEST_F(RouterCoreTest, InvalidDocumentKeepsLastValidOne)
{
    startServing();
    const auto audits
        = actionsAfter<Audit>(DocumentArrived {{"service/shop", 8, "{\"slots\": \"many\"}"}});
    ASSERT_EQ(audits.size(), 1U);
    EXPECT_EQ(audits.front().entry.kind, AuditKind::DocumentRefused);
    EXPECT_EQ(m_core->status().documents.front().version, 7U);
}

// A purchase is retried with its idempotency key, but with a workspace key that this node no longer
// knows. The first attempt may have run through another node: reporting "not run" would lead the
// caller to purchase twice.
TEST_F(RouterCoreTest, EarlyRefusalOfKeyedRequestIsNotReportedAsNotRun)
{
    startServing();
    RequestArrived request = lookupRequest(1, "withdrawn");
    EXPECT_EQ(actionsAfter<Refuse>(request).front().verdict, Verdict::NotRun);
    request.handle = 2;
    request.method = "POST";
    request.idempotencyKey = "0197-purchase";
    EXPECT_EQ(actionsAfter<Refuse>(request).front().verdict, Verdict::MayHaveRun);
}

// The connection of a purchase without an idempotency key breaks after its first byte was sent. The
// request must not be retried, and the refusal must report that it may have run.
TEST_F(RouterCoreTest, NonIdempotentRequestIsNotRetriedAfterFirstByte)
{
    startServing();
    RequestArrived request = lookupRequest(1);
    request.method = "POST";
    ASSERT_EQ(actionsAfter<Dispatch>(request).size(), 1U);
    AttemptFailed failed;
    failed.handle = 1;
    failed.attempt = 1;
    failed.failure = AttemptFailure::Reset;
    const auto refusals = actionsAfter<Refuse>(failed);
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals.front().verdict, Verdict::MayHaveRun);
    EXPECT_TRUE(advanceTime<Dispatch>(5s).empty());
}

// A request exceeds its queue timeout. It must be refused at that time, with a Retry-After delay.
TEST_F(RouterCoreTest, QueueTimeoutIsReportedImmediately)
{
    startServing();
    actionsAfter<Log>(lookupRequest(1));
    actionsAfter<Log>(lookupRequest(2));
    RequestArrived impatient = lookupRequest(3);
    impatient.maxQueueWait = 300ms;
    actionsAfter<Log>(impatient);
    EXPECT_TRUE(advanceTime<Refuse>(290ms).empty());
    const auto refusals = advanceTime<Refuse>(30ms);
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals.front().verdict, Verdict::NotRun);
    EXPECT_TRUE(refusals.front().retryAfter.has_value());
}

// A request breaks its target's connection and may have crashed the target. The response to an
// earlier load poll, sent before the crash, arrives just afterwards. If it counted as proof that
// the target is alive, the request would go to the next target immediately, and a third one would
// crash; FleetProcess.QueryOfDeathStopsAtTwoEngines covers this in a whole fleet.
TEST_F(RouterCoreTest, StaleLoadReportDoesNotProveTargetAlive)
{
    startServing();
    ASSERT_EQ(actionsAfter<Dispatch>(lookupRequest(1)).size(), 1U);
    AttemptFailed failed;
    failed.handle = 1;
    failed.attempt = 1;
    failed.failure = AttemptFailure::Reset;
    const auto polls = actionsAfter<PollTarget>(failed);
    ASSERT_EQ(polls.size(), 1U);
    TargetLoadReport report;
    report.target = TargetId("shop-1");
    report.bootId = "boot";
    report.completed = 10;
    EXPECT_TRUE(actionsAfter<Dispatch>(report).empty());
    report.poll = polls.front().poll;
    EXPECT_EQ(actionsAfter<Dispatch>(report).size(), 1U);
}
