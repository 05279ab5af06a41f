// Tests what a balancer does when targets ask for a pause or state that they shut down.
#include "BalancerFixture.h"

#include <map>
#include <set>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

class TargetAdviceTest : public test::BalancerFixture
{
protected:
    void SetUp() override { installCatalog(); }

    /// Sends requests for some time, one in each step, and completes all that are dispatched.
    /// Returns the number of requests by target.
    std::map<std::string, int> sendRequestsFor(Duration time, Duration step = 50ms)
    {
        std::map<std::string, int> sent;
        for (Duration passed {0}; passed < time; passed += step) {
            advanceTime(step);
            sendRequest("/read/" + std::to_string(lastHandle));
            if (!findAction<Dispatch>())
                continue;
            const Dispatch dispatch = *findAction<Dispatch>();
            ++sent[dispatch.target.str()];
            complete(dispatch);
        }
        return sent;
    }

    void complete(const Dispatch &dispatch)
    {
        handle(AttemptHead {dispatch.handle, dispatch.attempt, 200, {}});
        handle(AttemptDone {dispatch.handle, dispatch.attempt, 200, {}, 10, {}, {}});
    }

    Dispatch sendAndFindDispatch()
    {
        sendRequest("/read/" + std::to_string(lastHandle));
        const auto *dispatch = findAction<Dispatch>();
        EXPECT_TRUE(dispatch);
        return dispatch ? *dispatch : Dispatch {};
    }
};

} // namespace

// Guards against requests to a target that has asked this node for a pause.
TEST_F(TargetAdviceTest, TargetGetsNoRequestsDuringThePauseItAskedFor)
{
    installTargets({"t1", "t2"});
    const Dispatch rejected = sendAndFindDispatch();
    rejectWithRetryAfter(rejected, 3s);
    EXPECT_EQ(sendRequestsFor(1500ms).count(rejected.target.str()), 0U);
    // Without an answer in between, the removal below could be a lapse in an outage.
    installTargets({"t1", "t2"});
    EXPECT_EQ(sendRequestsFor(1400ms).count(rejected.target.str()), 0U);
    installTargets({rejected.target.str()});
    EXPECT_GT(sendRequestsFor(1s)[rejected.target.str()], 0) << "used again after the pause";
}

// Guards against a wait for targets that will reject the request: it is refused at once, with the
// time until the first of them accepts requests again.
TEST_F(TargetAdviceTest, RequestsAreRefusedAtOnceWhileAllTargetsPause)
{
    installTargets({"t1", "t2"});
    rejectWithRetryAfter(sendAndFindDispatch(), 2s);
    // The retry went to the other target.
    ASSERT_TRUE(findAction<Dispatch>());
    rejectWithRetryAfter(Dispatch(*findAction<Dispatch>()), 3s);
    ASSERT_TRUE(findAction<Refuse>());
    EXPECT_EQ(findAction<Refuse>()->verdict, Verdict::NotRun);
    EXPECT_GE(findAction<Refuse>()->retryAfter, Duration(2s));
    advanceTime(500ms);
    sendRequest("/read/1");
    EXPECT_FALSE(findAction<Dispatch>());
    ASSERT_TRUE(findAction<Refuse>());
    EXPECT_EQ(findAction<Refuse>()->status, 503U);
    EXPECT_EQ(findAction<Refuse>()->verdict, Verdict::NotRun);
    EXPECT_GE(findAction<Refuse>()->retryAfter, Duration(1500ms));
    EXPECT_LE(findAction<Refuse>()->retryAfter, Duration(3500ms));
}

// Guards against a pause that ends early because the catalog is loaded again or the platform lists
// the target again.
TEST_F(TargetAdviceTest, PauseOutlastsCatalogAndDirectoryUpdates)
{
    installTargets({"t1"});
    rejectWithRetryAfter(sendAndFindDispatch(), 3s);
    installCatalog(2);
    installTargets({"t2"});
    installTargets({"t1"});
    EXPECT_TRUE(sendRequestsFor(2900ms).empty());
}

// Guards against a shorter pause of a later response that ends the longer one before.
TEST_F(TargetAdviceTest, ShorterPauseDoesNotEndALongerOne)
{
    installTargets({"t1"});
    const Dispatch rejected = sendAndFindDispatch();
    rejectWithRetryAfter(rejected, 3s);
    receiveAdvice(rejected, {.retryAfter = 100ms});
    EXPECT_TRUE(sendRequestsFor(2900ms).empty());
}

// Guards against the end of a pause by an earlier request that the target completes meanwhile.
TEST_F(TargetAdviceTest, EarlierRequestThatCompletesDoesNotEndThePause)
{
    installTargets({"t1"});
    const Dispatch running = sendAndFindDispatch();
    const Dispatch rejected = sendAndFindDispatch();
    rejectWithRetryAfter(rejected, 3s);
    complete(running);
    EXPECT_TRUE(sendRequestsFor(2900ms).empty());
}

