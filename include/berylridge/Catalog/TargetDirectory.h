// Which targets there are and which zones are taken out: update of the platform and of other nodes
// merged entry by entry, the newest revision first.
#pragma once

#include "berylridge/Catalog/TargetRecord.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylridge {

/// One change that a merge made, for the log.
struct DirectoryChange
{
    std::string subject; ///< Id of a target, or name of a zone.
    std::string description;
};

/// Not safe for use by two threads at once.
class TargetDirectory
{
public:
    /// A target as it is known.
    struct Entry
    {
        TargetRecord record; ///< The newest; where it was removed, the fields of the last one.
        TimePoint updatedAt; ///< When the newest record came.
        TimePoint coldUntil; ///< By the target's own word.
        /// An entry that lapsed while the platform was away is used until then: its target is back
        /// within about two seconds if it lives.
        std::optional<TimePoint> usableUntil;
    };

    /// How long an entry that lapsed during an outage of the platform is still used after its end:
    /// the platform's own bound of about two seconds, and half a second for the update to come.
    static constexpr Duration lapsedEntryGracePeriod = std::chrono::milliseconds(2500);

    /// Takes in update; true where anything changed.
    bool apply(const DirectoryUpdate &update, TimePoint now);
    /// The platform answers this node again after an outage: removals that it tells of in the next
    /// moments may be entries that lapsed.
    void onPlatformReconnected(TimePoint now) { m_lapseGraceEnd = now + lapsedEntryGracePeriod; }

    /// Whether new work may be sent to the target.
    bool isUsable(const Entry &entry, TimePoint now) const;
    bool isZoneEvacuated(const std::string &zone) const;
    bool isCold(const Entry &entry, TimePoint now) const { return entry.coldUntil > now; }

    const std::map<std::string, Entry> &entries() const { return m_entries; }
    const Entry *find(const std::string &id) const;

    /// Everything up to this revision of the platform is known; 0 before the first whole listing.
    std::uint64_t revision() const { return m_revision; }

    /// What a node lacks that knows everything up to a revision.
    DirectoryUpdate updateSince(std::uint64_t revision, TimePoint now) const;

    std::vector<DirectoryChange> takeChanges() { return std::exchange(m_changes, {}); }

private:
    bool mergeTarget(const TargetRecord &record, TimePoint now);
    bool mergeZone(const ZoneRecord &record);
    bool removeUnlisted(const DirectoryUpdate &update, TimePoint now);
    void markRemoved(Entry &entry, std::uint64_t revision, TimePoint now);
    void recordChange(std::string subject, std::string description);

    std::map<std::string, Entry> m_entries; ///< Removed ones too: their revisions must not return.
    std::map<std::string, ZoneRecord> m_zones;
    std::vector<DirectoryChange> m_changes;
    std::uint64_t m_revision = 0;
    std::uint64_t m_removalsKnownSince = 0; ///< Removals before this revision are not known.
    TimePoint m_lapseGraceEnd {};
};

} // namespace berylridge
