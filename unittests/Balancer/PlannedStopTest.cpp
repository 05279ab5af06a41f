// Planned stops: when the core ends them and how much time it leaves for the last responses.
#include "BalancerFixture.h"

#include "berylridge/Policy/StreamOrigins.h"
#include "berylridge/Support/Hash.h"

namespace berylridge::test {
namespace {

class PlannedStopTest : public BalancerFixture
{
protected:
    /// Returns the limit for the drain that ends the planned stop.
    std::optional<Duration> drainLimit() const
    {
        const auto *stopped = findAction<Stopped>();
        return stopped ? std::optional(stopped->drainLimit) : std::nullopt;
    }

    /// Sends requests of all kinds and records when they reached targets or were refused.
    void sendEachKind()
    {
        for (const char *path : {"/read/1", "/buy/1", "/stream/1"}) {
            sendRequest(path);
            collect();
            sentAt.push_back(clock.now() - orderedAt);
        }
    }

    /// Records the outcomes among the last actions.
    void collect()
    {
        for (const Action &action : actions) {
            if (const auto *dispatch = std::get_if<Dispatch>(&action))
                dispatchedAt.emplace(dispatch->handle, clock.now() - orderedAt);
            if (const auto *refusal = std::get_if<Refuse>(&action))
                refusals.emplace(refusal->handle, Ended {clock.now() - orderedAt, *refusal});
        }
    }

    /// Advances the clock, but handles no event but timers, whose outcomes are recorded.
    void advanceAndCollect(Duration time)
    {
        const TimePoint end = clock.now() + time;
        while (core->nextTimer() < end) {
            clock.advance(std::max(core->nextTimer() - clock.now(), Duration(1)));
            handle(TimerDue {});
            collect();
        }
        clock.advance(std::max(end - clock.now(), Duration(0)));
    }

    void expectRefusedAsNotRun()
    {
        EXPECT_FALSE(findAction<Dispatch>());
        ASSERT_TRUE(findAction<Refuse>());
        EXPECT_EQ(findAction<Refuse>()->status, 503U);
        EXPECT_EQ(findAction<Refuse>()->verdict, Verdict::NotRun);
        EXPECT_TRUE(findAction<Refuse>()->retryAfter);
    }

    struct Ended
    {
        Duration at; ///< Since the order to stop.
        Refuse refusal;
    };

