// FaultInjector of a test run, alone or mixed by a seed: each happens to something, lasts a while
// and heals.
#pragma once

#include "Rig.h"

#include <cstdint>
#include <string>
#include <vector>

namespace berylridge::rig {

enum class Fault : std::uint8_t {
    PartitionZone, ///< An availability zone is separated from allFaults else.
    PartitionNode, ///< One entry VM is.
    KillNode,      ///< A process dies and starts again with no memory.
    LoseVm,        ///< A VM vanishes; nothing refuses connections for it.
    PauseNode,     ///< A process stands still and wakes late.
    CrashTarget,   ///< Loses what runs, is down, comes back cold.
    ReplaceTarget, ///< The same without being seen down.
    HangTarget,    ///< What runs there never ends.
    PlatformDown,
    PlatformStale,
    EvacuateZone, ///< Operators take a zone out and back.
    TargetLeaves, ///< Operators let a target leave and come back.
    PlannedStop,  ///< A node is stopped by plan and started again.
    Flood,        ///< One workspace sends twenty times as much.
    QueryOfDeath, ///< A request crashes each target that runs it and is sent again and again.
    LossyNetwork, ///< A tenth of the datagrams is lost and many come late.
};

inline constexpr std::size_t faultCount = 16;
const char *faultName(Fault fault);

class FaultInjector
{
public:
    explicit FaultInjector(Rig &rig)
        : m_rig(rig)
    {
    }

    /// Lets a fault happen now to something that the run's seed chooses.
    void inject(Fault fault, Duration duration);
    void inject(Fault fault, Duration duration, std::size_t victim);
    /// Lets several faults overlap.
    void injectMix(const std::vector<Fault> &faults, Duration window);
    /// So many different faults, chosen by the run's seed.
    std::vector<Fault> chooseFaults(std::size_t count);

    /// What happened, for people.
    const std::string &faultLog() const { return m_faultLog; }

private:
    void partition(const std::vector<HostId> &isolatedHosts, Duration duration);
    void scheduleRestart(std::size_t node, Duration duration);
    void setMode(FakePlatform::Mode mode, Duration duration);
    void evacuateZone(std::size_t victim, Duration duration);
    void degradeNetwork(Duration duration);
    void logFault(Fault fault, Duration duration, const std::string &victim);

    Rig &m_rig;
    std::string m_faultLog;
    int m_activeModeFaults = 0;
};

} // namespace berylridge::rig
