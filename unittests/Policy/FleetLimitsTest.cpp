#include "berylridge/Policy/FleetLimits.h"
#include "berylridge/Policy/TargetHealth.h"

#include <cmath>
#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

// Guards against a zone's targets crashing again when they return cold and all nodes have requests
// for them. In each second the nodes together must stay below the rate that a cold target can
// handle.
TEST(ColdTargetLimiter, FleetStaysBelowTheRate)
{
    constexpr double rate = 19;
    for (const std::size_t nodes : {2U, 7U, 9U}) {
        ManualClock clock;
        std::vector<ColdTargetLimiter> shares(nodes);
        clock.advance(10s);
        int taken = 0;
        for (int ms = 0; ms < 1000; ++ms) {
            for (ColdTargetLimiter &share : shares)
                taken += share.tryTake(rate, nodes, clock.now()) ? 1 : 0;
            clock.advance(1ms);
        }
        EXPECT_LE(taken, rate + static_cast<double>(nodes));
        EXPECT_GE(taken, rate);
    }
}

// Guards against 70 nodes using up the 680 connections of a target with idle ones. Beyond its
// limit, the target resets each new connection.
TEST(IdleConnectionLimit, FleetLeavesRoomForNewConnections)
{
    for (const std::size_t nodes : {2U, 6U, 70U}) {
        const std::uint32_t limit = 680;
        EXPECT_LE(idleConnectionLimit(limit, nodes) * nodes, limit * 3 / 4);
        EXPECT_GE(idleConnectionLimit(limit, nodes), 2U);
    }
    EXPECT_GT(idleConnectionLimit(0, 70), 2U) << "no limit is known for the target";
}

// Guards against retries exceeding the fleet's budget in any window when every attempt fails, for
// any number of nodes.
TEST(FleetRetryBudget, FleetStaysWithinTheBudget)
{
    const FleetRetryBudget::Limits limits {0.2, 54, 10s};
    constexpr std::size_t nodes = 7;
    ManualClock clock;
    std::vector<FleetRetryBudget> shares(nodes);
    int firstAttempts = 0;
    int retries = 0;
    for (int step = 0; step < 1000; ++step) {
        for (FleetRetryBudget &share : shares) {
            share.onFirstAttempt(clock.now());
            ++firstAttempts;
            retries += share.tryTake(limits, nodes, clock.now()) ? 1 : 0;
        }
        clock.advance(10ms);
    }
    EXPECT_LE(retries, limits.ratio * firstAttempts + limits.slack);
    EXPECT_GT(retries, limits.ratio * firstAttempts / 2);
}

TEST(FleetRetryBudget, RetriesExpireAfterTheWindow)
{
    const FleetRetryBudget::Limits limits {0, 5, 10s};
    ManualClock clock;
    FleetRetryBudget share;
    EXPECT_TRUE(share.tryTake(limits, 2, clock.now()));
    EXPECT_TRUE(share.tryTake(limits, 2, clock.now()));
    EXPECT_FALSE(share.tryTake(limits, 2, clock.now()));
    clock.advance(11s);
    EXPECT_TRUE(share.tryTake(limits, 2, clock.now()));
}

// A target's port is closed. After a backoff one request probes it, and the other requests follow
// only after its response.
TEST(TargetHealth, OneRequestProbesAFailedTarget)
{
    ManualClock clock;
    TargetHealth health;
    health.onConnectFailed(clock.now());
    EXPECT_FALSE(health.isReachable(clock.now()));
    clock.advance(300ms);
    EXPECT_TRUE(health.isReachable(clock.now()));
    EXPECT_TRUE(health.isProbeNeeded());
    health.onProbeStarted(clock.now());
    EXPECT_FALSE(health.isReachable(clock.now()));
    health.onCompleteResponse(clock.now());
    EXPECT_TRUE(health.isReachable(clock.now()));
    EXPECT_FALSE(health.isProbeNeeded());
}

// A target fails half of its requests while its health check succeeds.
TEST(TargetHealth, FailuresDecay)
{
    ManualClock clock;
    TargetHealth health;
    health.onFailedResponse(clock.now());
    EXPECT_LT(health.failureRatio(clock.now()), 0.25);
    for (int i = 0; i < 20; ++i)
        health.onFailedResponse(clock.now());
    EXPECT_GT(health.failureRatio(clock.now()), 0.75);
    clock.advance(15s);
    EXPECT_LT(health.failureRatio(clock.now()), 0.25);
}
