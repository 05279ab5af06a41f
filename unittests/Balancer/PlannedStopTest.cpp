// Planned stops: when the core ends them and how much time it leaves for the last responses.
#include "BalancerFixture.h"

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

    static constexpr Duration graceTime = 8s;
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

} // namespace
} // namespace berylridge::test
