// Tests which requests a node blames for the targets that end, and what acquits them.
#include "BalancerFixture.h"

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

constexpr PromptPart commonPart {1, 1000};
constexpr PromptPart crashingPart {2, 300};
constexpr PromptPart otherPart {3, 300};

class CrashingPartTest : public test::BalancerFixture
{
protected:
    CrashingPartTest()
    {
        isEngine = true;
        installCatalog();
        installTargets({"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"});
    }

    std::optional<Dispatch> dispatchOfLastEvent() const
    {
        const auto *dispatch = findAction<Dispatch>();
        return dispatch ? std::optional(*dispatch) : std::nullopt;
    }

    /// Sends a request that is unlike all others but for these parts of its prompt.
    std::optional<Dispatch> send(std::vector<PromptPart> parts)
    {
        sharedParts = std::move(parts);
        requestBodyHash = lastHandle + 1;
        sendRequest("/read/" + std::to_string(lastHandle));
        return dispatchOfLastEvent();
    }

    void begin(const Dispatch &dispatch)
    {
        handle(AttemptHead {dispatch.handle, dispatch.attempt, 200, {}});
    }

    void complete(const Dispatch &dispatch, bool endedWithConnection = false)
    {
        begin(dispatch);
        AttemptDone done {dispatch.handle, dispatch.attempt, 200, {}, 10, {}, {}};
        done.endedWithConnection = endedWithConnection;
        handle(done);
    }

    /// Ends the target soon after it has begun its answer. Returns the next attempt, if any.
    std::optional<Dispatch> crash(const Dispatch &dispatch)
    {
        begin(dispatch);
        advanceTime(100ms);
        handle(makeFailure(dispatch, AttemptFailure::TruncatedResponse));
        return dispatchOfLastEvent();
    }

    /// Sends sound requests until one of them goes to the target.
    std::optional<Dispatch> sendTo(const TargetId &target)
    {
        for (int i = 0; i < 40; ++i) {
            const auto dispatch = send({otherPart});
            if (dispatch && dispatch->target == target)
                return dispatch;
        }
        return std::nullopt;
    }

    /// Sends requests with the parts until they have ended that many targets or are refused.
    int crashTargets(const std::vector<PromptPart> &parts, int count)
    {
        int crashes = 0;
        while (crashes < count) {
            auto dispatch = send(parts);
            if (!dispatch)
                break;
            for (; dispatch && crashes < count; ++crashes)
                dispatch = crash(*dispatch);
            if (dispatch)
                handle(CallerGone {dispatch->handle});
        }
        return crashes;
    }
};

} // namespace

// Guards against one target after the other being ended by requests of which no two are alike.
TEST_F(CrashingPartTest, PartThatEndsTargetsIsRefused)
{
    EXPECT_LE(crashTargets({commonPart, crashingPart, otherPart}, 6), 3);
    ASSERT_FALSE(send({commonPart, crashingPart, otherPart}));
    EXPECT_EQ(findAction<Refuse>()->type, "crashing-part");
    EXPECT_EQ(findAction<Refuse>()->verdict, Verdict::NotRun);
    EXPECT_FALSE(send({crashingPart}));
}

// Guards against a request's record being cleared by an answer that only looks complete: a target
// that ends between two writes ends an answer without a length, too.
TEST_F(CrashingPartTest, AnswerThatEndsWithItsTargetAcquitsNothing)
{
    requestBodyHash = 77;
    sharedParts = {commonPart};
    sendRequest("/read/1");
    const auto second = crash(*dispatchOfLastEvent());
    ASSERT_TRUE(second);
    const auto beside = sendTo(second->target);
    ASSERT_TRUE(beside);
    complete(*second, true);
    handle(makeFailure(*beside, AttemptFailure::Reset));
    requestBodyHash = 77;
    sharedParts = {commonPart};
    sendRequest("/read/1");
    const auto third = dispatchOfLastEvent();
    ASSERT_TRUE(third);
    crash(*third);
    requestBodyHash = 77;
    sendRequest("/read/1");
    EXPECT_FALSE(findAction<Dispatch>());
}
