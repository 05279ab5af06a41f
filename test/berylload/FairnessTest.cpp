// Tests how berylload computes the fairness figures that reports and documentation use.
#include "EngineSampler.h"

#include <gtest/gtest.h>

using namespace berylridge;

namespace {

Sample makeSample(std::vector<double> busy, std::vector<bool> backlogged, double running)
{
    return {std::move(busy), std::move(backlogged), running, 10};
}

} // namespace

TEST(Fairness, UnusedShareIsRedistributedByWeight)
{
    EXPECT_EQ(maxMinFairShares({2, 100, 100}, {1, 1, 2}, 20), (std::vector<double> {2, 6, 12}));
    EXPECT_EQ(maxMinFairShares({1, 2, 3}, {1, 1, 1}, 20), (std::vector<double> {1, 2, 3}));
}

// Service that a workspace receives while the other has no backlog is not unfair: the gap counts
// only changes while both are continuously backlogged.
TEST(Fairness, GapCountsOnlyWhileBothAreBacklogged)
{
    const std::vector<Sample> samples {
        makeSample({0, 0}, {true, true}, 10),  makeSample({4, 1}, {true, true}, 10),
        makeSample({90, 1}, {true, false}, 5), makeSample({91, 2}, {true, true}, 9),
        makeSample({93, 3}, {true, true}, 9),
    };
    const auto fairness = measureFairness(samples, {1, 1});
    EXPECT_DOUBLE_EQ(fairness.gap, 3);
    EXPECT_DOUBLE_EQ(fairness.busySeconds[0], 93);
    EXPECT_DOUBLE_EQ(fairness.utilisation, 0.86);
    EXPECT_EQ(fairness.backloggedSamples, 5U);
}

TEST(Fairness, GapIsNormalizedToTheMeanWeight)
{
    const std::vector<Sample> samples {makeSample({0, 0}, {true, true}, 1),
                                       makeSample({9, 1}, {true, true}, 1)};
    EXPECT_DOUBLE_EQ(measureFairness(samples, {3, 1}).gap, 4);
}
