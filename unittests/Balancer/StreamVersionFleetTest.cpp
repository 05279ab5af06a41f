// Tests fleets whose targets are replaced by other software versions while nodes and targets fail
// and callers take streams up through any node. BERYLRIDGE_STREAM_SEEDS sets the number of seeds.
#include "SimulatedStreams.h"

#include <algorithm>
#include <cstdlib>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <utility>

namespace berylridge::test {
namespace {

constexpr std::uint64_t defaultSeeds = 4;
/// The users' bound for streams that hold events of two versions.
constexpr std::uint64_t maxJoinedStreams = 2;

std::uint64_t seedCount()
{
    const char *text = std::getenv("BERYLRIDGE_STREAM_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : defaultSeeds;
}

struct FleetSize
{
    std::size_t nodesPerZone;
    std::size_t targets;
    double streamsPerSecond;
    std::uint64_t seedDivisor; ///< Large fleets are simulated with fewer seeds.
};

class StreamVersionFleetTest : public testing::TestWithParam<FleetSize>
{
protected:
    static std::uint64_t seeds()
    {
        return std::max<std::uint64_t>(1, seedCount() / GetParam().seedDivisor);
    }

    /// Returns the result of the simulation, which the tests of a size share.
    static const SimulatedStreams::Result &resultOf(std::uint64_t seed)
    {
        static std::map<std::pair<std::size_t, std::uint64_t>, SimulatedStreams::Result> results;
        const auto key = std::pair(GetParam().nodesPerZone, seed);
        const auto found = results.find(key);
        if (found != results.end())
            return found->second;
        SimulatedStreamsOptions options;
        options.site.seed = seed;
        options.site.nodesPerZone = GetParam().nodesPerZone;
        options.site.targets = GetParam().targets;
        options.streamsPerSecond = GetParam().streamsPerSecond;
        return results[key] = SimulatedStreams(options).run();
    }
};

} // namespace

// Guards against streams that hold events of two software versions, within a response or over a
// caller's requests.
TEST_P(StreamVersionFleetTest, StreamsAreNotJoinedFromTwoVersions)
{
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        const SimulatedStreams::Result &result = resultOf(seed);
        EXPECT_LE(result.joined, maxJoinedStreams) << "seed " << seed;
        EXPECT_GT(result.wentOnWithinResponse, 0U) << "seed " << seed;
        RecordProperty("seed_" + std::to_string(seed),
                       "joined " + std::to_string(result.joined) + ", continued within response "
                           + std::to_string(result.wentOnWithinResponse) + ", messages "
                           + std::to_string(result.messages));
    }
}

// Guards against streams that don't go on at their version when they are taken up, while new ones
// begin.
TEST_P(StreamVersionFleetTest, TakenUpStreamsGoOnAsOftenAsNewOnesBegin)
{
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        const SimulatedStreams::Result &result = resultOf(seed);
        EXPECT_GT(result.takenUp, 12U) << "seed " << seed;
        EXPECT_GE(result.goOnShare(), result.beginShare() / 2) << "seed " << seed;
        RecordProperty("seed_" + std::to_string(seed),
                       "go on " + std::to_string(result.wentOn) + " of "
                           + std::to_string(result.takenUp) + ", begin "
                           + std::to_string(result.begun) + " of "
                           + std::to_string(result.requested));
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, StreamVersionFleetTest,
                         testing::Values(FleetSize {2, 9, 60, 1}, FleetSize {3, 9, 120, 1},
                                         FleetSize {10, 30, 200, 4}),
                         [](const auto &parameters) {
                             return std::to_string(3 * parameters.param.nodesPerZone) + "Nodes";
                         });

} // namespace berylridge::test
