#include "berylridge/Catalog/TargetDirectory.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace berylridge {

namespace {

std::string describeListing(const TargetRecord &record)
{
    const std::string state = record.isDraining ? "draining" : "listed";
    return record.softwareVersion.empty() ? state + " without a software version"
                                          : state + " with version " + record.softwareVersion;
}

} // namespace

VersionKey versionKeyOf(const TargetRecord &record)
{
    const bool isKnown = !record.softwareVersion.empty();
    const std::uint64_t seed = isKnown
        ? hash64(record.service)
        : hash64(record.id, static_cast<std::uint64_t>(record.startedAtMs));
    const VersionKey key = hash64(record.softwareVersion, seed);
    return key == unknownVersion ? unknownVersion + 1 : key;
}

bool TargetDirectory::apply(const DirectoryUpdate &update, TimePoint now)
{
    // An answer to this node's former process, which knew more.
    if (update.sinceRevision > m_revision)
        return false;
    bool isChanged = false;
    for (const TargetRecord &record : update.targets)
        isChanged |= mergeTarget(record, now);
    for (const ZoneRecord &record : update.zones)
        isChanged |= mergeZone(record);
    if (update.isFullSnapshot)
        isChanged |= removeUnlisted(update, now);
    if (update.isComplete)
        m_revision = std::max(m_revision, update.revision);
    return isChanged;
}

void TargetDirectory::onPlatformAnswered(TimePoint now)
{
    m_platformUptime.onAnswered(now);
    removeUnlistedLapses(now);
}

void TargetDirectory::onPlatformReported(const PlatformUptime::Report &report, TimePoint now)
{
    m_platformUptime.onReported(report, now);
    removeUnlistedLapses(now);
}

std::optional<TimePoint> TargetDirectory::lapseGraceEnd() const
{
    const auto upSince = m_platformUptime.upSince();
    return upSince ? std::optional(*upSince + lapsedEntryGracePeriod) : std::nullopt;
}

/// Only an answer of the platform shows that an entry is still missing. If the platform is down
/// again before, its targets can't be listed.
void TargetDirectory::removeUnlistedLapses(TimePoint now)
{
    if (!m_hasLapses || m_platformUptime.answeredAt() < lapseGraceEnd())
        return;
    m_hasLapses = false;
    for (auto &[id, entry] : m_entries) {
        if (std::exchange(entry.mayHaveLapsed, false))
            recordRemoval(entry, now);
    }
}

bool TargetDirectory::mergeTarget(const TargetRecord &record, TimePoint now)
{
    // A peer that lags, or is still loading, lists what was gone before this node's snapshot.
    const bool isGone = !record.isRemoved && record.revision <= m_removalsKnownSince
        && !m_entries.contains(record.id);
    if (isGone) {
        m_versions.onFormerTarget(record.service, versionKeyOf(record), now);
        return false;
    }
    const auto [found, isNew] = m_entries.try_emplace(record.id);
    Entry &entry = found->second;
    if (!isNew && record.revision <= entry.record.revision) {
        // A newer record may have come first, by way of a peer, without this one's version.
        if (!record.isRemoved && versionKeyOf(record) != entry.version)
            m_versions.onFormerTarget(record.service, versionKeyOf(record), now);
        return false;
    }
    if (record.isRemoved) {
        if (isNew) {
            addRemoved(entry, record, now);
            return true;
        }
        // This node may not know the version that the target had last.
        if (!record.service.empty())
            m_versions.onFormerTarget(record.service, versionKeyOf(record), now);
        markRemoved(entry, record.revision, now);
        return true;
    }
    const bool isReportedChange = isNew || entry.record.isRemoved
        || entry.record.isDraining != record.isDraining
        || entry.record.startedAtMs != record.startedAtMs
        || entry.record.softwareVersion != record.softwareVersion;
    if (!isNew && !entry.record.isRemoved)
        m_versions.onUnlisted(entry.record.service, entry.version, now);
    entry.record = record;
    entry.version = versionKeyOf(record);
    m_versions.onListed(record.service, entry.version, now);
    entry.updatedAt = now;
    entry.coldUntil = now + fromMilliseconds(record.coldRemainingMs);
    entry.mayHaveLapsed = false;
    if (isReportedChange)
        m_changes.push_back({record.id, describeListing(record), record.revision});
    return true;
}

/// Adds an entry that a peer has known and that was removed before this node learned of it.
void TargetDirectory::addRemoved(Entry &entry, const TargetRecord &record, TimePoint now)
{
    entry.record = record;
    entry.version = versionKeyOf(record);
    // It may have been removed just now.
    if (!record.service.empty())
        m_versions.onFormerTarget(record.service, entry.version, now);
    entry.mayHaveLapsed = record.usableForMs > 0 && now < lapseGraceEnd();
    m_hasLapses |= entry.mayHaveLapsed;
}

