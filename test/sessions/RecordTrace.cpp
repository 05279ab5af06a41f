// Records a trace: runs a deployment on the test rig and prints the events that its first node
// received. The last line contains the counts of the node's decisions, as the rig observed them.
#include "Session.h"

#include "rig/FaultInjector.h"

#include <iostream>
#include <tclap/CmdLine.h>

using namespace berylridge;
using namespace berylridge::rig;
using namespace std::chrono_literals;

namespace {

std::string toJsonLine(const Json::Value &json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

class Recorder
{
public:
    explicit Recorder(FakeNode &node)
    {
        node.eventObserver = [this, &node](const Event &event, TimePoint now, WallTime wall) {
            if (!m_hasHeader)
                std::cout << toJsonLine(headerToJson(node.options(), now, wall)) << '\n';
            m_hasHeader = true;
            if (std::holds_alternative<AttemptDone>(event))
                ++m_outcome["answered"];
            std::cout << toJsonLine(eventToJson(event, now, wall)) << '\n';
        };
        node.actionObserver = [this](const Action &action) {
            if (std::holds_alternative<Dispatch>(action))
                ++m_outcome["dispatched"];
            if (std::holds_alternative<SendStoredResponse>(action))
                ++m_outcome["kept"];
            if (const auto *refusal = std::get_if<Refuse>(&action))
                ++m_outcome["refused-" + std::string(verdictName(refusal->verdict))];
        };
    }

    void finish() const
    {
        Json::Value json;
        for (const auto &[name, count] : m_outcome)
            json["expected"][name] = Json::UInt64(count);
        std::cout << toJsonLine(json) << '\n';
    }

private:
    bool m_hasHeader = false;
    OutcomeCounts m_outcome;
};

/// Records a short run: requests on cold targets, a crash of a target, the evacuation of a zone,
/// and a planned stop of the node.
void recordTrace(DeploymentOptions options, std::uint64_t seed)
{
    options.callers.engineLoad = 0.2;
    options.callers.meanCost = 1.0;
    options.callers.lookupsPerSecond = 6;
    options.callers.purchasesPerSecond = 4;
    Rig rig(seed, std::move(options));
    FaultInjector faults(rig);
    const Recorder recorder(*rig.nodes.front());
    rig.start();
    rig.callers->start();
    rig.run(1500ms);
    faults.inject(Fault::CrashTarget, 1s, 0);
    rig.run(1500ms);
    rig.setEvacuatedZones({ZoneId("b")});
    rig.run(1500ms);
    rig.nodes.front()->leave();
    rig.callers->stop();
    rig.run(8s);
    recorder.finish();
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Records a trace of one node on the test rig.", ' ',
                               BERYLRIDGE_VERSION);
        TCLAP::ValueArg<std::string> deployment("d", "deployment", "men-gom or riviere-bells",
                                                false, "men-gom", "name", command);
        TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "seed of the run", false, 1, "seed",
                                            command);
        command.parse(argc, argv);
        recordTrace(deployment.getValue() == "men-gom" ? menGom() : riviereBells(),
                    seed.getValue());
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "recordtrace: " << error.what() << '\n';
        return 2;
    }
}
