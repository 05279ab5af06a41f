// Records which software versions the targets of each service had.
//
// A stream may only continue at the version that began it. Where just one version was listed for
// longer than a stream lasts, it began each stream, and no record of single streams is needed.
#pragma once

#include "berylridge/Support/Time.h"
#include "berylridge/Support/VersionKey.h"

#include <cstddef>
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

    /// Records that from now on all changes are known.
    void onComplete(TimePoint now);
    /// Records that a target with the version is listed, and no longer listed.
    void onListed(const std::string &service, VersionKey version, TimePoint now);
    void onUnlisted(const std::string &service, VersionKey version, TimePoint now);
    /// Records that a target with the version may have been listed until now, without onListed().
    void onFormerTarget(const std::string &service, VersionKey version, TimePoint now);

    /// Returns the only version that targets of the service had in the time `window` up to now.
    /// Returns nothing if there were several, or if the changes in that time are not all known.
    std::optional<VersionKey> onlyVersion(std::string_view service, Duration window,
                                          TimePoint now) const;

private:
    struct Version
    {
        std::size_t targets = 0; ///< Number of targets that are listed with it.
        TimePoint lastListedAt;
    };

    std::optional<TimePoint> m_completeSince;
    std::map<std::string, std::map<VersionKey, Version>, std::less<>> m_services;
};

} // namespace berylridge