void TargetDirectory::markRemoved(Entry &entry, std::uint64_t revision, TimePoint now)
{
    const bool wasRemoved = std::exchange(entry.record.isRemoved, true);
    entry.record.revision = revision;
    if (wasRemoved)
        return;
    m_versions.onUnlisted(entry.record.service, entry.version, now);
    // A draining target is gone; an entry that lapsed during the outage may belong to a healthy
    // target.
    const bool isAfterOutage = m_platformUptime.outageEnd().has_value();
    entry.mayHaveLapsed = !entry.record.isDraining && isAfterOutage && now < lapseGraceEnd();
    m_hasLapses |= entry.mayHaveLapsed;
    recordRemoval(entry, now);
}

void TargetDirectory::recordRemoval(const Entry &entry, TimePoint now)
{
    m_changes.push_back({entry.record.id, entry.mayHaveLapsed ? "lapsed" : "removed",
                         entry.record.revision, usableAfterRemoval(entry, now)});
}

bool TargetDirectory::mergeZone(const ZoneRecord &record)
{
    const bool isRestored = record.isEvacuated && record.revision <= m_removalsKnownSince
        && !m_zones.contains(record.zone);
    if (isRestored)
        return false;
    const auto [found, isNew] = m_zones.try_emplace(record.zone, record);
    if (!isNew && record.revision <= found->second.revision)
        return false;
    const bool wasEvacuated = !isNew && found->second.isEvacuated;
    found->second = record;
    if (wasEvacuated != record.isEvacuated) {
        m_changes.push_back(
            {record.zone,
             record.isEvacuated ? "zone taken out of service" : "zone returned to service",
             record.revision});
    }
    return true;
}

bool TargetDirectory::removeUnlisted(const DirectoryUpdate &update, TimePoint now)
{
    bool isChanged = false;
    std::set<std::string_view> listed;
    for (const TargetRecord &record : update.targets)
        listed.insert(record.id);
    for (auto &[id, entry] : m_entries) {
        if (listed.contains(id) || entry.record.isRemoved
            || entry.record.revision > update.revision)
            continue;
        markRemoved(entry, update.revision, now);
        isChanged = true;
    }
    for (auto &[name, zone] : m_zones) {
        const auto isSameZone
            = [&zone = zone](const ZoneRecord &each) { return each.zone == zone.zone; };
        const bool isListed = std::any_of(update.zones.begin(), update.zones.end(), isSameZone);
        if (isListed || !zone.isEvacuated || zone.revision > update.revision)
            continue;
        isChanged |= mergeZone({name, update.revision, false});
    }
    m_removalsKnownSince = std::max(m_removalsKnownSince, update.revision);
    return isChanged;
}

bool TargetDirectory::isUsable(const Entry &entry, TimePoint now) const
{
    if (entry.record.isDraining || isZoneEvacuated(entry.record.zone))
        return false;
    return !entry.record.isRemoved || usableAfterRemoval(entry, now);
}

std::optional<Duration> TargetDirectory::usableAfterRemoval(const Entry &entry, TimePoint now) const
{
    if (!entry.mayHaveLapsed)
        return std::nullopt;
    if (m_platformUptime.isSilent(now))
        return lapsedEntryGracePeriod;
    const TimePoint graceEnd = lapseGraceEnd().value_or(now);
    return now < graceEnd ? std::optional(graceEnd - now) : std::nullopt;
}

bool TargetDirectory::isZoneEvacuated(const std::string &zone) const
{
    const auto found = m_zones.find(zone);
    return found != m_zones.end() && found->second.isEvacuated;
}

const TargetDirectory::Entry *TargetDirectory::find(const std::string &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

DirectoryUpdate TargetDirectory::updateSince(std::uint64_t revision, TimePoint now) const
{
    DirectoryUpdate update;
    update.revision = m_revision;
    update.isComplete = m_revision > 0;
    // A receiver whose revision precedes this node's first snapshot may hold targets whose removal
    // this node never received. Only a full snapshot removes them.
    update.isFullSnapshot = revision < m_removalsKnownSince && m_revision > 0;
    update.sinceRevision = update.isFullSnapshot ? 0 : revision;
    for (const auto &[id, entry] : m_entries) {
        if (entry.record.revision <= revision && !update.isFullSnapshot)
            continue;
        update.targets.push_back(entry.record);
        const auto coldRemaining = std::max(entry.coldUntil - now, Duration(0));
        update.targets.back().coldRemainingMs = toMilliseconds(coldRemaining);
        update.targets.back().usableForMs
            = toMilliseconds(usableAfterRemoval(entry, now).value_or(Duration(0)));
    }
    for (const auto &[name, zone] : m_zones) {
        if (zone.revision > revision || update.isFullSnapshot)
            update.zones.push_back(zone);
    }
    return update;
}

} // namespace berylridge
