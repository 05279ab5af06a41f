// Tests the shares of workspaces, and the requests that they admit, under loads beyond the fleet's
// capacity.
#include "berylridge/Policy/WorkspaceShares.h"
#include "berylridge/Policy/Admission.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <map>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

/// Models a target with a fixed read rate and one queue. A node's view of the queue is up to one
/// digest period old.
class ReadingTarget
{
public:
    explicit ReadingTarget(double tokensPerMs)
        : m_tokensPerMs(tokensPerMs)
    {
    }

    double knownWaitMs() const { return m_knownQueued / m_tokensPerMs; }
    void updateKnownQueue() { m_knownQueued = m_queued; }
    void add(double tokens) { m_queued += tokens; }
    void advanceOneMs() { m_queued = std::max(0.0, m_queued - m_tokensPerMs); }

private:
    double m_tokensPerMs;
    double m_queued = 0;
    double m_knownQueued = 0;
};

/// Models one node that sends requests to one target, with the calls that the balancer makes.
class OneTarget
{
public:
    explicit OneTarget(double tokensPerMs, int digestPeriodMs)
        : m_target(tokensPerMs)
        , m_digestPeriodMs(digestPeriodMs)
    {
    }

    void sendRequest(WorkspaceKey workspace, double tokens)
    {
        constexpr double latencyTargetMs = 400;
        constexpr double readMs = 20;
        requestedTokens[workspace] += tokens;
        m_shares.onRequested(workspace, tokens, m_clock.now());
        const double ahead = m_shares.secondsOverShare(workspace, m_clock.now());
        const bool isLimited = m_shares.shareStatus(workspace, m_clock.now()).isLimited;
        if (m_target.knownWaitMs() > maxQueueWaitMs({latencyTargetMs, readMs, ahead, isLimited})) {
            m_shares.onRejected(tokens, m_clock.now());
            return;
        }
        m_shares.onAdmitted(workspace, tokens, m_clock.now());
        m_target.add(tokens);
        admittedTokens[workspace] += tokens;
    }

    void advanceOneMs(double configuredCapacity)
    {
        constexpr int updatePeriodMs = 100;
        m_target.advanceOneMs();
        m_clock.advance(1ms);
        ++m_ms;
        if (m_ms % m_digestPeriodMs == 0)
            m_target.updateKnownQueue();
        if (m_ms % updatePeriodMs == 0)
            m_shares.update(configuredCapacity, m_clock.now());
    }

    std::map<WorkspaceKey, double> requestedTokens;
    std::map<WorkspaceKey, double> admittedTokens;

private:
    ManualClock m_clock;
    WorkspaceShares m_shares;
    ReadingTarget m_target;
    int m_digestPeriodMs;
    int m_ms = 0;
};

} // namespace

TEST(WorkspaceShares, FairRateIsMaxMinFair)
{
    EXPECT_TRUE(std::isinf(maxMinFairRate({10, 20, 30}, 100)));
    EXPECT_DOUBLE_EQ(maxMinFairRate({10, 50, 60}, 90), 40);
    EXPECT_DOUBLE_EQ(maxMinFairRate({50, 50}, 50), 25);
    EXPECT_TRUE(std::isinf(maxMinFairRate({}, 0)));
}

// One workspace floods the fleet at its capacity. The small one's requests all stay within its
// share, and the flood gets the rest and no more.
TEST(WorkspaceShares, LimitsOnlyTheWorkspaceOverItsShare)
{
    constexpr WorkspaceKey flood = 1;
    constexpr WorkspaceKey small = 2;
    constexpr double capacity = 100000; // In tokens per second.
    OneTarget fleet(capacity / 1000, 1);
    for (int ms = 0; ms < 6000; ++ms) {
        if (ms == 2000)
            fleet.admittedTokens.clear();
        fleet.sendRequest(flood, 500); // 500,000 tokens per second.
        if (ms % 100 == 50)
            fleet.sendRequest(small, 2000); // 20,000 tokens per second.
        fleet.advanceOneMs(capacity);
    }
    EXPECT_DOUBLE_EQ(fleet.admittedTokens[small], 4 * 20000);
    EXPECT_NEAR(fleet.admittedTokens[flood] / 4, 80000, 8000);
}

