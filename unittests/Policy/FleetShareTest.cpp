#include "berylridge/Policy/FleetShare.h"
#include "berylridge/Policy/TargetHealth.h"
#include "berylridge/Policy/WorkspaceShares.h"

#include <cmath>
#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

// A zone's targets come back cold while all nodes have requests for them. In each second the nodes
// together must stay below what a cold target bears, or it falls over and comes back cold again.
TEST(ColdShare, NodesTogetherStayBelowTheRate)
{
    constexpr double rate = 19;
    for (const std::size_t nodes : {2U, 7U, 9U}) {
        PausedClock clock;
        std::vector<ColdShare> shares(nodes);
        clock.advance(10s);
        int taken = 0;
        for (int ms = 0; ms < 1000; ++ms) {
            for (ColdShare &share : shares)
                taken += share.tryTake(rate, nodes, clock.now()) ? 1 : 0;
            clock.advance(1ms);
        }
        EXPECT_LE(taken, rate + static_cast<double>(nodes));
        EXPECT_GE(taken, rate);
    }
}

// Every attempt fails. Further attempts end at the fleet's budget in any window, however many nodes
// take part.
TEST(RetryShare, NodesTogetherStayWithinTheBudget)
{
    const RetryShare::Limits limits {0.2, 54, 10s};
    constexpr std::size_t nodes = 7;
    PausedClock clock;
    std::vector<RetryShare> shares(nodes);
    int first = 0;
    int further = 0;
    for (int step = 0; step < 1000; ++step) {
        for (RetryShare &share : shares) {
            share.onFirstAttempt(clock.now());
            ++first;
            further += share.tryTake(limits, nodes, clock.now()) ? 1 : 0;
        }
        clock.advance(10ms);
    }
    EXPECT_LE(further, limits.ratio * first + limits.slack);
    EXPECT_GT(further, limits.ratio * first / 2);
}

TEST(RetryShare, TheWindowSlides)
{
    const RetryShare::Limits limits {0, 5, 10s};
    PausedClock clock;
    RetryShare share;
    EXPECT_TRUE(share.tryTake(limits, 2, clock.now()));
    EXPECT_TRUE(share.tryTake(limits, 2, clock.now()));
    EXPECT_FALSE(share.tryTake(limits, 2, clock.now()));
    clock.advance(11s);
    EXPECT_TRUE(share.tryTake(limits, 2, clock.now()));
}

TEST(WorkspaceShares, LevelsAreMaxMinFair)
{
    EXPECT_TRUE(std::isinf(maxMinLevel({10, 20, 30}, 100)));
    EXPECT_DOUBLE_EQ(maxMinLevel({10, 50, 60}, 90), 40);
    EXPECT_DOUBLE_EQ(maxMinLevel({50, 50}, 50), 25);
    EXPECT_TRUE(std::isinf(maxMinLevel({}, 0)));
}

// One workspace floods the fleet while it is full. The small one's requests all stay within its
// share; the flood gets what is left and no more.
TEST(WorkspaceShares, AFloodIsHeldToItsShareAndNeighboursAreNot)
{
    constexpr WorkspaceKey flood = 1;
    constexpr WorkspaceKey small = 2;
    constexpr double capacity = 100000; // tokens a second
    PausedClock clock;
    WorkspaceShares shares;
    double floodTaken = 0;
    int smallRefused = 0;
    for (int ms = 0; ms < 6000; ++ms) {
        if (ms % 100 == 0)
            shares.update(capacity, clock.now());
        shares.onAsked(flood, 500, clock.now()); // 500,000 a second
        if (shares.tryTake(flood, 500, clock.now()))
            floodTaken += ms >= 2000 ? 500 : 0;
        if (ms % 100 == 50) {
            shares.onAsked(small, 2000, clock.now()); // 20,000 a second
            smallRefused += shares.tryTake(small, 2000, clock.now()) ? 0 : 1;
        }
        clock.advance(1ms);
    }
    EXPECT_EQ(smallRefused, 0);
    EXPECT_NEAR(floodTaken / 4, 80000, 8000);
}

