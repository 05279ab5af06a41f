// Records which requests crash the targets that run them. A crash is identified by the boot that it
// ended, so that it counts once however many nodes report it.
#pragma once

#include "berylridge/Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace berylridge {

class CrashRecord
{
public:
    /// The number of targets that requests with one fingerprint may crash before they are rejected.
    static constexpr std::size_t maxCrashes = 2;

    /// Records that a boot ended while it ran the request. Returns whether the crash was unknown
    /// before.
    bool add(std::uint64_t fingerprint, std::uint64_t boot, TimePoint now);

    /// Returns whether a request that has not run yet has to wait: another one with its fingerprint
    /// crashed a target a moment ago, and its rerun shows whether it caused the crash.
    bool isHeld(std::uint64_t fingerprint, TimePoint now) const;
    /// Forgets the fingerprint: a request with it got a complete response, so it does not crash
    /// the targets that run it.
    void clear(std::uint64_t fingerprint) { m_entries.erase(fingerprint); }

    std::size_t crashes(std::uint64_t fingerprint) const;
    /// Returns how long the request is still rejected, or nothing if it may run.
    std::optional<Duration> remainingBlockTime(std::uint64_t fingerprint, TimePoint now) const;

    /// Calls visit(fingerprint, boot) for each recorded crash.
    template <typename Visit>
    void forEach(Visit visit) const
    {
        for (const auto &[fingerprint, entry] : m_entries) {
            for (const std::uint64_t boot : entry.boots)
                visit(fingerprint, boot);
        }
    }

    void expire(TimePoint now);

private:
    struct Entry
    {
        std::set<std::uint64_t> boots;
        TimePoint lastAt;
    };

    std::map<std::uint64_t, Entry> m_entries;
};

} // namespace berylridge
