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

// Guards against long requests being charged only when they end. The workspace would be granted one
// slot after another in the meantime, and the others would get no service.
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

// Guards against a workspace that returns after a night without requests occupying every slot until
// its service has caught up, while the others starve.
TEST(FlowAccounting, IdleFlowGainsNoCredit)
{
    ManualClock clock;
    FlowAccounting accounting;
    accounting.markActive(small, clock.now());
    for (int i = 0; i < 100; ++i) {
        accounting.markActive(large, clock.now());
        accounting.onFlowSelected(accounting.virtualTime(large, clock.now()));
        const TimePoint begun = clock.now();
        accounting.begin(large, 1s, begun);
        clock.advance(1s);
        accounting.end(large, 1s, begun, 1s);
    }
    accounting.markActive(small, clock.now());
    EXPECT_DOUBLE_EQ(accounting.virtualTime(small, clock.now()), 99.0);
}

// Guards against one lost demand datagram making a flow look idle. It never ceased to wait, so it
// must not lose the service that it is owed.
TEST(FlowAccounting, OneLostDemandMessageKeepsTheAccount)
{
    ManualClock clock;
    FlowAccounting accounting;
    accounting.markActive(small, clock.now());
    accounting.markActive(large, clock.now());
    accounting.begin(large, 5s, clock.now());
    accounting.onFlowSelected(5.0);
    clock.advance(800ms);
    accounting.markActive(small, clock.now());
    EXPECT_DOUBLE_EQ(accounting.virtualTime(small, clock.now()), 0.0);
}
