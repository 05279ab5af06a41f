#include "berylridge/Catalog/VersionHistory.h"

#include <algorithm>

namespace berylridge {

void VersionHistory::onPlatformRead(std::uint64_t revision, bool isListing, TimePoint now)
{
    // Nothing was missed before a listing at the revision that was read last.
    const bool isGap = !m_completeSince || revision != m_readRevision;
    if (isListing && isGap) {
        m_completeSince = now;
        m_readRevision = revision;
    }
    m_readRevision = std::max(m_readRevision, revision);
}

void VersionHistory::onListed(const std::string &service, VersionKey version, TimePoint now)
{
    std::map<VersionKey, Version> &versions = m_services[service];
    std::erase_if(versions, [now](const auto &entry) {
        return entry.second.targets == 0 && now - entry.second.lastListedAt > maxWindow;
    });
    Version &listed = versions[version];
    ++listed.targets;
    listed.lastListedAt = now;
}

void VersionHistory::onUnlisted(const std::string &service, VersionKey version, TimePoint now)
{
    Version &unlisted = m_services[service][version];
    unlisted.targets -= std::min<std::size_t>(unlisted.targets, 1);
    unlisted.lastListedAt = now;
}

void VersionHistory::onFormerTarget(const std::string &service, VersionKey version, TimePoint now)
{
    m_services[service][version].lastListedAt = now;
}

std::optional<VersionKey> VersionHistory::onlyKnownVersion(std::string_view service,
                                                           TimePoint now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return std::nullopt;
    std::optional<VersionKey> only;
    for (const auto &[version, listed] : found->second) {
        if (listed.targets == 0 && now - listed.lastListedAt > maxWindow)
            continue;
        if (only)
            return std::nullopt;
        only = version;
    }
    return only;
}

} // namespace berylridge
