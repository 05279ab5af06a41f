// Injects faults into a simulation, single ones or a mix that a seed determines. A fault affects
// one victim or the whole deployment, and ends after a duration.
#pragma once

#include "Rig.h"

#include <cstdint>
#include <string>
#include <vector>

namespace berylridge::rig {

enum class Fault : std::uint8_t {
    PartitionZone, ///< Separates an availability zone from all other hosts.
    PartitionNode, ///< Separates one router VM from all other hosts.
    KillNode,      ///< Terminates a process, which later restarts without state.
    LoseVm,        ///< Removes a VM for a while: connections to it time out.
    PauseNode,     ///< Suspends a process.
    CrashTarget,   ///< Resets the executions; the target is down and then cold.
    ReplaceTarget, ///< Like CrashTarget, with a downtime too short to be observed.
    HangTarget,    ///< The target's current executions never complete.
    PlatformDown,
    PlatformStale,
    EvacuateZone, ///< Operators evacuate a zone and return it to service.
    TargetLeaves, ///< Operators mark a target as leaving, then as back.
    PlannedStop,  ///< Operators stop a node gracefully and start it again.
    Flood,        ///< One workspace sends 20 times its normal load.
    QueryOfDeath, ///< A request that crashes each target that executes it is repeated.
    LossyNetwork, ///< Loses 10 % of the datagrams and delays as many.
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

    /// Injects a fault now, with a victim that the run's seed chooses.
    void inject(Fault fault, Duration duration);
    void inject(Fault fault, Duration duration, std::size_t victim);
    /// Schedules the faults at random times in the window, so that they can overlap.
    void injectMix(const std::vector<Fault> &faults, Duration window);
    /// Returns that many different faults, chosen by the run's seed.
    std::vector<Fault> chooseFaults(std::size_t count);

    /// Returns a readable list of the faults injected so far, one per line.
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
