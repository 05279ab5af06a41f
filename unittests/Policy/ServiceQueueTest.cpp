#include "berylridge/Policy/ServiceQueue.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

constexpr FlowId flow = 7;
const auto any = [](ServiceQueue::Handle) { return true; };

} // namespace

TEST(ServiceQueue, ServesInOrderOfArrivalWithRetriesFirst)
{
    ManualClock clock;
    ServiceQueue queue;
    queue.push(flow, 1, clock.now());
    queue.push(flow, 2, clock.now());
    queue.pushFront(flow, 3, clock.now(), clock.now());
    EXPECT_EQ(queue.popIf(flow, clock.now(), any), 3U);
    EXPECT_EQ(queue.popIf(flow, clock.now(), any), 1U);
    EXPECT_TRUE(queue.remove(flow, 2));
    EXPECT_EQ(queue.size(), 0U);
    EXPECT_FALSE(queue.popIf(flow, clock.now(), any));
}

TEST(ServiceQueue, ExpectedWaitFollowsTheDrainRate)
{
    ManualClock clock;
    ServiceQueue queue;
    for (ServiceQueue::Handle handle = 1; handle <= 20; ++handle)
        queue.push(flow, handle, clock.now());
    EXPECT_FALSE(queue.expectedWait(flow, clock.now())) << "nothing has left yet";
    for (int i = 0; i < 10; ++i) {
        clock.advance(100ms);
        queue.popIf(flow, clock.now(), any);
    }
    EXPECT_EQ(queue.expectedWait(flow, clock.now()), Duration(1s));

    // All slots are lost and nothing drains, so the wait that is reported to callers must grow.
    clock.advance(10s);
    EXPECT_EQ(queue.expectedWait(flow, clock.now()), Duration(50s));
}

// Guards against idle time being counted as a low drain rate. The second of two requests after half
// a minute without any was rejected as if it had to wait too long, although every slot was free.
TEST(ServiceQueue, IdleTimeDoesNotLowerTheDrainRate)
{
    ManualClock clock;
    ServiceQueue queue;
    for (ServiceQueue::Handle handle = 1; handle <= 5; ++handle) {
        queue.push(flow, handle, clock.now());
        clock.advance(2ms);
        queue.popIf(flow, clock.now(), any);
        clock.advance(30s);
    }
    queue.push(flow, 6, clock.now());
    clock.advance(1ms);
    EXPECT_EQ(queue.expectedWait(flow, clock.now()), Duration(2ms));
}

TEST(ServiceQueue, DemandReportsTheLongestWaits)
{
    ManualClock clock;
    ServiceQueue queue;
    for (FlowId id = 1; id <= 10; ++id) {
        queue.push(id, id, clock.now());
        clock.advance(1ms);
    }
    const auto demand = queue.demand(clock.now(), 3);
    ASSERT_EQ(demand.size(), 3U);
    for (const FlowDemand &entry : demand)
        EXPECT_LE(entry.flow, 3U);
}
