// A scenario: a seed's simulation of a small deployment with a mix of faults. The journal checks
// the executions at targets against the outcomes at callers.
#pragma once

#include "rig/FaultInjector.h"

#include <cstdint>
#include <string>
#include <vector>

namespace berylridge::rig {

struct ScenarioResult
{
    std::vector<std::string> violations; ///< Of the journal's invariants.
    std::string faultLog;                ///< The injected faults, one per line.
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t lost = 0;
    double utilisation = 0;
    double gap = 0;
    double starvation = 0;
};

/// Returns the deployment of a seed. Seeds alternate between the two deployment sizes; the load is
/// below capacity for every third seed and above it for the others.
DeploymentOptions deploymentFor(std::uint64_t seed);

/// Runs two rounds of two or three overlapping faults, stops the callers until all requests have
/// ended, and checks the recovery.
ScenarioResult runScenario(std::uint64_t seed);

/// Runs the scenario with the given faults in both rounds.
ScenarioResult runScenario(std::uint64_t seed, const std::vector<Fault> &faults);

/// Checks that every node is ready and serves every service.
void checkRecovered(Rig &rig);

} // namespace berylridge::rig
