// Records which software versions the targets of each service had.
//
// A stream may only continue at the version that began it. Where just one version was listed for
// longer than a stream lasts, it began each stream, and no record of single streams is needed.
#pragma once

#include "berylridge/Support/Time.h"
#include "berylridge/Support/VersionKey.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace berylridge {

/// Not thread-safe.
class VersionHistory
{
public:
    /// Versions that were not listed for this long are forgotten.
    static constexpr Duration maxWindow = std::chrono::minutes(10);

    /// Records a read of the platform by this node itself, after all its changes: those up to
    /// `revision` are known. A listing doesn't tell what was listed and removed before it.
    void onPlatformRead(std::uint64_t revision, bool isListing, TimePoint now);
    /// Records that from now on changes may be missed.
    void onReadingEnded() { m_completeSince.reset(); }
    /// Records that a target with the version is listed, and no longer listed.
    void onListed(const std::string &service, VersionKey version, TimePoint now);
    void onUnlisted(const std::string &service, VersionKey version, TimePoint now);
    /// Records that a target with the version may have been listed until now, without onListed().
    void onFormerTarget(const std::string &service, VersionKey version, TimePoint now);

    /// Returns whether all changes in the time `window` up to the platform's revision
    /// readRevision() are known.
    bool covers(Duration window, TimePoint now) const
    {
        return m_completeSince && now - *m_completeSince >= window;
    }
    /// Returns the platform's revision up to which this node's own reads know all changes; 0 if
    /// they know none.
    std::uint64_t readRevision() const { return m_completeSince ? m_readRevision : 0; }
    /// Returns the only version that targets of the service had for all that this node remembers;
    /// empty if there were several. A version whose targets are gone is remembered for long: behind
    /// a network partition, nodes go on using targets whose entries lapsed.
    std::optional<VersionKey> onlyKnownVersion(std::string_view service, TimePoint now) const;
    /// Returns the same up to readRevision(); empty also if not all changes in the time `window`
    /// are known.
    std::optional<VersionKey> onlyVersion(std::string_view service, Duration window,
                                          TimePoint now) const
    {
        return covers(window, now) ? onlyKnownVersion(service, now) : std::nullopt;
    }

private:
    struct Version
    {
        std::size_t targets = 0; ///< Number of targets that are listed with it.
        TimePoint lastListedAt;
    };

    /// Since when this node's own reads have known all changes.
    std::optional<TimePoint> m_completeSince;
    std::uint64_t m_readRevision = 0;
    std::map<std::string, std::map<VersionKey, Version>, std::less<>> m_services;
};

} // namespace berylridge
