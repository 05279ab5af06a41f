// Tracks the known targets and the evacuated zones. Merges updates from the platform and from other
// nodes entry by entry; the newest revision of an entry wins.
#pragma once

#include "berylridge/Catalog/PlatformUptime.h"
#include "berylridge/Catalog/TargetRecord.h"
#include "berylridge/Catalog/VersionHistory.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylridge {

/// Describes one change that a merge made, for the log.
struct DirectoryChange
{
    std::string subject; ///< Id of a target or name of a zone.
    std::string description;
    std::uint64_t revision = 0; ///< Platform revision of the change.
    /// Time for which a removed target is still used, if it is.
    std::optional<Duration> usableFor {};
};

/// Not thread-safe.
class TargetDirectory
{
public:
    /// Holds what is known about a target.
    struct Entry
    {
        /// Newest record; a removed target keeps the fields of its last record.
        TargetRecord record;
        VersionKey version = unknownVersion;
        TimePoint updatedAt; ///< Time at which the newest record was received.
        TimePoint coldUntil; ///< End of the cold state as the target reported it.
        /// The entry was removed and may have lapsed during a platform outage. If the target is
        /// alive, the platform lists it again within about two seconds.
        bool mayHaveLapsed = false;
    };

    /// Time for which entries that lapsed during a platform outage are used after its end. The
    /// platform lists live targets again within about this time.
    static constexpr Duration lapsedEntryGracePeriod = std::chrono::seconds(2);

    /// Merges an update. Returns true if anything changed.
    bool apply(const DirectoryUpdate &update, TimePoint now);
    /// Records that the platform answered this node, or what another node reports of its answers.
    /// Must be called before the update is applied that came with it.
    void onPlatformAnswered(TimePoint now);
    void onPlatformReported(const PlatformUptime::Report &report, TimePoint now);
    /// Records for how long another node has waited for an answer of the platform.
    void onPlatformWaitReported(Duration wait, TimePoint now)
    {
        m_platformUptime.onWaitReported(wait, now);
    }
    /// Records that this node itself read the update from the platform. Must be called after the
    /// update was applied.
    void onPlatformRead(const DirectoryUpdate &update, TimePoint now)
    {
        m_versions.onPlatformRead(update.revision, update.isFullSnapshot, now);
    }
    /// Records that this node begins to read the platform itself, or ceases to.
    void onPlatformReadingStarted(TimePoint now) { m_platformUptime.onReadingStarted(now); }
    void onPlatformReadingEnded()
    {
        m_versions.onReadingEnded();
        m_platformUptime.onReadingEnded();
    }
    void onProcessResumed(TimePoint now) { m_platformUptime.onProcessResumed(now); }
    const PlatformUptime &platformUptime() const { return m_platformUptime; }

    /// Returns whether new requests may be sent to the target.
    bool isUsable(const Entry &entry, TimePoint now) const;
    /// Returns for how long the entry's target is used after its removal; empty if it is not.
    std::optional<Duration> usableAfterRemoval(const Entry &entry, TimePoint now) const;
    bool isZoneEvacuated(const std::string &zone) const;
    bool isCold(const Entry &entry, TimePoint now) const { return entry.coldUntil > now; }

    const std::map<std::string, Entry> &entries() const { return m_entries; }
    const Entry *find(const std::string &id) const;

    /// Returns the platform revision up to which every change is known; 0 before the first full
    /// snapshot.
    std::uint64_t revision() const { return m_revision; }

    /// Returns the changes that a node with the given revision is missing.
    DirectoryUpdate updateSince(std::uint64_t revision, TimePoint now) const;

    /// Returns the software versions that the services' targets have and had.
    const VersionHistory &versions() const { return m_versions; }

    std::vector<DirectoryChange> takeChanges() { return std::exchange(m_changes, {}); }

private:
    bool mergeTarget(const TargetRecord &record, TimePoint now);
    bool mergeZone(const ZoneRecord &record);
    bool removeUnlisted(const DirectoryUpdate &update, TimePoint now);
    void addRemoved(Entry &entry, const TargetRecord &record, TimePoint now);
    void markRemoved(Entry &entry, std::uint64_t revision, TimePoint now);
    void recordRemoval(const Entry &entry, TimePoint now);
    std::optional<TimePoint> lapseGraceEnd() const;
    void removeUnlistedLapses(TimePoint now);

    /// Includes removed entries, so that older revisions of them are ignored.
    std::map<std::string, Entry> m_entries;
    std::map<std::string, ZoneRecord> m_zones;
    VersionHistory m_versions;
    std::vector<DirectoryChange> m_changes;
    std::uint64_t m_revision = 0;
    std::uint64_t m_removalsKnownSince = 0; ///< Removals before this revision are unknown.
    PlatformUptime m_platformUptime;
    bool m_hasLapses = false; ///< Some entry may have lapsed.
};

} // namespace berylridge
