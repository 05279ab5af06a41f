// Tests fleets under overload whose targets ask for pauses, shut down and restart, for several
// seeds. BERYLRIDGE_ADVICE_SEEDS sets their number for longer runs.
#include "SimulatedTargets.h"

#include <cstdlib>
#include <gtest/gtest.h>

namespace berylridge::test {
namespace {

constexpr std::uint64_t defaultSeeds = 4;
/// Requests of one node that a target accepts during a pause that it asked the node for.
constexpr std::uint32_t maxDuringPause = 2;

std::uint64_t seedCount()
{
    const char *text = std::getenv("BERYLRIDGE_ADVICE_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : defaultSeeds;
}

struct FleetSize
{
    std::size_t nodesPerZone;
    std::size_t targets;
    double requestsPerSecond;
};

class TargetAdviceFleetTest : public testing::TestWithParam<FleetSize>
{
};

} // namespace

// Guards against requests that reach a target during its pause, or after it said that it leaves:
// first attempts, retries, and requests that were selected before the response arrived.
TEST_P(TargetAdviceFleetTest, TargetsGetWhatTheyAskedFor)
{
    const FleetSize size = GetParam();
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        SimulatedTargetsOptions options;
        options.seed = seed;
        options.nodesPerZone = size.nodesPerZone;
        options.targets = size.targets;
        options.requestsPerSecond = size.requestsPerSecond;
        options.isEngine = seed % 2 == 0;
        const SimulatedTargets::Result result = SimulatedTargets(options).run();
        EXPECT_LE(result.mostDuringPause, maxDuringPause) << "seed " << seed;
        EXPECT_EQ(result.afterLeaving, 0U) << "seed " << seed;
        EXPECT_GT(result.servedInTime, result.requests / 4) << "seed " << seed;
        RecordProperty("served_" + std::to_string(seed),
                       std::to_string(result.servedInTime) + " of "
                           + std::to_string(result.requests) + ", rejected by targets "
                           + std::to_string(result.rejectedByTargets) + ", with pause "
                           + std::to_string(result.rejectedWithPause));
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, TargetAdviceFleetTest,
                         testing::Values(FleetSize {3, 9, 700}, FleetSize {10, 30, 1500}),
                         [](const auto &parameters) {
                             return std::to_string(3 * parameters.param.nodesPerZone) + "Nodes";
                         });

} // namespace berylridge::test
