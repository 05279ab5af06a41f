// Mixes of two and three failures at a time over fixed seeds. A seed that ever failed stays below
// by its number, with its cause.
#include "Scenario.h"

#include <gtest/gtest.h>

using namespace berylridge::rig;

namespace {

std::string textOf(const ScenarioResult &result)
{
    std::string text;
    for (const auto &finding : result.findings)
        text += "  " + finding + "\n";
    return text + "what was done:\n" + result.story;
}

class FaultSeeds : public testing::TestWithParam<std::uint64_t>
{
};

} // namespace

TEST_P(FaultSeeds, EveryPromiseHolds)
{
    const ScenarioResult result = runScenario(GetParam());
    EXPECT_TRUE(result.findings.empty()) << textOf(result);
    EXPECT_GT(result.answered, 0U);
}

INSTANTIATE_TEST_SUITE_P(Fixed, FaultSeeds, testing::Range<std::uint64_t>(1, 201));
