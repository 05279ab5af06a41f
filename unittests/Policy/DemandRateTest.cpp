#include "berylridge/Policy/DemandRate.h"

#include "berylridge/Support/Random.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

constexpr double meanTokens = 12000;

class DemandRateTest : public testing::Test
{
protected:
    /// Sends requests of random sizes at random times. Returns the mean rate over the last ones.
    double playSeconds(int seconds)
    {
        double sum = 0;
        int samples = 0;
        for (int ms = 0; ms < seconds * 1000; ++ms) {
            if (uniform(m_random) < requestsPerSecond / 1000)
                demand.add(-std::log(1 - uniform(m_random)) * meanTokens, clock.now());
            clock.advance(1ms);
            if (ms >= 5000 && ms % 100 == 0) {
                lowest = std::min(lowest, demand.at(clock.now()));
                sum += demand.at(clock.now());
                ++samples;
            }
        }
        return sum / samples;
    }

    ManualClock clock;
    DemandRate demand;
    double requestsPerSecond = 175;
    double lowest = requestsPerSecond * meanTokens;

private:
    RandomEngine m_random {1};
};

} // namespace

// Guards against a flood at many nodes that gets less than its share, as the demand of callers that
// stay is underestimated whenever fewer requests come by chance.
TEST_F(DemandRateTest, ChanceDoesNotLowerTheRate)
{
    EXPECT_GE(playSeconds(60), 0.95 * requestsPerSecond * meanTokens);
    EXPECT_GE(lowest, 0.5 * requestsPerSecond * meanTokens);
}

// Guards against a share that stays with the node that a workspace's callers have left.
TEST_F(DemandRateTest, RateFallsSoonAfterCallersHaveLeft)
{
    const double before = playSeconds(10);
    clock.advance(500ms);
    EXPECT_LE(demand.at(clock.now()), before / 4);
}

// Guards against the same where the workspace sends fewer requests, as one that a small node reads.
TEST_F(DemandRateTest, RateOfFewerRequestsFallsWithinASecond)
{
    requestsPerSecond = 80;
    const double before = playSeconds(10);
    clock.advance(750ms);
    EXPECT_LE(demand.at(clock.now()), before / 3);
}

TEST_F(DemandRateTest, ChanceDoesNotLowerTheRateOfFewerRequests)
{
    requestsPerSecond = 80;
    lowest = requestsPerSecond * meanTokens;
    EXPECT_GE(playSeconds(60), 0.95 * requestsPerSecond * meanTokens);
    EXPECT_GE(lowest, 0.5 * requestsPerSecond * meanTokens);
}
