#include "berylridge/Policy/OverloadReadiness.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <optional>
#include <vector>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

constexpr Duration period = 100ms;

class OverloadReadinessTest : public testing::Test
{
protected:
    /// Plays periods with these rates until the node has the state. Returns the time that this
    /// took, or nothing after the limit.
    std::optional<Duration> timeTo(RotationState state, double accepted, double shed,
                                   Duration limit)
    {
        for (Duration time {0}; time <= limit; time += period) {
            readiness.onAccepted(accepted * toSeconds(period), clock.now());
            readiness.onShed(shed * toSeconds(period), clock.now());
            if (readiness.update(zone, clock.now()) == state)
                return time;
            clock.advance(period);
        }
        return std::nullopt;
    }

    ManualClock clock;
    OverloadReadiness readiness;
    OverloadReadiness::Zone zone {.nodes = 16};
};

} // namespace

// Guards against a node that refuses thousands of requests a second of one workspace while the
// other nodes of its zone are idle.
TEST_F(OverloadReadinessTest, NodeThatShedsMostRequestsLeavesTheRotation)
{
    const auto left = timeTo(RotationState::Out, 20, 2000, 5s);
    ASSERT_TRUE(left);
    EXPECT_GE(*left, OverloadReadiness::overloadTime);
    EXPECT_LE(*left, OverloadReadiness::overloadTime + 500ms);
    const auto returned = timeTo(RotationState::In, 20, 0, 30s);
    ASSERT_TRUE(returned);
    EXPECT_GE(*returned, OverloadReadiness::minTimeOut - period);
}

// Guards against callers that keep coming to an overloaded node for seconds: the load balancer
// needs two negative checks, a second apart.
TEST_F(OverloadReadinessTest, OverloadedNodeReportsNotReadyAtOnce)
{
    ASSERT_TRUE(timeTo(RotationState::AboutToLeave, 20, 2000, 400ms));
    EXPECT_FALSE(readiness.isReady());
    ASSERT_TRUE(timeTo(RotationState::Out, 20, 2000, 5s));
    EXPECT_FALSE(readiness.isReady());
    ASSERT_TRUE(timeTo(RotationState::In, 20, 0, 30s));
    EXPECT_TRUE(readiness.isReady());
}

// Guards against a node that is taken out of rotation for a burst that ends before the load
// balancer's second check.
TEST_F(OverloadReadinessTest, ANodeIsReadyAgainSoonAfterAShortBurst)
{
    ASSERT_TRUE(timeTo(RotationState::AboutToLeave, 20, 2000, 400ms));
    const auto returned = timeTo(RotationState::In, 400, 0, 5s);
    ASSERT_TRUE(returned);
    EXPECT_LT(*returned, 1s);
    EXPECT_TRUE(readiness.isReady());
}

// Guards against a zone whose nodes all report not ready while they wait for their turn to leave.
TEST_F(OverloadReadinessTest, ANodeThatWaitsForItsTurnIsReady)
{
    zone = {.nodes = 16, .out = 2, .ahead = 2};
    ASSERT_TRUE(timeTo(RotationState::AboutToLeave, 20, 2000, 400ms));
    EXPECT_TRUE(readiness.isReady());
}

// Guards against nodes that leave for a short burst, or for a small excess that is better shed.
TEST_F(OverloadReadinessTest, ShortOrSmallOverloadKeepsTheNodeInRotation)
{
    EXPECT_FALSE(timeTo(RotationState::Out, 400, 300, 10s));
    EXPECT_FALSE(timeTo(RotationState::Out, 5, 30, 10s));
    for (int i = 0; i < 10; ++i) {
        EXPECT_FALSE(timeTo(RotationState::Out, 20, 2000, 600ms));
        EXPECT_FALSE(timeTo(RotationState::Out, 400, 0, 3s));
    }
}

// Guards against a flood that comes back with the connections each few seconds.
TEST_F(OverloadReadinessTest, RecurringOverloadKeepsTheNodeOutForLonger)
{
    Duration last {0};
    for (const Duration expected : {4s, 8s, 16s, 16s}) {
        ASSERT_TRUE(timeTo(RotationState::Out, 20, 2000, 5s));
        const auto out = timeTo(RotationState::In, 20, 0, 30s);
        ASSERT_TRUE(out);
        EXPECT_GE(*out, expected - period);
        EXPECT_LE(*out, expected + period);
        last = *out;
    }
    ASSERT_FALSE(timeTo(RotationState::Out, 400, 0, 20s));
    ASSERT_TRUE(timeTo(RotationState::Out, 20, 2000, 5s));
    EXPECT_LT(*timeTo(RotationState::In, 20, 0, 30s), last);
}

// Guards against a zone that takes all of its nodes out of rotation under a flood at all of them,
// and against the loss of nodes while others are out.
TEST_F(OverloadReadinessTest, MostNodesOfAZoneStayInRotation)
{
    zone = {.nodes = 16, .out = 2, .ahead = 2};
    EXPECT_FALSE(timeTo(RotationState::Out, 20, 2000, 10s));
    EXPECT_EQ(readiness.state(), RotationState::AboutToLeave);
    zone = {.nodes = 3};
    EXPECT_FALSE(timeTo(RotationState::Out, 20, 2000, 10s));
    zone = {.nodes = 16, .out = 3};
    EXPECT_TRUE(timeTo(RotationState::Out, 20, 2000, 10s));
    zone.ahead = 12;
    EXPECT_EQ(timeTo(RotationState::In, 20, 0, 2s), std::nullopt) << "those wait for their turn";
    zone = {.nodes = 6, .out = 3};
    EXPECT_EQ(timeTo(RotationState::In, 20, 0, 10s), Duration(0));
}

// Guards against nodes that leave together before they hear of each other: a flood reaches all
// nodes of a zone, which receive each other's states a digest late.
TEST(OverloadReadinessFleet, AtMostAQuarterOfAZoneIsOut)
{
    constexpr std::size_t nodeCount = 16;
    ManualClock clock;
    std::vector<OverloadReadiness> nodes(nodeCount);
    std::vector<RotationState> reported(nodeCount, RotationState::In);
    std::size_t mostOut = 0;
    for (int step = 0; step < 200; ++step) {
        std::size_t out = 0;
        for (std::size_t i = 0; i < nodeCount; ++i) {
            OverloadReadiness::Zone zone;
            zone.nodes = nodeCount;
            zone.digestTime = 2 * period;
            for (std::size_t other = 0; other < nodeCount; ++other) {
                zone.out += other != i && reported[other] == RotationState::Out ? 1 : 0;
                zone.ahead += other < i && reported[other] == RotationState::AboutToLeave ? 1 : 0;
            }
            nodes[i].onAccepted(2, clock.now());
            nodes[i].onShed(200, clock.now());
            out += nodes[i].update(zone, clock.now()) == RotationState::Out ? 1 : 0;
        }
        mostOut = std::max(mostOut, out);
        for (std::size_t i = 0; i < nodeCount; ++i)
            reported[i] = nodes[i].state();
        clock.advance(period);
    }
    EXPECT_EQ(mostOut, nodeCount / 4);
}
