// Compares the sharing policies on the test rig, with the sizes of both deployments and fixed
// seeds: service gap, utilisation, control traffic, and service during the evacuation and return of
// an availability zone.
#include "rig/Rig.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

using namespace berylridge;
using namespace berylridge::rig;
using namespace std::chrono_literals;

namespace {

constexpr Duration warmUp = 12s;
constexpr Duration timeBeforeEvacuation = 10s;
constexpr Duration evacuationTime = 15s;
constexpr Duration timeAfterReturn = 20s;

struct PolicyVariant
{
    const char *name;
    SharingPolicy policy;
};
constexpr PolicyVariant policyVariants[] = {{"fleet", SharingPolicy::Fleet},
                                            {"per-node", SharingPolicy::PerNode},
                                            {"round-robin", SharingPolicy::RoundRobin},
                                            {"fifo", SharingPolicy::Fifo}};

struct Deployment
{
    const char *name;
    DeploymentOptions options;
};

struct Figures
{
    double gap = 0;
    double inFlight = 0;
    double utilisation = 0;
    double starvation = 0;
    double controlBytes = 0; ///< Sent and received, per node and second.
};

double controlBytes(const Rig &rig)
{
    double bytes = 0;
    for (const auto &node : rig.nodes) {
        const ControlTraffic &traffic = node->traffic();
        bytes += static_cast<double>(traffic.sentBytes + traffic.receivedBytes);
    }
    return bytes / static_cast<double>(rig.nodes.size());
}

Figures measure(std::uint64_t seed, const DeploymentOptions &options, Duration time)
{
    Rig rig(seed, options);
    rig.start();
    rig.callers->start();
    rig.run(warmUp);
    const double bytesBefore = controlBytes(rig);
    rig.meter->start();
    rig.run(time);
    return {rig.meter->gap(), rig.meter->largestInFlightCost(), rig.meter->utilisation(),
            rig.meter->longestStarvationSeconds(),
            (controlBytes(rig) - bytesBefore) / toSeconds(time)};
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

void printPolicyRow(const Deployment &deployment, const PolicyVariant &variant, std::uint64_t seeds,
                    Duration time)
{
    std::vector<std::vector<double>> columns(5);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        DeploymentOptions options = alwaysBacklogged(deployment.options);
        options.policy = variant.policy;
        const Figures figures = measure(seed, options, time);
        const double values[] = {figures.gap, figures.inFlight, figures.utilisation,
                                 figures.starvation, figures.controlBytes};
        for (std::size_t i = 0; i < columns.size(); ++i)
            columns[i].push_back(values[i]);
    }
    std::cout << std::left << std::setw(16) << deployment.name << std::setw(13) << variant.name
              << std::right << std::fixed << std::setprecision(1) << std::setw(10)
              << median(columns[0]) << std::setw(13) << median(columns[1]) << std::setprecision(3)
              << std::setw(13) << median(columns[2]) << std::setprecision(1) << std::setw(13)
              << median(columns[3]) << std::setprecision(0) << std::setw(14) << median(columns[4])
              << std::endl;
}

/// Evacuates a zone and returns it to service under a load that two zones can just carry.
void printZoneEvacuation(const Deployment &deployment, std::uint64_t seed,
                         const std::string &dataDirectory)
{
    DeploymentOptions options = deployment.options;
    options.callers.engineLoad = 0.6;
    Rig rig(seed, options);
    rig.start();
    rig.callers->start();
    rig.run(warmUp);
    rig.meter->start();
    rig.run(timeBeforeEvacuation);
    rig.setEvacuatedZones({ZoneId("b")});
    rig.run(evacuationTime);
    rig.setEvacuatedZones({});
    rig.run(timeAfterReturn);

    std::ostringstream data;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost = 0;
    data << "# second utilisation waiting answered refused lost\n" << std::fixed;
    const auto &seconds = rig.meter->seconds();
    for (std::size_t i = 0; i + 1 < seconds.size(); ++i) {
        const SecondSample &sample = seconds[i];
        data << i << ' ' << std::setprecision(3)
             << (sample.slots > 0 ? sample.usedSlots / sample.slots : 0) << ' ' << sample.waiting
             << ' ' << sample.answered << ' ' << sample.refused << ' ' << sample.lost << '\n';
        answered += sample.answered;
        refused += sample.refused;
        lost += sample.lost;
    }
    std::uint64_t lateStarts = 0;
    for (const auto &request : rig.simulation.journal.requests()) {
        for (const auto &callerAttempt : request->attempts) {
            lateStarts += callerAttempt->startedAt
                    && *callerAttempt->startedAt - callerAttempt->sentAt > 2s
                ? 1
                : 0;
        }
    }
    std::cout << std::left << std::setw(16) << deployment.name << std::right << std::setw(10)
              << answered << std::setw(10) << refused << std::setw(10) << lost << std::setw(10)
              << lateStarts << std::setw(12) << rig.simulation.journal.violations().size()
              << std::endl;
    for (const auto &finding : rig.simulation.journal.violations())
        std::cout << "  " << finding << '\n';
    if (!dataDirectory.empty())
        std::ofstream(dataDirectory + "/zone-" + deployment.name + ".dat") << data.str();
}

void runAll(std::uint64_t seeds, Duration time, const std::string &dataDirectory)
{
    const Deployment deployments[] = {{"men-gom", menGom()}, {"riviere-bells", riviereBells()}};
    std::cout << "always backlogged, " << toSeconds(time) << " s, median of " << seeds << " seeds\n"
              << "deployment      sharing       gap[s/w] in flight[s/w] utilisation"
                 " starved[s] control[B/s/node]\n";
    for (const Deployment &deployment : deployments) {
        for (const PolicyVariant &variant : policyVariants)
            printPolicyRow(deployment, variant, seeds, time);
    }
    std::cout << "\na zone is evacuated for 15 s and returns, load 0.6 of all slots, 45 s\n"
              << "deployment        answered   refused      lost  late(>2s)  violations\n";
    for (const Deployment &deployment : deployments)
        printZoneEvacuation(deployment, 1, dataDirectory);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Compares the sharing policies on the test rig.", ' ',
                               BERYLRIDGE_VERSION);
        TCLAP::ValueArg<std::uint64_t> seeds("n", "seeds", "number of seeds per row", false, 3,
                                             "count", command);
        TCLAP::ValueArg<std::uint64_t> seconds("s", "seconds", "measured time in seconds", false,
                                               60, "seconds", command);
        TCLAP::ValueArg<std::string> data("d", "data", "directory for the plot data", false, "",
                                          "directory", command);
        command.parse(argc, argv);
        runAll(seeds.getValue(), std::chrono::seconds(seconds.getValue()), data.getValue());
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "fairnessbench: " << error.what() << '\n';
        return 2;
    }
}
