#include "berylridge/Policy/CrashRecord.h"

#include <algorithm>
#include <set>
#include <utility>

namespace berylridge {

namespace {

/// Counts from the last crash. Callers who resend for longer reach the limit again after further
/// crashes.
constexpr Duration blockTime = std::chrono::minutes(10);
/// Reports of a crash may still arrive this long after its clearance.
constexpr Duration clearedReportTime = std::chrono::seconds(60);

/// Time for the rerun on a second target: the check of the first target, and a wait in the queue.
constexpr Duration rerunHoldTime = std::chrono::seconds(4);
/// Time for a rerun's wait at the target, its result, and the report to the other nodes.
constexpr Duration rerunTime = std::chrono::seconds(5);

/// Returns the time from the last crash to the next rerun. Few crashes may be a coincidence, and so
/// may one that nothing else explains.
Duration rerunDelay(std::size_t crashesBeyondLimit, std::size_t unexplainedCrashes)
{
    if (unexplainedCrashes == 0)
        return Duration(0);
    if (unexplainedCrashes == 1)
        return std::chrono::seconds(10);
    switch (crashesBeyondLimit) {
    case 0:
        return std::chrono::seconds(15);
    case 1:
        return std::chrono::minutes(1);
    default:
        return blockTime;
    }
}

} // namespace

std::size_t CrashRecord::Entry::crashes() const
{
    return static_cast<std::size_t>(std::count_if(
        reports.begin(), reports.end(), [](const auto &each) { return !each.second.isCleared; }));
}

bool CrashRecord::Entry::isExpired(TimePoint now) const
{
    const TimePoint last = std::max({lastAt, lastReportAt, lastUseAt});
    return last + (crashes() > 0 ? blockTime : clearedReportTime) < now;
}

bool CrashRecord::isCurrent(const Entry &entry, TimePoint now)
{
    return std::max(entry.lastAt, entry.lastUseAt) + blockTime > now;
}

CrashRecord::Entry &CrashRecord::entryOf(Subject subject)
{
    const auto found = m_entries.find(subject);
    if (found != m_entries.end())
        return found->second;
    if (m_entries.size() >= m_options.maxSubjects) {
        const auto rank = [this](const auto &each) {
            return std::pair(isQuarantined(each.second), each.second.lastReportAt);
        };
        m_entries.erase(std::min_element(
            m_entries.begin(), m_entries.end(),
            [&](const auto &left, const auto &right) { return rank(left) < rank(right); }));
    }
    return m_entries[subject];
}

bool CrashRecord::add(Subject subject, Boot boot, TimePoint now)
{
    Entry &entry = entryOf(subject);
    entry.lastReportAt = now;
    if (!entry.reports.try_emplace(boot, Entry::Report {now}).second)
        return false;
    entry.lastAt = now;
    return true;
}

std::vector<CrashRecord::Boot> CrashRecord::clear(Subject subject, TimePoint begunAt, TimePoint now)
{
    std::vector<Boot> boots;
    const auto found = m_entries.find(subject);
    if (found == m_entries.end())
        return boots;
    for (auto &[boot, report] : found->second.reports) {
        if (report.at < begunAt && !std::exchange(report.isCleared, true))
            boots.push_back(boot);
    }
    if (!boots.empty())
        found->second.lastReportAt = now;
    return boots;
}

bool CrashRecord::clear(Subject subject, Boot boot, TimePoint now)
{
    Entry &entry = entryOf(subject);
    entry.lastReportAt = now;
    Entry::Report &report = entry.reports.try_emplace(boot, Entry::Report {now}).first->second;
    return !std::exchange(report.isCleared, true);
}

std::vector<CrashRecord::Subject> CrashRecord::clearBoot(Boot boot, TimePoint now)
{
    std::vector<Subject> subjects;
    for (auto &[subject, entry] : m_entries) {
        const auto found = entry.reports.find(boot);
        if (found == entry.reports.end() || std::exchange(found->second.isCleared, true))
            continue;
        entry.lastReportAt = now;
        subjects.push_back(subject);
    }
    return subjects;
}

bool CrashRecord::isCleared(Subject subject, Boot boot) const
{
    const auto found = m_entries.find(subject);
    if (found == m_entries.end())
        return false;
    const auto report = found->second.reports.find(boot);
    return report != found->second.reports.end() && report->second.isCleared;
}

bool CrashRecord::isHeld(Subject subject, TimePoint now) const
{
    const auto found = m_entries.find(subject);
    if (found == m_entries.end())
        return false;
    const std::size_t count = found->second.crashes();
    return count > 0 && count < m_options.maxCrashes && now - found->second.lastAt < rerunHoldTime;
}

std::size_t CrashRecord::crashes(Subject subject) const
{
    const auto found = m_entries.find(subject);
    return found == m_entries.end() ? 0 : found->second.crashes();
}

std::optional<Duration> CrashRecord::remainingBlockTime(Subject subject, TimePoint now) const
{
    const auto found = m_entries.find(subject);
    if (found == m_entries.end() || !isQuarantined(found->second))
        return std::nullopt;
    const Duration left = found->second.lastAt + blockTime - now;
    return left > Duration(0) ? std::optional(left) : std::nullopt;
}

bool CrashRecord::isRerunDue(Subject subject, std::span<const Subject> subjects, Duration nodeDelay,
                             TimePoint now) const
{
    const auto found = m_entries.find(subject);
    if (found == m_entries.end())
        return true;
    const Entry &entry = found->second;
    if (!isQuarantined(entry))
        return true;
    const bool isRerunning = entry.rerunAt && now < *entry.rerunAt + rerunTime;
    if (isRerunning || now < entry.lastAt + nodeDelay)
        return false;
    const std::size_t unexplained = countUnexplained(entry, subjects);
    const std::size_t beyondLimit = entry.crashes() - m_options.maxCrashes;
    return now >= entry.lastAt + rerunDelay(beyondLimit, unexplained) + nodeDelay;
}

void CrashRecord::beginRerun(Subject subject, TimePoint now)
{
    const auto found = m_entries.find(subject);
    if (found != m_entries.end())
        found->second.rerunAt = now;
}

void CrashRecord::cancelRerun(Subject subject)
{
    const auto found = m_entries.find(subject);
    if (found != m_entries.end())
        found->second.rerunAt.reset();
}

void CrashRecord::recordUse(Subject subject, TimePoint now)
{
    const auto found = m_entries.find(subject);
    if (found != m_entries.end())
        found->second.lastUseAt = now;
}

/// Returns the number of crashes of the entry that no quarantined subject besides the given ones
/// may have caused.
std::size_t CrashRecord::countUnexplained(const Entry &entry,
                                          std::span<const Subject> subjects) const
{
    std::set<Boot> unexplained;
    visitBoots(0, entry, [&](Subject, Boot boot) { unexplained.insert(boot); });
    for (const auto &[other, otherEntry] : m_entries) {
        const bool isInRequest
            = std::find(subjects.begin(), subjects.end(), other) != subjects.end();
        if (!isInRequest && isQuarantined(otherEntry))
            visitBoots(other, otherEntry, [&](Subject, Boot boot) { unexplained.erase(boot); });
    }
    return unexplained.size();
}

void CrashRecord::expire(TimePoint now)
{
    for (auto &[subject, entry] : m_entries) {
        std::erase_if(entry.reports, [&](const auto &each) {
            return each.second.isCleared && each.second.at + clearedReportTime < now;
        });
    }
    std::erase_if(m_entries, [&](const auto &each) { return each.second.isExpired(now); });
}

} // namespace berylridge