// Guards against a target that stays paused after a restart: its new boot has asked for nothing.
TEST_F(TargetAdviceTest, RestartedTargetIsNotPaused)
{
    installTargets({"t1"});
    rejectWithRetryAfter(sendAndFindDispatch(), 60s);
    ++startedAtMs;
    installTargets({"t1"});
    EXPECT_GT(sendRequestsFor(1s)["t1"], 0);
}

// Guards against advice of an earlier boot, whose response arrives late, that pauses the new one.
TEST_F(TargetAdviceTest, AdviceOfAnEarlierBootIsIgnored)
{
    installTargets({"t1"});
    const Dispatch sent = sendAndFindDispatch();
    ++startedAtMs;
    installTargets({"t1"});
    rejectWithRetryAfter(sent, 60s);
    receiveAdvice(sent, {.isLeaving = true});
    EXPECT_GT(sendRequestsFor(1s)["t1"], 0);
}

// Guards against new requests to a target that states that it shuts down, also while the platform
// still lists it as ready.
TEST_F(TargetAdviceTest, LeavingTargetGetsNoNewRequests)
{
    installTargets({"t1", "t2"});
    const Dispatch answered = sendAndFindDispatch();
    receiveAdvice(answered, {.isLeaving = true}, 200);
    complete(answered);
    installCatalog(2);
    installTargets({"t1", "t2"});
    EXPECT_EQ(sendRequestsFor(10s).count(answered.target.str()), 0U);
    ++startedAtMs;
    installTargets({"t1", "t2"});
    EXPECT_GT(sendRequestsFor(1s)[answered.target.str()], 0) << "another boot";
}

// Guards against all held-back requests reaching a target at once when its pause ends.
TEST_F(TargetAdviceTest, OneRequestTriesATargetAfterItsPause)
{
    installTargets({"t1"});
    rejectWithRetryAfter(sendAndFindDispatch(), 1s);
    advanceTime(1600ms);
    const Dispatch first = sendAndFindDispatch();
    sendRequest("/read/next");
    EXPECT_FALSE(findAction<Dispatch>()) << "the first request has no response yet";
    handle(AttemptHead {first.handle, first.attempt, 200, {}});
    sendRequest("/read/after");
    EXPECT_TRUE(findAction<Dispatch>());
}

// Guards against a target that is lost for a day because of one response.
TEST_F(TargetAdviceTest, PausesAreBounded)
{
    installTargets({"t1"});
    rejectWithRetryAfter(sendAndFindDispatch(), 24h);
    advanceTime(10min);
    sendRequest("/read/1");
    EXPECT_TRUE(findAction<Dispatch>());
}

// Guards against an invalid Retry-After that nobody sees, or that pauses a target.
TEST_F(TargetAdviceTest, InvalidRetryAfterIsLoggedAndIgnored)
{
    installTargets({"t1"});
    const Dispatch sent = sendAndFindDispatch();
    receiveAdvice(sent, {.invalidRetryAfter = "Retry-After 'soon' is not a number of seconds"});
    ASSERT_TRUE(findAction<Log>());
    EXPECT_EQ(findAction<Log>()->record.id, LogEventId::TargetAdviceInvalid);
    sendRequest("/read/1");
    EXPECT_TRUE(findAction<Dispatch>());
}

// Guards against a target that is cold again and says so in a success: its usual load would crash
// it.
TEST_F(TargetAdviceTest, ColdTargetThatAnswersGetsOnlyItsRate)
{
    coldRequestsPerSecond = 4;
    installCatalog(2);
    installTargets({"t1"});
    const Dispatch answered = sendAndFindDispatch();
    receiveAdvice(answered, {.coldFor = 10s}, 200);
    complete(answered);
    EXPECT_LE(sendRequestsFor(2s)["t1"], 9) << "four a second and one at once";
}

// Guards against nodes that start at the same moment and end their pauses at the same moment.
TEST_F(TargetAdviceTest, NodesEndTheirPausesAtDifferentTimes)
{
    std::set<TimePoint> ends;
    for (const char *node : {"n1", "n2", "n3", "n4", "n5", "n6"}) {
        nodeName = node;
        createCore();
        installCatalog();
        installTargets({"t1"});
        const TimePoint asked = clock.now();
        rejectWithRetryAfter(sendAndFindDispatch(), 2s);
        while (sendRequestsFor(10ms, 10ms).empty())
            continue;
        ends.insert(TimePoint(clock.now() - asked));
    }
    EXPECT_GT(ends.size(), 3U);
}
