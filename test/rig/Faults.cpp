#include "Faults.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace berylridge::rig {

namespace {

constexpr auto names = std::to_array<const char *>(
    {"cut-zone", "cut-node", "kill-node", "lose-vm", "pause-node", "crash-target", "replace-target",
     "hang-target", "platform-down", "platform-stale", "zone-out", "target-leaves", "planned-stop",
     "flood", "deadly", "lossy-network"});
static_assert(names.size() == faultCount);

constexpr double floodFactor = 20;

} // namespace

const char *faultName(Fault fault)
{
    return names[static_cast<std::size_t>(fault)];
}

void Faults::inject(Fault fault, Duration time)
{
    inject(fault, time, m_rig.world.random() % 1000);
}

void Faults::inject(Fault fault, Duration time, std::size_t victim)
{
    const std::size_t node = victim % m_rig.nodes.size();
    const std::size_t target = victim % m_rig.targets.size();
    const ZoneId zone(m_rig.options.zones[victim % m_rig.options.zones.size()]);
    switch (fault) {
    case Fault::CutZone:
        tell(fault, time, zone.str());
        cut(m_rig.placesOf(zone), time);
        break;
    case Fault::CutNode:
        tell(fault, time, m_rig.nodes[node]->options().node.str());
        cut({m_rig.nodes[node]->place()}, time);
        break;
    case Fault::KillNode:
    case Fault::LoseVm:
        tell(fault, time, m_rig.nodes[node]->options().node.str());
        m_rig.nodes[node]->kill(fault == Fault::LoseVm);
        restartLater(node, time);
        break;
    case Fault::PauseNode:
        tell(fault, time, m_rig.nodes[node]->options().node.str());
        m_rig.nodes[node]->pause();
        m_rig.world.queue.after(time, [this, node] { m_rig.nodes[node]->resume(); });
        break;
    case Fault::CrashTarget:
    case Fault::ReplaceTarget:
        tell(fault, time, m_rig.targets[target]->spec().target.str());
        m_rig.targets[target]->crash(fault == Fault::CrashTarget ? time : Duration(1000));
        break;
    case Fault::HangTarget:
        tell(fault, time, m_rig.targets[target]->spec().target.str());
        m_rig.targets[target]->hang();
        break;
    case Fault::PlatformDown:
        tell(fault, time, "");
        setMode(FakePlatform::Mode::Down, time);
        break;
    case Fault::PlatformStale:
        tell(fault, time, "");
        setMode(FakePlatform::Mode::Stale, time);
        break;
    case Fault::ZoneOut:
        tell(fault, time, zone.str());
        zoneOut(victim, time);
        break;
    case Fault::TargetLeaves:
        tell(fault, time, m_rig.targets[target]->spec().target.str());
        m_rig.setTargetLeaving(target, true);
        m_rig.world.queue.after(time, [this, target] { m_rig.setTargetLeaving(target, false); });
        break;
    case Fault::PlannedStop:
        tell(fault, time, m_rig.nodes[node]->options().node.str());
        m_rig.nodes[node]->leave();
        m_rig.publishVms();
        restartLater(node, time);
        break;
    case Fault::Flood: {
        const std::size_t workspace = victim % m_rig.options.workspaces;
        tell(fault, time, "w" + std::to_string(workspace));
        m_rig.callers->flood(workspace, floodFactor);
        m_rig.world.queue.after(time, [this, workspace] { m_rig.callers->flood(workspace, 1); });
        break;
    }
    case Fault::Deadly:
        tell(fault, time, "");
        m_rig.callers->sendDeadly(victim % m_rig.options.workspaces, 6);
        break;
    case Fault::LossyNetwork:
        tell(fault, time, "");
        lossy(time);
        break;
    }
}

void Faults::injectMix(const std::vector<Fault> &faults, Duration window)
{
    for (const Fault fault : faults) {
        const Duration when = fromSeconds(toSeconds(window) * 0.5 * uniform(m_rig.world.random));
        const Duration time
            = fromSeconds(toSeconds(window) * (0.1 + 0.9 * uniform(m_rig.world.random)));
        m_rig.world.queue.after(when, [this, fault, time] { inject(fault, time); });
    }
}

std::vector<Fault> Faults::choose(std::size_t count)
{
    std::vector<Fault> all;
    for (std::size_t i = 0; i < faultCount; ++i)
        all.push_back(static_cast<Fault>(i));
    std::shuffle(all.begin(), all.end(), m_rig.world.random);
    all.resize(count);
    return all;
}

void Faults::cut(const std::vector<PlaceId> &side, Duration time)
{
    auto &links = m_rig.world.links;
    m_rig.world.journal.setSplit(true);
    const std::size_t number = links.cut(side);
    // Whoever is on the far side of the platform, or of a node that knows, may not hear.
    m_rig.disturbAll(time);
    m_rig.world.queue.after(time, [&links, number] { links.heal(number); });
}

void Faults::restartLater(std::size_t node, Duration time)
{
    m_rig.world.queue.after(time, [this, node, time] {
        FakeNode &restarted = *m_rig.nodes[node];
        if (restarted.isUp() && restarted.isLeaving()) {
            restartLater(node, time);
            return;
        }
        if (!restarted.isUp())
            restarted.start();
        m_rig.publishVms();
    });
}

void Faults::setMode(FakePlatform::Mode mode, Duration time)
{
    m_rig.platform->setMode(mode);
    m_rig.disturbAll(time);
    ++m_modes;
    m_rig.world.queue.after(time, [this] {
        if (--m_modes == 0)
            m_rig.platform->setMode(FakePlatform::Mode::Up);
    });
}

void Faults::zoneOut(std::size_t victim, Duration time)
{
    m_rig.takeOut({ZoneId(m_rig.options.zones[victim % m_rig.options.zones.size()])});
    m_rig.world.queue.after(time, [this] { m_rig.takeOut({}); });
}

void Faults::lossy(Duration time)
{
    auto &links = m_rig.world.links.options;
    const LinkOptions before = m_rig.options.links;
    links.loss = 0.1;
    links.duplication = 0.05;
    links.spike = 0.1;
    m_rig.world.queue.after(time, [&links, before] { links = before; });
}

void Faults::tell(Fault fault, Duration time, const std::string &victim)
{
    std::ostringstream line;
    line << "  " << toSeconds(m_rig.world.queue.now().time_since_epoch())
         << " s: " << faultName(fault) << ' ' << victim << " for " << toSeconds(time) << " s\n";
    m_story += line.str();
}

} // namespace berylridge::rig