// Two workspaces flood the fleet, one twice as hard, each through its own node. Operators name a
// capacity of a third of what the fleet serves. Both must get the same, not by what they ask.
TEST(WorkspaceShares, SharesFollowWhatIsServed)
{
    constexpr WorkspaceKey hard = 1;
    constexpr WorkspaceKey soft = 2;
    PausedClock clock;
    WorkspaceShares shares;
    shares.onDigest(NodeId("b"), {{{soft, 200000}}, 150000, 0}, clock.now());
    for (int ms = 0; ms < 3000; ++ms) {
        shares.onAsked(hard, 400, clock.now());
        shares.onAdmitted(150, clock.now());
        clock.advance(1ms);
    }
    shares.onDigest(NodeId("b"), {{{soft, 200000}}, 150000, 0}, clock.now());
    shares.update(100000, clock.now());
    EXPECT_NEAR(shares.level(), 150000, 20000);
}

// Targets that have lost their memory read every shared part anew and bear a third of the capacity
// that operators name. A flood and a small workspace together ask for less than the named figure, so
// by that figure nobody is beyond its share, though most of both is turned away. The caller of the
// small one sees refusals while the flood gets three times as much.
TEST(WorkspaceShares, SharesFollowWhatIsServedWhereOperatorsNameMore)
{
    constexpr WorkspaceKey flood = 1;
    constexpr WorkspaceKey small = 2;
    constexpr double namedCapacity = 700000; // tokens a second
    PausedClock clock;
    WorkspaceShares shares;
    int smallRefused = 0;
    int floodRefused = 0;
    for (int ms = 0; ms < 6000; ++ms) {
        if (ms % 100 == 0)
            shares.update(namedCapacity, clock.now());
        shares.onAsked(flood, 450, clock.now()); // 450,000 a second
        const bool isFloodWithin = shares.tryTake(flood, 450, clock.now());
        floodRefused += isFloodWithin ? 0 : 1;
        if (ms % 2 == 0)
            shares.onAdmitted(450, clock.now()); // Half of the flood finds room.
        else
            shares.onTurnedAway(450, clock.now());
        if (ms % 100 == 50) {
            shares.onAsked(small, 8000, clock.now()); // 80,000 a second
            smallRefused += shares.tryTake(small, 8000, clock.now()) ? 0 : 1;
        }
        clock.advance(1ms);
    }
    EXPECT_EQ(smallRefused, 0);
    EXPECT_GT(floodRefused, 1500);
}

// A target's port is closed: it is left alone for a moment, then one request tries it, and only its
// answer brings the others back.
TEST(TargetHealth, OneRequestTriesATargetThatWasDown)
{
    PausedClock clock;
    TargetHealth health;
    health.onConnectFailed(clock.now());
    EXPECT_FALSE(health.isReachable(clock.now()));
    clock.advance(300ms);
    EXPECT_TRUE(health.isReachable(clock.now()));
    EXPECT_TRUE(health.isOnTrial());
    health.onTrial(clock.now());
    EXPECT_FALSE(health.isReachable(clock.now()));
    health.onAnswered(clock.now());
    EXPECT_TRUE(health.isReachable(clock.now()));
    EXPECT_FALSE(health.isOnTrial());
}

// A target fails half of its requests while its health check is good.
TEST(TargetHealth, FailuresFade)
{
    PausedClock clock;
    TargetHealth health;
    health.onFailedAnswer(clock.now());
    EXPECT_LT(health.failureShare(clock.now()), 0.25);
    for (int i = 0; i < 20; ++i)
        health.onFailedAnswer(clock.now());
    EXPECT_GT(health.failureShare(clock.now()), 0.75);
    clock.advance(15s);
    EXPECT_LT(health.failureShare(clock.now()), 0.25);
}
