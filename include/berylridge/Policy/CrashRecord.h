// Requests that crash the targets that run them. Each crash is known by the boot that it ended, so
// that it counts once, whoever tells of it.
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
    /// A request with this fingerprint crashes no more targets than this.
    static constexpr std::size_t maxCrashes = 2;

    /// A boot ended while it ran the request. Returns whether that is news.
    bool add(std::uint64_t fingerprint, std::uint64_t boot, TimePoint now);

    /// Whether a request that has not run yet is to wait: another one with its fingerprint crashed
    /// a target a moment ago, and its rerun shows whether it was guilty.
    bool isHeld(std::uint64_t fingerprint, TimePoint now) const;
    /// A request with this fingerprint was answered whole, so it doesn't crash what runs it.
    void clear(std::uint64_t fingerprint) { m_entries.erase(fingerprint); }

    std::size_t crashes(std::uint64_t fingerprint) const;
    /// How long the request is still refused; none when it may run.
    std::optional<Duration> remainingBlockTime(std::uint64_t fingerprint, TimePoint now) const;

    /// Calls visit(fingerprint, boot) for each crash that is remembered.
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
