#include "berylridge/Policy/TargetHolds.h"

#include <algorithm>

namespace berylridge {

void TargetHolds::add(const TargetId &target, std::uint64_t boot, Duration time, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_holds, [now](const auto &entry) { return entry.second.endsAt <= now; });
    Hold &hold = m_holds[target];
    if (hold.boot != boot)
        hold = {boot, now};
    hold.endsAt = std::max(hold.endsAt, now + std::min(time, maxHold));
}

bool TargetHolds::contains(const TargetId &target, std::uint64_t boot, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_holds.find(target);
    return found != m_holds.end() && found->second.boot == boot && now < found->second.endsAt;
}

} // namespace berylridge
