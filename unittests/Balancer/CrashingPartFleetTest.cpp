// Tests fleets to which requests come with a prompt part that ends targets, for several seeds.
// BERYLRIDGE_CRASH_SEEDS sets their number for longer runs.
#include "SimulatedCrashes.h"

#include <algorithm>
#include <cstdlib>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <utility>

namespace berylridge::test {
namespace {

constexpr std::uint64_t defaultSeeds = 6;
/// The users' bounds: requests with the part that nodes in touch may still send, and how often
/// sound requests beside them must begin compared with before.
constexpr std::uint64_t maxSentTooLate = 3;
constexpr double minBegunRatio = 0.5;

std::uint64_t seedCount()
{
    const char *text = std::getenv("BERYLRIDGE_CRASH_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : defaultSeeds;
}

struct FleetSize
{
    std::size_t nodesPerZone;
    std::size_t targets;
    double requestsPerSecond;
    std::uint64_t seedDivisor; ///< Large fleets are simulated with fewer seeds.
};

class CrashingPartFleetTest : public testing::TestWithParam<FleetSize>
{
protected:
    static std::uint64_t seeds()
    {
        return std::max<std::uint64_t>(1, seedCount() / GetParam().seedDivisor);
    }

    /// Returns the result of the simulation, which the tests of a size share.
    static const SimulatedCrashes::Result &resultOf(std::uint64_t seed)
    {
        static std::map<std::pair<std::size_t, std::uint64_t>, SimulatedCrashes::Result> results;
        const auto key = std::pair(GetParam().nodesPerZone, seed);
        const auto found = results.find(key);
        if (found != results.end())
            return found->second;
        constexpr CrashingPartPosition positions[]
            = {CrashingPartPosition::Between, CrashingPartPosition::First,
               CrashingPartPosition::Twice};
        SimulatedCrashesOptions options;
        options.site.seed = seed;
        options.site.nodesPerZone = GetParam().nodesPerZone;
        options.site.targets = GetParam().targets;
        options.requestsPerSecond = GetParam().requestsPerSecond;
        options.position = positions[seed % 3];
        options.unframedShare = seed % 4 == 0 ? 0.3 : seed % 4 == 2 ? 1 : 0;
        options.hasRareCompany = seed % 5 == 1;
        options.wasInUse = seed % 5 == 3;
        options.isFleetRestarted = seed % 7 == 4;
        options.crashingPerSecond = seed % 6 == 5 ? 12 : 4;
        return results[key] = SimulatedCrashes(options).run();
    }
};

} // namespace

// Guards against a prompt part that ends one target after the other although no two requests with
// it are alike.
TEST_P(CrashingPartFleetTest, RequestsWithACrashingPartAreStopped)
{
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        const SimulatedCrashes::Result &result = resultOf(seed);
        EXPECT_GT(result.crashes, 0U) << "seed " << seed;
        EXPECT_LE(result.sentTooLate, maxSentTooLate) << "seed " << seed;
        RecordProperty("seed_" + std::to_string(seed),
                       "ended " + std::to_string(result.crashes) + ", sent too late "
                           + std::to_string(result.sentTooLate) + ", messages "
                           + std::to_string(result.messages));
    }
}

// Guards against sound requests that are refused, or lose their targets, because requests of their
// caller or with the same first part crash targets.
TEST_P(CrashingPartFleetTest, SoundRequestsBesideThemBegin)
{
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        const SimulatedCrashes::Result &result = resultOf(seed);
        EXPECT_GE(result.leastRatio, minBegunRatio) << "seed " << seed;
        RecordProperty("seed_" + std::to_string(seed),
                       "begun before " + std::to_string(result.begunBefore) + ", after "
                           + std::to_string(result.begunAfter) + ", least ratio "
                           + std::to_string(result.leastRatio) + ", refused as crashing "
                           + std::to_string(result.refusedSound) + " of "
                           + std::to_string(result.soundRequests));
    }
}

// Guards against sound parts that stay quarantined because requests with them were interrupted at
// many targets at once: connections to two fifths of the targets break while none ends, or a
// quarter of the targets end.
TEST_P(CrashingPartFleetTest, AFaultOfManyTargetsQuarantinesNothingForLong)
{
    for (std::uint64_t seed = 1; seed <= std::min<std::uint64_t>(seeds(), 3); ++seed) {
        for (const MassFault fault : {MassFault::ConnectionsBreak, MassFault::TargetsEnd}) {
            SimulatedCrashesOptions options;
            options.site.seed = seed;
            options.site.nodesPerZone = GetParam().nodesPerZone;
            options.site.targets = GetParam().targets;
            options.requestsPerSecond = GetParam().requestsPerSecond;
            options.crashingPerSecond = 0;
            options.hasOtherFaults = false;
            options.cutShare = 0; // Several cut answers may quarantine a part for a second.
            options.massFault = fault;
            options.time = std::chrono::seconds(10);
            const SimulatedCrashes::Result result = SimulatedCrashes(options).run();
            EXPECT_GE(result.targetsBroken, 2U) << "seed " << seed;
            EXPECT_EQ(result.refusedSoundLate, 0U)
                << "seed " << seed << ", refused at all: " << result.refusedSound;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, CrashingPartFleetTest,
                         testing::Values(FleetSize {2, 9, 55, 1}, FleetSize {3, 18, 110, 1},
                                         FleetSize {10, 30, 190, 3}, FleetSize {25, 90, 550, 6}),
                         [](const auto &parameters) {
                             return std::to_string(3 * parameters.param.nodesPerZone) + "Nodes";
                         });

} // namespace berylridge::test
