#include "berylridge/Policy/CrashRecord.h"

namespace berylridge {

namespace {

/// Counts from the last crash. Callers who resend for longer reach the limit again after two
/// further crashes.
constexpr Duration blockTime = std::chrono::minutes(10);

/// Time for the rerun on a second target: the check of the first target, and a wait in the queue.
constexpr Duration rerunHoldTime = std::chrono::seconds(4);

} // namespace

bool CrashRecord::isHeld(std::uint64_t fingerprint, TimePoint now) const
{
    const auto found = m_entries.find(fingerprint);
    return found != m_entries.end() && found->second.boots.size() < maxCrashes
        && now - found->second.lastAt < rerunHoldTime;
}

bool CrashRecord::add(std::uint64_t fingerprint, std::uint64_t boot, TimePoint now)
{
    Entry &entry = m_entries[fingerprint];
    if (!entry.boots.insert(boot).second)
        return false;
    entry.lastAt = now;
    return true;
}

std::size_t CrashRecord::crashes(std::uint64_t fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    return found == m_entries.end() ? 0 : found->second.boots.size();
}

std::optional<Duration> CrashRecord::remainingBlockTime(std::uint64_t fingerprint,
                                                        TimePoint now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.boots.size() < maxCrashes)
        return std::nullopt;
    const Duration left = found->second.lastAt + blockTime - now;
    return left > Duration(0) ? std::optional(left) : std::nullopt;
}

void CrashRecord::expire(TimePoint now)
{
    std::erase_if(m_entries,
                  [&](const auto &entry) { return entry.second.lastAt + blockTime < now; });
}

} // namespace berylridge