// Two workspaces flood the fleet, one twice as hard, each through its own node. The configured
// capacity is a third of what the fleet serves. Both must get the same, regardless of what they
// request.
TEST(WorkspaceShares, SharesFollowTheServedRate)
{
    constexpr WorkspaceKey hard = 1;
    constexpr WorkspaceKey soft = 2;
    ManualClock clock;
    WorkspaceShares shares;
    shares.onDigest(NodeId("b"), {{{soft, 200000}}, 150000, 0}, clock.now());
    for (int ms = 0; ms < 3000; ++ms) {
        shares.onRequested(hard, 400, clock.now());
        shares.onAdmitted(hard, 150, clock.now());
        clock.advance(1ms);
    }
    shares.onDigest(NodeId("b"), {{{soft, 200000}}, 150000, 0}, clock.now());
    shares.update(100000, clock.now());
    EXPECT_NEAR(shares.fleet().fairRate, 150000, 20000);
}

// Guards against shares of a configured capacity that the targets do not have. Targets that lost
// their cache read every shared part anew and have a third of the configured capacity. A flood and
// a small workspace request less than the configured capacity, so neither would be over its share
// although most requests are rejected; the flood would get three times as much as the small one.
TEST(WorkspaceShares, SharesFollowTheServedRateBelowTheConfiguredCapacity)
{
    constexpr WorkspaceKey flood = 1;
    constexpr WorkspaceKey small = 2;
    constexpr double configuredCapacity = 700000; // In tokens per second.
    ManualClock clock;
    WorkspaceShares shares;
    int smallRefused = 0;
    int floodRefused = 0;
    for (int ms = 0; ms < 6000; ++ms) {
        if (ms % 100 == 0)
            shares.update(configuredCapacity, clock.now());
        shares.onRequested(flood, 450, clock.now()); // 450,000 tokens per second.
        const bool isFloodWithin = shares.secondsOverShare(flood, clock.now()) <= 0;
        floodRefused += isFloodWithin ? 0 : 1;
        if (ms % 2 == 0)
            shares.onAdmitted(flood, 450, clock.now()); // Half of the flood is admitted.
        else
            shares.onRejected(450, clock.now());
        if (ms % 100 == 50) {
            shares.onRequested(small, 8000, clock.now()); // 80,000 tokens per second.
            smallRefused += shares.secondsOverShare(small, clock.now()) <= 0 ? 0 : 1;
            shares.onAdmitted(small, 8000, clock.now());
        }
        clock.advance(1ms);
    }
    EXPECT_EQ(smallRefused, 0);
    EXPECT_GT(floodRefused, 1500);
}

// Guards against a node that aborts because it divides by a fair rate of zero: right after a common
// start, all requests were rejected and none was served.
TEST(WorkspaceShares, AFleetThatServesNothingHasNoInvalidShares)
{
    constexpr WorkspaceKey workspace = 1;
    constexpr double configuredCapacity = 700000; // In tokens per second.
    ManualClock clock;
    WorkspaceShares shares;
    for (int ms = 0; ms < 300; ++ms) {
        if (ms % 100 == 0)
            shares.update(configuredCapacity, clock.now());
        shares.onRequested(workspace, 10000, clock.now());
        ASSERT_GE(shares.secondsOverShare(workspace, clock.now()), 0) << "after " << ms << " ms";
        shares.onRejected(10000, clock.now());
        clock.advance(1ms);
    }
}

// Guards against targets that stand idle after a fault while callers are rejected. Most targets
// were unreachable for three seconds. They are back with room for all, but a limit of what was
// served lately would rise by a few percent a second.
TEST(WorkspaceShares, SharesRecoverSoonAfterAFault)
{
    constexpr WorkspaceKey flood = 1;
    constexpr double configuredCapacity = 700000; // In tokens per second.
    ManualClock clock;
    WorkspaceShares shares;
    for (int ms = 0; ms < 8000; ++ms) {
        if (ms % 100 == 0)
            shares.update(configuredCapacity, clock.now());
        shares.onRequested(flood, 1400, clock.now()); // Twice the configured capacity.
        const bool isFault = ms < 3000;
        if (isFault && ms % 10 != 0)
            shares.onRejected(1400, clock.now());
        else if (!isFault && shares.secondsOverShare(flood, clock.now()) > 0)
            shares.onHeldBack(1400, clock.now());
        else
            shares.onAdmitted(flood, 1400, clock.now());
        clock.advance(1ms);
    }
    EXPECT_GE(shares.fleet().capacity, 0.8 * configuredCapacity);
}

