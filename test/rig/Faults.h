// Faults of a test run, alone or mixed by a seed: each happens to something, lasts a while and
// heals.
#pragma once

#include "Rig.h"

#include <cstdint>
#include <string>
#include <vector>

namespace berylridge::rig {

enum class Fault : std::uint8_t {
    CutZone,       ///< An availability zone is separated from all else.
    CutNode,       ///< One entry VM is.
    KillNode,      ///< A process dies and starts again with no memory.
    LoseVm,        ///< A VM vanishes; nothing refuses connections for it.
    PauseNode,     ///< A process stands still and wakes late.
    CrashTarget,   ///< Loses what runs, is down, comes back cold.
    ReplaceTarget, ///< The same without being seen down.
    HangTarget,    ///< What runs there never ends.
    PlatformDown,
    PlatformStale,
    ZoneOut,      ///< Operators take a zone out and back.
    TargetLeaves, ///< Operators let a target leave and come back.
    PlannedStop,  ///< A node is stopped by plan and started again.
    Flood,        ///< One workspace sends twenty times as much.
    Deadly,       ///< A request crashes each target that runs it and is sent again and again.
    LossyNetwork, ///< A tenth of the datagrams is lost and many come late.
};

inline constexpr std::size_t faultCount = 16;
const char *faultName(Fault fault);

class Faults
{
public:
    explicit Faults(Rig &rig)
        : m_rig(rig)
    {
    }

    /// Lets a fault happen now to something that the run's seed chooses.
    void inject(Fault fault, Duration time);
    void inject(Fault fault, Duration time, std::size_t victim);
    /// Lets several faults overlap.
    void injectMix(const std::vector<Fault> &faults, Duration window);
    /// So many different faults, chosen by the run's seed.
    std::vector<Fault> choose(std::size_t count);

    /// What happened, for people.
    const std::string &story() const { return m_story; }

private:
    void cut(const std::vector<PlaceId> &side, Duration time);
    void restartLater(std::size_t node, Duration time);
    void setMode(FakePlatform::Mode mode, Duration time);
    void zoneOut(std::size_t victim, Duration time);
    void lossy(Duration time);
    void tell(Fault fault, Duration time, const std::string &victim);

    Rig &m_rig;
    std::string m_story;
    int m_modes = 0;
};

} // namespace berylridge::rig