    static constexpr Duration graceTime = 8s;
    /// Time after the order to stop until which a request may be cut at the end of the grace time.
    static constexpr Duration lastCutRequest = 3s;
    static constexpr Duration earliestCut = graceTime * 5 / 6;
    TimePoint orderedAt {};
    std::vector<Duration> sentAt; ///< By handle, from 1; since the order to stop.
    std::map<RequestHandle, Duration> dispatchedAt;
    std::map<RequestHandle, Ended> refusals;
};

// Guards against a drain that outlasts the time after which the process is killed.
TEST_F(PlannedStopTest, DrainAfterTheStopLimitEndsWithinTheGraceTime)
{
    installCatalog();
    installTargets({"t1"});
    handle(LeaveOrdered {"SIGTERM"});
    advanceTime(2s);
    sendRequest("/read/1");
    advanceTime(5300ms);
    ASSERT_TRUE(drainLimit());
    EXPECT_GT(*drainLimit(), 0s);
    EXPECT_LT(7300ms + *drainLimit(), graceTime);
}

// Guards against a drain that gets later with the event that notices the stop limit.
TEST_F(PlannedStopTest, DrainAfterALateTimerIsShorter)
{
    installCatalog();
    installTargets({"t1"});
    handle(LeaveOrdered {"SIGTERM"});
    advanceTime(2s);
    sendRequest("/read/1");
    clock.advance(5600ms);
    handle(TimerDue {});
    ASSERT_TRUE(drainLimit());
    EXPECT_GT(*drainLimit(), 0s);
    EXPECT_LT(7600ms + *drainLimit(), graceTime);
}

// Guards against a cut of a long response that a caller still receives when the core is idle.
TEST_F(PlannedStopTest, DrainOfAnIdleNodeMayTakeTheRestOfTheStopLimit)
{
    installCatalog();
    installTargets({"t1"});
    handle(LeaveOrdered {"SIGTERM"});
    advanceTime(3600ms);
    ASSERT_TRUE(drainLimit());
    EXPECT_GT(*drainLimit(), 3500ms);
    EXPECT_LT(3600ms + *drainLimit(), graceTime);
}

// Guards against a request that is sent to a target although the process is about to end.
TEST_F(PlannedStopTest, RequestAfterTheEndIsRefusedAsNotRun)
{
    installCatalog();
    installTargets({"t1"});
    handle(LeaveOrdered {"SIGTERM"});
    advanceTime(3600ms);
    ASSERT_TRUE(findAction<Stopped>());
    sendRequest("/read/1");
    EXPECT_FALSE(findAction<Dispatch>());
    ASSERT_TRUE(findAction<Refuse>());
    EXPECT_EQ(findAction<Refuse>()->status, 503U);
    EXPECT_EQ(findAction<Refuse>()->verdict, Verdict::NotRun);
}

// Guards against a request that arrives late in the grace time and is cut at its end.
TEST_F(PlannedStopTest, RequestsLateInTheGraceTimeAreRefusedAtOnce)
{
    streamTimeoutMs = 60000;
    installCatalog();
    installTargets({"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9", "t10"});
    orderedAt = clock.now();
    handle(LeaveOrdered {"SIGTERM"});
    while (clock.now() - orderedAt < graceTime) {
        sendEachKind();
        advanceAndCollect(100ms);
    }
    unsigned taken = 0;
    for (RequestHandle handle = 1; handle <= lastHandle; ++handle) {
        const Duration sent = sentAt[handle - 1];
        const auto refusal = refusals.find(handle);
        ASSERT_NE(refusal, refusals.end()) << handle << " has no answer";
        if (dispatchedAt.contains(handle)) {
            ++taken;
            EXPECT_LE(sent, lastCutRequest);
            EXPECT_GE(refusal->second.at, earliestCut);
            continue;
        }
        EXPECT_EQ(refusal->second.at, sent) << handle;
        EXPECT_EQ(refusal->second.refusal.status, 503U);
        EXPECT_EQ(refusal->second.refusal.verdict, Verdict::NotRun);
        EXPECT_TRUE(refusal->second.refusal.retryAfter);
    }
    EXPECT_GT(taken, 60U);
}

// Guards against a late request that is taken because it is handled before a late timer.
TEST_F(PlannedStopTest, RequestBeforeALateTimerIsRefused)
{
    installCatalog();
    installTargets({"t1"});
    handle(LeaveOrdered {"SIGTERM"});
    advanceTime(2700ms);
    clock.advance(400ms);
    sendRequest("/buy/1");
    expectRefusedAsNotRun();
}

// Guards against a planned stop that counts from a late signal and outlasts the grace time.
TEST_F(PlannedStopTest, StopCountsFromTheSignalThatWasHandledLate)
{
    installCatalog();
    installTargets({"t1"});
    advanceTime(1s);
    orderedAt = clock.now();
    clock.advance(700ms);
    handle(LeaveOrdered {"SIGTERM"});
    advanceTime(orderedAt + 2s - clock.now());
    sendRequest("/read/1");
    EXPECT_TRUE(findAction<Dispatch>());
    advanceTime(orderedAt + lastCutRequest - clock.now());
    sendRequest("/buy/1");
    expectRefusedAsNotRun();
    advanceTime(orderedAt + graceTime - clock.now());
    EXPECT_TRUE(findAction<Stopped>());
}

// Guards against a late signal that is taken for an early one because a timer was handled first.
TEST_F(PlannedStopTest, StopCountsFromALateSignalBehindALateTimer)
{
    installCatalog();
    installTargets({"t1"});
    advanceTime(1s);
    orderedAt = clock.now();
    clock.advance(700ms);
    handle(TimerDue {});
    clock.advance(1ms);
    handle(LeaveOrdered {"SIGTERM"});
    advanceTime(orderedAt + lastCutRequest - clock.now());
    sendRequest("/buy/1");
    expectRefusedAsNotRun();
}

// Guards against a request that was taken in time and is ended early because it was retried.
TEST_F(PlannedStopTest, RetriedRequestMayRunUntilTheStopLimit)
{
    streamTimeoutMs = 60000;
    installCatalog();
    installTargets({"t1", "t2"});
    orderedAt = clock.now();
    handle(LeaveOrdered {"SIGTERM"});
    advanceTime(2s);
    sendRequest("/stream/1");
    ASSERT_TRUE(findAction<Dispatch>());
    const Dispatch first = *findAction<Dispatch>();
    advanceTime(1500ms);
    AttemptFailed failure = makeFailure(first, AttemptFailure::Reset);
    failure.canContinueElsewhere = true;
    handle(failure);
    ASSERT_TRUE(findAction<Dispatch>());
    EXPECT_NE(findAction<Dispatch>()->target, first.target);
    advanceAndCollect(orderedAt + graceTime - clock.now());
    ASSERT_TRUE(refusals.contains(first.handle));
    EXPECT_GE(refusals.at(first.handle).at, earliestCut);
    EXPECT_EQ(refusals.at(first.handle).refusal.status, 502U);
}

// Guards against a stream that waits for its origin when new requests begin to be refused, and
// gets no answer or is cut early.
TEST_F(PlannedStopTest, LookupAcrossTheLimitIsAnswered)
{
    streamTimeoutMs = 60000;
    installCatalog();
    softwareVersions = {{"t2", "v2"}};
    installTargets({"t1", "t2"});
    orderedAt = clock.now();
    handle(LeaveOrdered {"SIGTERM"});
    advanceTime(2750ms);
    receiveDigest("n2", "a", 1, revision, true);
    sendRequest("/stream/1", "key", StreamResumption {"r100"});
    const RequestHandle answered = lastHandle;
    const auto queries = sentMessages<StreamOriginQuery>();
    ASSERT_EQ(queries.size(), 1U);
    sendRequest("/stream/2", "key", StreamResumption {"r101"});
    const RequestHandle unanswered = lastHandle;
    ASSERT_EQ(sentMessages<StreamOriginQuery>().size(), 1U);
    advanceAndCollect(100ms);
    TargetRecord first;
    first.service = "s";
    first.softwareVersion = "v1";
    StreamOriginAnswer answer;
    answer.lookup = queries[0].second.lookup;
    answer.origin.stream = queries[0].second.stream;
    answer.origin.service = hash32(first.service);
    answer.origin.version = versionKeyOf(first);
    answer.isKnown = true;
    answer.basis = static_cast<std::uint8_t>(OriginBasis::Record);
    handle(NodeMessage {NodeId("n2"), 1, BalancerMessage(answer)});
    collect();
    EXPECT_TRUE(dispatchedAt.contains(answered));
    advanceAndCollect(orderedAt + graceTime - clock.now());
    ASSERT_TRUE(refusals.contains(answered));
    EXPECT_GE(refusals.at(answered).at, earliestCut);
    EXPECT_FALSE(dispatchedAt.contains(unanswered));
    ASSERT_TRUE(refusals.contains(unanswered));
    EXPECT_LT(refusals.at(unanswered).at, earliestCut);
    EXPECT_EQ(refusals.at(unanswered).refusal.status, 503U);
    EXPECT_EQ(refusals.at(unanswered).refusal.verdict, Verdict::NotRun);
    EXPECT_TRUE(refusals.at(unanswered).refusal.retryAfter);
}

} // namespace
} // namespace berylridge::test
