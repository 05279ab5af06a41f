#include "Scenario.h"

namespace berylridge::rig {

namespace {

using namespace std::chrono_literals;

constexpr Duration window = 8s; ///< In which the faults of a mix begin and end, mostly.
constexpr Duration settling = 12s;
constexpr Duration rest = 32s; ///< Longer than any caller waits.

ScenarioResult resultOf(const Rig &rig, const Faults &faults)
{
    const Journal &journal = rig.world.journal;
    ScenarioResult result;
    result.findings = journal.findings();
    result.story = faults.story();
    result.answered = journal.count(Ending::Answered);
    result.refused = journal.count(Ending::NotRun) + journal.count(Ending::MayHaveRun);
    result.lost
        = journal.count(Ending::Cut) + journal.count(Ending::Lost) + journal.count(Ending::GivenUp);
    result.utilisation = rig.meter->utilisation();
    result.gap = rig.meter->gap();
    result.starvation = rig.meter->longestStarvation();
    return result;
}

ScenarioResult run(std::uint64_t seed, const std::vector<Fault> *faults)
{
    Rig rig(seed, deploymentOf(seed));
    Faults injected(rig);
    rig.start();
    rig.callers->start();
    rig.meter->start();
    rig.run(4s);
    for (int round = 0; round < 2; ++round) {
        const std::size_t count = 2 + rig.world.random() % 2;
        injected.injectMix(faults ? *faults : injected.choose(count), window);
        rig.run(settling);
    }
    rig.drain(rest);
    checkRecovered(rig);
    return resultOf(rig, injected);
}

} // namespace

DeploymentOptions deploymentOf(std::uint64_t seed)
{
    DeploymentOptions options = seed % 2 == 0 ? menGom() : riviereBells();
    options.callers.meanCost = 1.0;
    options.callers.engineLoad = seed % 3 == 0 ? 0.6 : 1.1;
    options.callers.asksTwice = 0.1;
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
            rig.world.journal.fail("recovery",
                                   rig.nodes[i]->options().node.str() + " is not ready");
            continue;
        }
        requests.push_back(&rig.callers->send(rig.callers->generation(i), i));
        requests.push_back(&rig.callers->send(rig.callers->purchase(i, true), i));
        requests.push_back(&rig.callers->send(rig.callers->purchase(i, false), i));
    }
    rig.run(20s);
    for (const CallerRequest *request : requests) {
        for (const auto &callerTry : request->tries) {
            if (callerTry->ending == Ending::Answered)
                continue;
            const std::string node = rig.nodes[callerTry->node]->options().node.str();
            rig.world.journal.fail("recovery",
                                   callerTry->id + " at " + node
                                       + " was not answered: " + callerTry->problem);
        }
    }
}

} // namespace berylridge::rig
