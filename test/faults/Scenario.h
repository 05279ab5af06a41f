// One seeded run of a small deployment through mixed faults, judged by what targets
// onExecutionStarted and callers were told.
#pragma once

#include "rig/FaultInjector.h"

#include <cstdint>
#include <string>
#include <vector>

namespace berylridge::rig {

struct ScenarioResult
{
    std::vector<std::string> violations; ///< Broken promises.
    std::string faultLog;                ///< What was done to the deployment.
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t lost = 0;
    double utilisation = 0;
    double gap = 0;
    double starvation = 0;
};

/// The deployment of a seed: both of today's sizes in turn, with loads below and above capacity.
DeploymentOptions deploymentFor(std::uint64_t seed);

/// Two rounds of two or three overlapping faults, then drainTime, then everything must work again.
ScenarioResult runScenario(std::uint64_t seed);

/// The same with these faults instead of chosen ones.
ScenarioResult runScenario(std::uint64_t seed, const std::vector<Fault> &faults);

/// After drainTime: every node is ready and serves every service.
void checkRecovered(Rig &rig);

} // namespace berylridge::rig
