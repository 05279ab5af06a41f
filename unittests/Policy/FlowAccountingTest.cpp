#include "berylridge/Policy/FlowAccounting.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

constexpr FlowId small = 1;
constexpr FlowId large = 2;

} // namespace

TEST(FlowAccounting, VirtualTimeIsServiceOverWeight)
{
    ManualClock clock;
    FlowAccounting accounting;
    accounting.setWeight(large, 4);
    accounting.markActive(small, clock.now());
    accounting.markActive(large, clock.now());
    accounting.begin(small, 1s, clock.now());
    accounting.begin(large, 1s, clock.now());

    EXPECT_DOUBLE_EQ(accounting.virtualTime(small, clock.now()), 1.0);
    EXPECT_DOUBLE_EQ(accounting.virtualTime(large, clock.now()), 0.25);
}

// A workspace's long drafts take far longer than guessed. Its charge must grow while they run: if
// it were settled only at the end, the workspace would be given slot after slot meanwhile and the
// others would see their queues stand still.
TEST(FlowAccounting, OverrunIsChargedWhileTheRequestRuns)
{
    ManualClock clock;
    FlowAccounting accounting;
    accounting.markActive(large, clock.now());
    const TimePoint begun = clock.now();
    accounting.begin(large, 1s, begun);
    clock.advance(30s);
    EXPECT_DOUBLE_EQ(accounting.virtualTime(large, clock.now()), 30.0);

    accounting.end(large, 1s, begun, 30s);
    EXPECT_DOUBLE_EQ(accounting.virtualTime(large, clock.now()), 30.0);
    EXPECT_EQ(accounting.served(large, clock.now()), Duration(30s));
}

// A workspace comes back after a night without requests. Were its old account used, it would hold
// every slot until it had caught up with a night's work of the others, who would starve meanwhile.
TEST(FlowAccounting, IdleFlowGainsNoCredit)
{
    ManualClock clock;
    FlowAccounting accounting;
    accounting.markActive(small, clock.now());
    for (int i = 0; i < 100; ++i) {
        accounting.markActive(large, clock.now());
        accounting.onChosen(accounting.virtualTime(large, clock.now()));
        const TimePoint begun = clock.now();
        accounting.begin(large, 1s, begun);
        clock.advance(1s);
        accounting.end(large, 1s, begun, 1s);
    }
    accounting.markActive(small, clock.now());
    EXPECT_DOUBLE_EQ(accounting.virtualTime(small, clock.now()), 99.0);
}

// One datagram with demand is lost, and the flow seems idle for one period. It never ceased to
// wait, so what it was owed must not be taken from it.
TEST(FlowAccounting, OneLostDemandMessageKeepsTheAccount)
{
    ManualClock clock;
    FlowAccounting accounting;
    accounting.markActive(small, clock.now());
    accounting.markActive(large, clock.now());
    accounting.begin(large, 5s, clock.now());
    accounting.onChosen(5.0);
    clock.advance(800ms);
    accounting.markActive(small, clock.now());
    EXPECT_DOUBLE_EQ(accounting.virtualTime(small, clock.now()), 0.0);
}
