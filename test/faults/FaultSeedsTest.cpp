// Mixes of two and three failures at a time over fixed seeds. A seed that ever failed stays below
// by its number, with its cause.
#include "Scenario.h"

#include <gtest/gtest.h>

using namespace berylridge::rig;

namespace {

std::string describeFailure(const ScenarioResult &result)
{
    std::string text;
    for (const auto &violation : result.violations)
        text += "  " + violation + "\n";
    return text + "what was done:\n" + result.faultLog;
}

class FaultSeeds : public testing::TestWithParam<std::uint64_t>
{
};

} // namespace

TEST_P(FaultSeeds, NoInvariantIsViolated)
{
    const ScenarioResult result = runScenario(GetParam());
    EXPECT_TRUE(result.violations.empty()) << describeFailure(result);
    EXPECT_GT(result.answered, 0U);
}

INSTANTIATE_TEST_SUITE_P(Fixed, FaultSeeds, testing::Range<std::uint64_t>(1, 201));

// Failed once, outside the fixed range. 1019: a cold target got one too many beside work of a
// cut-off node. 1166: nodes ready just after the rig's wait. 111, 2114: a planned stop across a
// pause (RouterCoreTest.PauseRestartsQuietPeriodOfPlannedStop). Of the range, these failed once and
// what was mended: 3 10 28 60 69 80 117 182 (query of death), 14 38 79 112 180 (cold target), 51 55
// (drain meter), 29 59 121 130 136 174 (address of a node firstSeed heard by a key message).
INSTANTIATE_TEST_SUITE_P(Regressions, FaultSeeds, testing::Values<std::uint64_t>(1019, 1166, 2114));
