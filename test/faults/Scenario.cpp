#include "Scenario.h"

namespace berylridge::rig {

namespace {

using namespace std::chrono_literals;

constexpr Duration faultWindow = 8s; ///< Faults start in its first half; most also end in it.
constexpr Duration roundDuration = 12s;
constexpr Duration drainTime = 32s; ///< Longer than any caller's timeout.

ScenarioResult makeResult(const Rig &rig, const FaultInjector &faults)
{
    const Journal &journal = rig.simulation.journal;
    ScenarioResult result;
    result.violations = journal.violations();
    result.faultLog = faults.faultLog();
    result.answered = journal.count(AttemptOutcome::Answered);
    result.refused
        = journal.count(AttemptOutcome::NotRun) + journal.count(AttemptOutcome::MayHaveRun);
    result.lost = journal.count(AttemptOutcome::Truncated) + journal.count(AttemptOutcome::NodeLost)
        + journal.count(AttemptOutcome::CallerClosed);
    result.utilisation = rig.meter->utilisation();
    result.gap = rig.meter->gap();
    result.starvation = rig.meter->longestStarvationSeconds();
    return result;
}

ScenarioResult run(std::uint64_t seed, const std::vector<Fault> *faults)
{
    Rig rig(seed, deploymentFor(seed));
    FaultInjector injector(rig);
    rig.start();
    rig.callers->start();
    rig.meter->start();
    rig.run(4s);
    for (int round = 0; round < 2; ++round) {
        const std::size_t count = 2 + rig.simulation.random() % 2;
        injector.injectMix(faults ? *faults : injector.chooseFaults(count), faultWindow);
        rig.run(roundDuration);
    }
    rig.drain(drainTime);
    checkRecovered(rig);
    return makeResult(rig, injector);
}

} // namespace

DeploymentOptions deploymentFor(std::uint64_t seed)
{
    DeploymentOptions options = seed % 2 == 0 ? menGom() : riviereBells();
    options.callers.meanCost = 1.0;
    options.callers.engineLoad = seed % 3 == 0 ? 0.6 : 1.1;
    options.callers.duplicateRatio = 0.1;
    return options;
}

ScenarioResult runScenario(std::uint64_t seed)
{
    return run(seed, nullptr);
}

ScenarioResult runScenario(std::uint64_t seed, const std::vector<Fault> &faults)
{
    return run(seed, &faults);
}

void checkRecovered(Rig &rig)
{
    std::vector<CallerRequest *> requests;
    for (std::size_t i = 0; i < rig.nodes.size(); ++i) {
        if (!rig.nodes[i]->isReady()) {
            rig.simulation.journal.recordViolation(
                "recovery", rig.nodes[i]->options().node.str() + " is not ready");
            continue;
        }
        requests.push_back(&rig.callers->send(rig.callers->makeGeneration(i), i));
        requests.push_back(&rig.callers->send(rig.callers->makePurchase(i, true), i));
        requests.push_back(&rig.callers->send(rig.callers->makePurchase(i, false), i));
    }
    rig.run(20s);
    for (const CallerRequest *request : requests) {
        for (const auto &callerAttempt : request->attempts) {
            if (callerAttempt->outcome == AttemptOutcome::Answered)
                continue;
            const std::string node = rig.nodes[callerAttempt->node]->options().node.str();
            rig.simulation.journal.recordViolation("recovery",
                                                   callerAttempt->id + " at " + node
                                                       + " was not answered: "
                                                       + callerAttempt->problemType);
        }
    }
}

} // namespace berylridge::rig