// Guards against the workspace that sends requests most often filling the queue whenever it looks
// short, since a node's view of it is 100 ms old. Two large workspaces request more than their
// shares, one six times as often as the other; the small one would be rejected for half of its
// requests, which are a seventh of its share.
TEST(WorkspaceShares, MaxWaitShrinksWithTheExcessOverTheShare)
{
    constexpr WorkspaceKey fast = 1;
    constexpr WorkspaceKey slow = 2;
    constexpr WorkspaceKey small = 3;
    OneTarget fleet(400, 100);
    for (int ms = 0; ms < 8000; ++ms) {
        fleet.sendRequest(fast, 3000);
        if (ms % 6 == 0)
            fleet.sendRequest(slow, 3000);
        if (ms % 50 == 0)
            fleet.sendRequest(small, 3000);
        fleet.advanceOneMs(700000);
    }
    EXPECT_GT(fleet.admittedTokens[small], 0.75 * fleet.requestedTokens[small]);
    EXPECT_GT(fleet.admittedTokens[slow], 0.75 * fleet.admittedTokens[fast]);
    EXPECT_GT(fleet.admittedTokens[fast] + fleet.admittedTokens[slow] + fleet.admittedTokens[small],
              0.95 * 8 * 400000);
}

// Guards against a debt from a time with a high fair rate shutting a workspace out for a long time
// when the fair rate is low.
TEST(WorkspaceShares, ADebtGetsNoLongerWhenTheShareFalls)
{
    constexpr WorkspaceKey own = 1;
    constexpr WorkspaceKey other = 2;
    ManualClock clock;
    WorkspaceShares shares;
    const auto pass = [&](double othersServed, double admitted) {
        shares.onDigest(NodeId("b"), {{{other, 4e7, othersServed}}, othersServed, 5e6},
                        clock.now());
        for (int ms = 0; ms < 100; ++ms) {
            shares.onRequested(own, 40000, clock.now());
            shares.onAdmitted(own, admitted, clock.now());
            clock.advance(1ms);
        }
        shares.update(0, clock.now());
    };
    for (int i = 0; i < 20; ++i)
        pass(5e6, 3000);
    for (int i = 0; i < 10; ++i)
        pass(5e6, 40000);
    double before = shares.secondsOverShare(own, clock.now());
    EXPECT_GT(before, 0);
    for (int i = 0; i < 20; ++i) {
        pass(1e5, 0);
        const double after = shares.secondsOverShare(own, clock.now());
        EXPECT_LE(after, before);
        before = after;
    }
}

// A summary stands for all nodes of its zone. If it counted as one node, the rates of the other
// digests of a period would be multiplied by the number of nodes that were not heard.
TEST(WorkspaceShares, ZoneSummariesAreNotExtrapolatedToOtherNodes)
{
    ManualClock clock;
    WorkspaceShares shares;
    constexpr WorkspaceKey workspace = 7;
    shares.onRequested(workspace, 1000, clock.now());
    const std::vector<WorkspaceShares::Flow> flows {{workspace, 1e6, 5e5}};
    for (const char *zone : {"b", "c", "d"})
        shares.onZoneSummary(zone, {flows, 5e5, 0, 40}, clock.now() + 1ms);
    for (int i = 0; i < 39; ++i)
        shares.onDigest(NodeId("a" + std::to_string(i)), {}, clock.now());
    clock.advance(1ms);
    shares.update(0, clock.now());
    EXPECT_NEAR(shares.fleet().servedPerSecond, 1.5e6, 1e4);
    const auto sum = shares.sumOfNodes([](const NodeId &) { return true; }, 1, clock.now());
    EXPECT_EQ(sum.nodes, 40U);
    EXPECT_EQ(sum.flows.size(), 1U);
}
