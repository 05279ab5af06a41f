// Tests what the balancer does with attempts whose targets are silent, under a simulated clock.
#include "BalancerFixture.h"

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

class SilentAttemptTest : public test::BalancerFixture
{
protected:
    SilentAttemptTest()
    {
        installCatalog();
        installTargets({"t1", "t2", "t3"});
    }

    Dispatch send(const std::string &path)
    {
        sendRequest(path);
        return *findAction<Dispatch>();
    }

    void begin(const Dispatch &dispatch)
    {
        handle(AttemptHead {dispatch.handle, dispatch.attempt, 200, {}});
    }

    void reportSilence(const Dispatch &dispatch, bool isBegun, bool canContinueElsewhere = true)
    {
        handle(AttemptSilent {dispatch.handle, dispatch.attempt, isBegun, canContinueElsewhere,
                              1500ms});
    }

    /// Uses up the budget for retries.
    void takeAllRetries()
    {
        do {
            // Requests that are alike would be taken for the cause of the breaks.
            const Dispatch dispatch = send("/read/" + std::to_string(lastHandle));
            handle(makeFailure(dispatch, AttemptFailure::Reset));
        } while (findAction<Dispatch>());
    }
};

} // namespace

// Guards against streams that are cut because nothing may be sent elsewhere.
TEST_F(SilentAttemptTest, AttemptGoesOnWithoutARetryInTheBudget)
{
    const Dispatch stream = send("/stream/1");
    begin(stream);
    takeAllRetries();
    reportSilence(stream, true);
    ASSERT_TRUE(findAction<ContinueAttempt>());
    EXPECT_EQ(findAction<ContinueAttempt>()->attempt, stream.attempt);
    EXPECT_FALSE(findAction<Refuse>());
    handle(AttemptDone {stream.handle, stream.attempt, 200, {}, 10, {}, {}});
    EXPECT_FALSE(findAction<Refuse>());
}

// Guards against callers that wait for a target that has ended although another one is free.
TEST_F(SilentAttemptTest, StreamContinuesAtAnotherTarget)
{
    const Dispatch stream = send("/stream/1");
    begin(stream);
    reportSilence(stream, true);
    const auto *again = findAction<Dispatch>();
    ASSERT_TRUE(again);
    EXPECT_NE(again->target, stream.target);
    EXPECT_TRUE(again->isResumed);
    EXPECT_FALSE(findAction<ContinueAttempt>());
}

// Guards against requests of broken connections that are refused because silent targets have used
// up all retries.
TEST_F(SilentAttemptTest, SilentTargetsLeaveRetriesForBrokenConnections)
{
    constexpr int silentRequests = 40;
    std::vector<Dispatch> silent;
    silent.reserve(silentRequests);
    for (int i = 0; i < silentRequests; ++i)
        silent.push_back(send("/read/" + std::to_string(i)));
    const Dispatch broken = send("/read/broken");
    bool isAnyReplaced = false;
    for (const Dispatch &dispatch : silent) {
        reportSilence(dispatch, false);
        isAnyReplaced = isAnyReplaced || findAction<Dispatch>();
    }
    EXPECT_TRUE(isAnyReplaced);
    EXPECT_TRUE(findAction<ContinueAttempt>());
    handle(makeFailure(broken, AttemptFailure::Reset));
    EXPECT_TRUE(findAction<Dispatch>());
}

// Guards against a request that stays at a dark target after the budget has recovered.
TEST_F(SilentAttemptTest, RequestIsOfferedAgainOnceTheBudgetHasARetry)
{
    const Dispatch dispatch = send("/read/1");
    takeAllRetries();
    reportSilence(dispatch, false);
    ASSERT_TRUE(findAction<ContinueAttempt>());
    EXPECT_GT(findAction<ContinueAttempt>()->silenceLimit, Duration(0));
    for (int i = 0; i < 100; ++i)
        sendRequest("/read/1");
    reportSilence(dispatch, false);
    ASSERT_TRUE(findAction<Dispatch>());
    EXPECT_EQ(findAction<Dispatch>()->handle, dispatch.handle);
}

// Guards against a response that is given up although it can't continue anywhere else.
TEST_F(SilentAttemptTest, ResponseThatCannotContinueElsewhereGoesOn)
{
    const Dispatch dispatch = send("/read/1");
    begin(dispatch);
    reportSilence(dispatch, true, false);
    EXPECT_TRUE(findAction<ContinueAttempt>());
    EXPECT_FALSE(findAction<Dispatch>());
}

// Guards against a second run of a request that must not run twice.
TEST_F(SilentAttemptTest, NonIdempotentRequestIsNotSentElsewhere)
{
    const Dispatch dispatch = send("/buy/1");
    EXPECT_EQ(dispatch.firstByteTimeout, dispatch.timeLeft);
    reportSilence(dispatch, false);
    EXPECT_TRUE(findAction<ContinueAttempt>());
    EXPECT_FALSE(findAction<Dispatch>());
}

// Guards against silence that counts as a crash: its target would be treated as cold, and prompt
// parts would be blamed.
TEST_F(SilentAttemptTest, SilentTargetStaysUsableAndIsNotBlamed)
{
    installTargets({"t1"});
    const Dispatch dispatch = send("/stream/1");
    begin(dispatch);
    reportSilence(dispatch, true);
    EXPECT_TRUE(findAction<ContinueAttempt>());
    sendRequest("/read/1");
    EXPECT_TRUE(findAction<Dispatch>());
}

// Guards against a report that arrives after its attempt has ended.
TEST_F(SilentAttemptTest, LateReportChangesNothing)
{
    const Dispatch dispatch = send("/stream/1");
    handle(makeFailure(dispatch, AttemptFailure::Reset));
    ASSERT_TRUE(findAction<Dispatch>());
    reportSilence(dispatch, false);
    EXPECT_FALSE(findAction<Dispatch>());
    EXPECT_FALSE(findAction<ContinueAttempt>());
}

// Guards against a request that is refused because the target that replaced a silent one can't be
// reached.
TEST_F(SilentAttemptTest, RequestReturnsToTheSilentTargetIfNoOtherCanBeReached)
{
    installTargets({"t1", "t2"});
    const Dispatch dispatch = send("/read/1");
    reportSilence(dispatch, false);
    ASSERT_TRUE(findAction<Dispatch>());
    const Dispatch replacement = *findAction<Dispatch>();
    handle(makeFailure(replacement, AttemptFailure::ConnectRefused, false));
    EXPECT_FALSE(findAction<Refuse>());
    ASSERT_TRUE(findAction<Dispatch>());
    EXPECT_EQ(findAction<Dispatch>()->target, dispatch.target);
}

// Guards against a response that is given up for another one that can't come before the deadline.
TEST_F(SilentAttemptTest, AttemptGoesOnIfAnotherOneHasTooLittleTime)
{
    const Dispatch dispatch = send("/read/1");
    advanceTime(dispatch.timeLeft - 20ms);
    installTargets({"t1", "t2", "t3"});
    reportSilence(dispatch, false);
    EXPECT_TRUE(findAction<ContinueAttempt>());
    EXPECT_FALSE(findAction<Dispatch>());
}
