#include "berylridge/Catalog/TargetDirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace berylridge {

bool TargetDirectory::apply(const DirectoryNews &news, TimePoint now)
{
    bool isChanged = false;
    for (const TargetRecord &record : news.targets)
        isChanged |= takeTarget(record, now);
    for (const ZoneRecord &record : news.zones)
        isChanged |= takeZone(record);
    if (news.isWhole)
        isChanged |= dropUnlisted(news, now);
    if (news.isComplete)
        m_revision = std::max(m_revision, news.revision);
    return isChanged;
}

bool TargetDirectory::takeTarget(const TargetRecord &record, TimePoint now)
{
    const auto [found, isNew] = m_entries.try_emplace(record.id);
    Entry &entry = found->second;
    if (!isNew && record.revision <= entry.record.revision)
        return false;
    if (record.isRemoved) {
        if (isNew)
            entry.record = record;
        remove(entry, record.revision, now);
        // A node that saw the outage tells of the grace; this one may read nothing itself.
        if (record.usableForMs > 0)
            entry.usableUntil = now + fromMilliseconds(record.usableForMs);
        return true;
    }
    const bool isOther = isNew || entry.record.isRemoved
        || entry.record.isDraining != record.isDraining
        || entry.record.startedAtMs != record.startedAtMs;
    entry.record = record;
    entry.heardAt = now;
    entry.coldUntil = now + fromMilliseconds(record.coldLeftMs);
    entry.usableUntil.reset();
    if (isOther)
        note(record.id, record.isDraining ? "draining" : "listed");
    return true;
}

void TargetDirectory::remove(Entry &entry, std::uint64_t revision, TimePoint now)
{
    const bool wasDraining = entry.record.isDraining;
    const bool wasRemoved = std::exchange(entry.record.isRemoved, true);
    entry.record.revision = revision;
    if (wasRemoved)
        return;
    // A target that said that it leaves is gone; one that lapsed with the platform may be well.
    if (!wasDraining && now < m_lapsesUntil)
        entry.usableUntil = m_lapsesUntil;
    note(entry.record.id, entry.usableUntil ? "lapsed" : "removed");
}

bool TargetDirectory::takeZone(const ZoneRecord &record)
{
    const auto [found, isNew] = m_zones.try_emplace(record.zone, record);
    if (!isNew && record.revision <= found->second.revision)
        return false;
    const bool wasOut = !isNew && found->second.isOut;
    found->second = record;
    if (wasOut != record.isOut)
        note(record.zone, record.isOut ? "zone taken out" : "zone taken back");
    return true;
}

bool TargetDirectory::dropUnlisted(const DirectoryNews &news, TimePoint now)
{
    bool isChanged = false;
    std::set<std::string_view> listed;
    for (const TargetRecord &record : news.targets)
        listed.insert(record.id);
    for (auto &[id, entry] : m_entries) {
        if (listed.contains(id) || entry.record.isRemoved || entry.record.revision > news.revision)
            continue;
        remove(entry, news.revision, now);
        isChanged = true;
    }
    for (auto &[name, zone] : m_zones) {
        const auto isThis
            = [&zone = zone](const ZoneRecord &each) { return each.zone == zone.zone; };
        const bool isListed = std::any_of(news.zones.begin(), news.zones.end(), isThis);
        if (isListed || !zone.isOut || zone.revision > news.revision)
            continue;
        isChanged |= takeZone({name, news.revision, false});
    }
    m_completeSince = std::max(m_completeSince, news.revision);
    return isChanged;
}

bool TargetDirectory::isUsable(const Entry &entry, TimePoint now) const
{
    if (entry.record.isDraining || isZoneOut(entry.record.zone))
        return false;
    return !entry.record.isRemoved || (entry.usableUntil && now < *entry.usableUntil);
}

bool TargetDirectory::isZoneOut(const std::string &zone) const
{
    const auto found = m_zones.find(zone);
    return found != m_zones.end() && found->second.isOut;
}

const TargetDirectory::Entry *TargetDirectory::find(const std::string &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

DirectoryNews TargetDirectory::newsSince(std::uint64_t revision, TimePoint now) const
{
    DirectoryNews news;
    news.revision = m_revision;
    news.isComplete = m_revision > 0;
    // A receiver that is older than this node's first listing may hold targets that were removed
    // before it, of which this node never heard: only a whole listing tells of those.
    news.isWhole = revision < m_completeSince && m_revision > 0;
    for (const auto &[id, entry] : m_entries) {
        if (entry.record.revision <= revision && !news.isWhole)
            continue;
        news.targets.push_back(entry.record);
        const auto coldLeft = std::max(entry.coldUntil - now, Duration(0));
        news.targets.back().coldLeftMs = toMilliseconds(coldLeft);
        const auto usableFor = entry.usableUntil.value_or(now) - now;
        news.targets.back().usableForMs = entry.record.isRemoved ? toMilliseconds(usableFor) : 0;
    }
    for (const auto &[name, zone] : m_zones) {
        if (zone.revision > revision || news.isWhole)
            news.zones.push_back(zone);
    }
    return news;
}

void TargetDirectory::note(std::string subject, std::string what)
{
    m_changes.push_back({std::move(subject), std::move(what)});
}

} // namespace berylridge
