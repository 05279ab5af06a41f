// Measures the control cost of a node over the size of the fleet: processor time, memory and bytes
// on the network, each with a linear fit. The figures of docs/CAPACITY.md derive from its output.
#include "SingleNodeHarness.h"

#include <cmath>
#include <cstdio>
#include <cstring>
#include <functional>
#include <span>
#include <string>
#include <vector>

using namespace berylridge;

namespace {

constexpr Duration measuredTime = std::chrono::seconds(20);

struct Fit
{
    double intercept = 0;
    double slope = 0;
};

/// Fits a line by least squares.
Fit fitLine(std::span<const double> x, std::span<const double> y)
{
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    const auto n = static_cast<double>(x.size());
    for (std::size_t i = 0; i < x.size(); ++i) {
        sumX += x[i];
        sumY += y[i];
        sumXx += x[i] * x[i];
        sumXy += x[i] * y[i];
    }
    const double slope = (n * sumXy - sumX * sumY) / (n * sumXx - sumX * sumX);
    return {(sumY - slope * sumX) / n, slope};
}

void printRow(const char *label, double value, const CoreCost &cost)
{
    std::printf("%-22s %8.0f %10.3f %10.1f %10.2f %10.2f %8.1f\n", label, value,
                cost.cpuPerSecond * 100, cost.memoryBytes / 1024, cost.sentBytesPerSecond / 1024,
                cost.receivedBytesPerSecond / 1024, cost.requestsPerSecond);
}

void sweep(const char *label, std::vector<double> values,
           const std::function<void(FleetParameters &, double)> &set)
{
    std::vector<double> cpu;
    std::vector<double> memory;
    std::vector<double> bytes;
    for (const double value : values) {
        FleetParameters parameters;
        set(parameters, value);
        SingleNodeHarness node(parameters);
        const CoreCost cost = node.run(measuredTime);
        printRow(label, value, cost);
        cpu.push_back(cost.cpuPerSecond * 1e6);
        memory.push_back(cost.memoryBytes);
        bytes.push_back(cost.sentBytesPerSecond + cost.receivedBytesPerSecond);
    }
    const Fit cpuFit = fitLine(values, cpu);
    const Fit memoryFit = fitLine(values, memory);
    const Fit bytesFit = fitLine(values, bytes);
    std::printf(
        "  fit per unit: %.2f us/s (+%.0f), %.0f B memory (+%.0f), %.1f B/s both ways (+%.0f)\n\n",
        cpuFit.slope, cpuFit.intercept, memoryFit.slope, memoryFit.intercept, bytesFit.slope,
        bytesFit.intercept);
}

/// Returns the parameters of one node in a fleet of full size: 840 nodes in 27 zones, 12,000
/// replicas of 6 models, 3,100 workspaces, 87 requests per second, 43,000 changes per day.
FleetParameters fullSizeParameters()
{
    FleetParameters parameters;
    parameters.zones = 27;
    parameters.nodesPerZone = 31;
    parameters.services = 6;
    parameters.targetsPerZone = 74;
    parameters.workspaces = 3100;
    parameters.requestsPerSecond = 87;
    parameters.requestTime = std::chrono::seconds(9);
    return parameters;
}

void runFull()
{
    SingleNodeHarness node(fullSizeParameters());
    const CoreCost cost = node.run(measuredTime);
    printRow("whole fleet, one node", 840, cost);
    for (const auto &[kind, bytes] : cost.bytesByKind)
        std::printf("  %-24s %10.2f KB/s both ways\n", kind.c_str(), bytes / 1024);
}

} // namespace

int main(int argc, char **argv)
{
    std::printf("%-22s %8s %10s %10s %10s %10s %8s\n", "swept", "value", "cpu %", "memory KB",
                "sent KB/s", "recv KB/s", "req/s");
    if (argc > 1 && std::strcmp(argv[1], "--full") == 0) {
        runFull();
        return 0;
    }
    sweep("nodes in the zone", {3, 10, 31}, [](FleetParameters &parameters, double value) {
        parameters.nodesPerZone = static_cast<unsigned>(value);
    });
    sweep("zones", {3, 9, 27}, [](FleetParameters &parameters, double value) {
        parameters.zones = static_cast<unsigned>(value);
    });
    sweep("targets in the zone", {4, 16, 64}, [](FleetParameters &parameters, double value) {
        parameters.targetsPerZone = static_cast<unsigned>(value);
    });
    sweep("workspaces", {16, 310, 3100}, [](FleetParameters &parameters, double value) {
        parameters.workspaces = static_cast<unsigned>(value);
    });
    sweep("flows per demand", {1, 8, 32}, [](FleetParameters &parameters, double value) {
        parameters.flowsPerDemand = static_cast<unsigned>(value);
        parameters.workspaces = 310;
    });
    sweep("requests/s", {5, 20, 87, 200}, [](FleetParameters &parameters, double value) {
        parameters.requestsPerSecond = value;
        parameters.targetsPerZone = 64;
    });
    sweep("changes/h", {36, 360, 3600},
          [](FleetParameters &parameters, double value) { parameters.changesPerHour = value; });
    runFull();
    return 0;
}
