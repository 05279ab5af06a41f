// Runs the fault scenarios of a range of seeds. Prints each failing seed with its violations and
// the injected faults, and exits with 1 if a seed failed.
#include "Scenario.h"

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <tclap/CmdLine.h>

using namespace berylridge::rig;

namespace {

void print(std::uint64_t seed, const ScenarioResult &result)
{
    std::cout << "seed " << seed << " failed\n";
    for (const auto &violation : result.violations)
        std::cout << "  " << violation << '\n';
    std::cout << " what was done:\n" << result.faultLog << std::flush;
}

std::uint64_t runAll(std::uint64_t firstSeed, std::uint64_t count, bool isVerbose)
{
    std::uint64_t failed = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + count; ++seed) {
        const ScenarioResult result = runScenario(seed);
        if (!result.violations.empty()) {
            ++failed;
            print(seed, result);
        }
        if (isVerbose) {
            std::cout << "seed " << seed << ": answered " << result.answered << ", refused "
                      << result.refused << ", lost " << result.lost << ", utilisation "
                      << result.utilisation << ", gap " << result.gap << ", starvation "
                      << result.starvation << std::endl;
        }
    }
    return failed;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Runs fault scenarios of many seeds.", ' ', BERYLRIDGE_VERSION);
        TCLAP::ValueArg<std::uint64_t> firstSeed("f", "first", "first seed", false, 1, "seed",
                                                 command);
        TCLAP::ValueArg<std::uint64_t> count("c", "count", "number of seeds", false, 200, "count",
                                             command);
        TCLAP::SwitchArg verbose("v", "verbose", "print figures of each seed", command);
        command.parse(argc, argv);
        const std::uint64_t failed
            = runAll(firstSeed.getValue(), count.getValue(), verbose.getValue());
        std::cout << failed << " of " << count.getValue() << " seeds failed\n";
        return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const std::exception &error) {
        std::cerr << "faultseeds: " << error.what() << '\n';
        return 2;
    }
}
