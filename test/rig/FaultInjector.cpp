#include "FaultInjector.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace berylridge::rig {

namespace {

constexpr auto faultNames = std::to_array<const char *>(
    {"cut-zone", "cut-node", "kill-node", "lose-vm", "pause-node", "crash-target", "replace-target",
     "hang-target", "platform-down", "platform-stale", "zone-out", "target-leaves", "planned-stop",
     "flood", "deadly", "lossy-network"});
static_assert(faultNames.size() == faultCount);

constexpr double floodLoadFactor = 20;

} // namespace

const char *faultName(Fault fault)
{
    return faultNames[static_cast<std::size_t>(fault)];
}

void FaultInjector::inject(Fault fault, Duration duration)
{
    inject(fault, duration, m_rig.simulation.random() % 1000);
}

void FaultInjector::inject(Fault fault, Duration duration, std::size_t victim)
{
    const std::size_t node = victim % m_rig.nodes.size();
    const std::size_t target = victim % m_rig.targets.size();
    const ZoneId zone(m_rig.options.zones[victim % m_rig.options.zones.size()]);
    switch (fault) {
    case Fault::PartitionZone:
        logFault(fault, duration, zone.str());
        partition(m_rig.hostsIn(zone), duration);
        break;
    case Fault::PartitionNode:
        logFault(fault, duration, m_rig.nodes[node]->options().node.str());
        partition({m_rig.nodes[node]->host()}, duration);
        break;
    case Fault::KillNode:
    case Fault::LoseVm:
        logFault(fault, duration, m_rig.nodes[node]->options().node.str());
        m_rig.nodes[node]->kill(fault == Fault::LoseVm);
        scheduleRestart(node, duration);
        break;
    case Fault::PauseNode:
        logFault(fault, duration, m_rig.nodes[node]->options().node.str());
        m_rig.nodes[node]->pause();
        m_rig.simulation.queue.scheduleAfter(duration,
                                             [this, node] { m_rig.nodes[node]->resume(); });
        break;
    case Fault::CrashTarget:
    case Fault::ReplaceTarget:
        logFault(fault, duration, m_rig.targets[target]->spec().target.str());
        m_rig.targets[target]->crash(fault == Fault::CrashTarget ? duration : Duration(1000));
        break;
    case Fault::HangTarget:
        logFault(fault, duration, m_rig.targets[target]->spec().target.str());
        m_rig.targets[target]->hang();
        break;
    case Fault::PlatformDown:
        logFault(fault, duration, "");
        setMode(FakePlatform::Mode::Down, duration);
        break;
    case Fault::PlatformStale:
        logFault(fault, duration, "");
        setMode(FakePlatform::Mode::Stale, duration);
        break;
    case Fault::EvacuateZone:
        logFault(fault, duration, zone.str());
        evacuateZone(victim, duration);
        break;
    case Fault::TargetLeaves:
        logFault(fault, duration, m_rig.targets[target]->spec().target.str());
        m_rig.setTargetLeaving(target, true);
        m_rig.simulation.queue.scheduleAfter(
            duration, [this, target] { m_rig.setTargetLeaving(target, false); });
        break;
    case Fault::PlannedStop:
        logFault(fault, duration, m_rig.nodes[node]->options().node.str());
        m_rig.nodes[node]->leave();
        m_rig.publishVms();
        scheduleRestart(node, duration);
        break;
    case Fault::Flood: {
        const std::size_t workspace = victim % m_rig.options.workspaces;
        logFault(fault, duration, "w" + std::to_string(workspace));
        m_rig.callers->setLoadFactor(workspace, floodLoadFactor);
        m_rig.simulation.queue.scheduleAfter(
            duration, [this, workspace] { m_rig.callers->setLoadFactor(workspace, 1); });
        break;
    }
    case Fault::QueryOfDeath:
        logFault(fault, duration, "");
        m_rig.callers->sendQueryOfDeath(victim % m_rig.options.workspaces, 6);
        break;
    case Fault::LossyNetwork:
        logFault(fault, duration, "");
        degradeNetwork(duration);
        break;
    }
}

void FaultInjector::injectMix(const std::vector<Fault> &faults, Duration window)
{
    for (const Fault fault : faults) {
        const Duration when
            = fromSeconds(toSeconds(window) * 0.5 * uniform(m_rig.simulation.random));
        const Duration duration
            = fromSeconds(toSeconds(window) * (0.1 + 0.9 * uniform(m_rig.simulation.random)));
        m_rig.simulation.queue.scheduleAfter(when,
                                             [this, fault, duration] { inject(fault, duration); });
    }
}

std::vector<Fault> FaultInjector::chooseFaults(std::size_t count)
{
    std::vector<Fault> allFaults;
    for (std::size_t i = 0; i < faultCount; ++i)
        allFaults.push_back(static_cast<Fault>(i));
    std::shuffle(allFaults.begin(), allFaults.end(), m_rig.simulation.random);
    allFaults.resize(count);
    return allFaults;
}

void FaultInjector::partition(const std::vector<HostId> &isolatedHosts, Duration duration)
{
    auto &network = m_rig.simulation.network;
    m_rig.simulation.journal.setPartitioned(true);
    const std::size_t number = network.partition(isolatedHosts);
    // Nodes that are separated from the platform, or from the nodes that have read an update, may
    // miss it.
    m_rig.addFleetOutage(duration);
    m_rig.simulation.queue.scheduleAfter(duration,
                                         [&network, number] { network.healPartition(number); });
}

void FaultInjector::scheduleRestart(std::size_t node, Duration duration)
{
    m_rig.simulation.queue.scheduleAfter(duration, [this, node, duration] {
        FakeNode &restarted = *m_rig.nodes[node];
        if (restarted.isUp() && restarted.isLeaving()) {
            scheduleRestart(node, duration);
            return;
        }
        if (!restarted.isUp())
            restarted.start();
        m_rig.publishVms();
    });
}

void FaultInjector::setMode(FakePlatform::Mode mode, Duration duration)
{
    m_rig.platform->setMode(mode);
    m_rig.addFleetOutage(duration);
    ++m_activeModeFaults;
    m_rig.simulation.queue.scheduleAfter(duration, [this] {
        if (--m_activeModeFaults == 0)
            m_rig.platform->setMode(FakePlatform::Mode::Up);
    });
}

void FaultInjector::evacuateZone(std::size_t victim, Duration duration)
{
    m_rig.setEvacuatedZones({ZoneId(m_rig.options.zones[victim % m_rig.options.zones.size()])});
    m_rig.simulation.queue.scheduleAfter(duration, [this] { m_rig.setEvacuatedZones({}); });
}

void FaultInjector::degradeNetwork(Duration duration)
{
    auto &network = m_rig.simulation.network.options;
    const NetworkOptions original = m_rig.options.network;
    network.lossProbability = 0.1;
    network.duplicationProbability = 0.05;
    network.delaySpikeProbability = 0.1;
    m_rig.simulation.queue.scheduleAfter(duration, [&network, original] { network = original; });
}

void FaultInjector::logFault(Fault fault, Duration duration, const std::string &victim)
{
    std::ostringstream line;
    line << "  " << toSeconds(m_rig.simulation.queue.now().time_since_epoch())
         << " s: " << faultName(fault) << ' ' << victim << " for " << toSeconds(duration) << " s\n";
    m_faultLog += line.str();
}

} // namespace berylridge::rig
