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

/// A power failure or a network fault interrupts at least this many targets at once.
constexpr std::size_t minMassBoots = 4;
/// Overloaded nodes notice a broken connection up to this late.
constexpr Duration massInterruptionTime = std::chrono::milliseconds(500);
/// Breaks are kept this long to find those that happened at once.
constexpr Duration brokenBootTime = std::chrono::seconds(10);
/// Responses that are on their way may clear the subject meanwhile.
constexpr Duration firstRerunDelay = std::chrono::milliseconds(200);
/// Crashes beyond the limit for which the next rerun is due soon.
constexpr std::size_t earlyReruns = 2;

/// Returns the time from the last crash to the next rerun. Few crashes may be a coincidence, and so
/// may one that nothing else explains.
Duration rerunDelay(std::size_t crashesBeyondLimit, std::size_t unexplainedCrashes)
{
    if (unexplainedCrashes == 0)
        return Duration(0);
    if (crashesBeyondLimit == 0)
        return firstRerunDelay;
    if (crashesBeyondLimit < earlyReruns)
        return std::chrono::seconds(1);
    if (unexplainedCrashes == 1)
        return std::chrono::seconds(10);
    switch (crashesBeyondLimit) {
    case earlyReruns:
        return std::chrono::seconds(15);
    case earlyReruns + 1:
        return std::chrono::minutes(1);
    default:
        return blockTime;
    }
}

} // namespace

std::size_t CrashRecord::Entry::bootsCrashed() const
{
    return static_cast<std::size_t>(std::count_if(
        reports.begin(), reports.end(), [](const auto &each) { return !each.second.isCleared; }));
}

bool CrashRecord::Entry::isExpired(TimePoint now) const
{
    const TimePoint last = std::max({lastAt, lastReportAt, lastUseAt});
    return last + (bootsCrashed() > 0 ? blockTime : clearedReportTime) < now;
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

bool CrashRecord::add(Subject subject, Boot boot, TimePoint observedAt, TimePoint now)
{
    addBoot(boot, observedAt);
    Entry &entry = entryOf(subject);
    entry.lastReportAt = now;
    const std::size_t crashesBefore = crashes(entry);
    const auto [found, isInserted]
        = entry.reports.try_emplace(boot, Entry::Report {now, observedAt});
    Entry::Report &report = found->second;
    const bool isNew = isInserted || (report.isCleared && !report.isClearedAt(observedAt));
    if (!isInserted && isNew)
        report = {now, observedAt};
    report.observedAt = std::min(report.observedAt, observedAt);
    if (crashes(entry) <= crashesBefore)
        return isNew;
    entry.lastAt = now;
    if (entry.rerunAt && observedAt >= *entry.rerunAt)
        entry.rerunAt.reset(); // The rerun probably caused this crash; its result is known.
    return isNew;
}

bool CrashRecord::Entry::Report::isClearedAt(TimePoint observed) const
{
    return isCleared && (!refutedUntil || observed <= *refutedUntil + massInterruptionTime);
}

void CrashRecord::addBoot(Boot boot, TimePoint observedAt)
{
    if (m_options.simultaneousTime == Duration(0))
        return;
    // Nodes notice the same break at different times; the first one counts.
    const auto [found, isNew] = m_brokenBoots.try_emplace(boot, observedAt);
    const bool isSameBreak = !isNew && observedAt <= found->second + massInterruptionTime
        && observedAt + massInterruptionTime >= found->second;
    if (isSameBreak && observedAt >= found->second)
        return;
    if (isSameBreak)
        m_breaks.erase({found->second, boot});
    found->second = observedAt;
    m_breaks.insert({observedAt, boot});
    findMassInterruption(observedAt);
}

/// Looks for a mass interruption that includes a break at this time.
void CrashRecord::findMassInterruption(TimePoint observedAt)
{
    const bool isKnown
        = std::any_of(m_massInterruptions.begin(), m_massInterruptions.end(), [&](TimePoint begin) {
              return observedAt >= begin && observedAt <= begin + massInterruptionTime;
          });
    if (isKnown)
        return;
    const Duration time = m_options.simultaneousTime;
    const auto end = m_breaks.lower_bound({observedAt + time, 0});
    for (auto first = m_breaks.lower_bound({observedAt - time, 0}); first != end; ++first) {
        auto last = first;
        for (std::size_t i = 1; i < minMassBoots && last != m_breaks.end(); ++i)
            ++last;
        if (last == m_breaks.end())
            return;
        if (last->first - first->first <= time) {
            m_massInterruptions.push_back(first->first);
            return;
        }
    }
}

TimePoint CrashRecord::endOfCrash(TimePoint begin) const
{
    TimePoint end = begin + m_options.simultaneousTime;
    for (const TimePoint mass : m_massInterruptions) {
        if (begin >= mass && begin <= mass + massInterruptionTime)
            end = std::max(end, mass + massInterruptionTime);
    }
    return end;
}

std::size_t CrashRecord::crashes(const Entry &entry) const
{
    if (m_options.simultaneousTime == Duration(0))
        return entry.bootsCrashed();
    std::vector<TimePoint> times;
    for (const auto &[boot, report] : entry.reports) {
        if (!report.isCleared)
            times.push_back(report.observedAt);
    }
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    std::optional<TimePoint> end;
    for (const TimePoint time : times) {
        if (end && time <= *end)
            continue;
        ++count;
        end = endOfCrash(time);
    }
    return count;
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
    Entry::Report &report = entry.reports.try_emplace(boot, Entry::Report {now, now}).first->second;
    return !std::exchange(report.isCleared, true);
}

std::vector<CrashRecord::Subject> CrashRecord::clearBoot(Boot boot, TimePoint until, TimePoint now)
{
    std::vector<Subject> subjects;
    for (auto &[subject, entry] : m_entries) {
        const auto found = entry.reports.find(boot);
        const bool isRefuted = found != entry.reports.end() && found->second.observedAt <= until;
        if (!isRefuted || std::exchange(found->second.isCleared, true))
            continue;
        found->second.refutedUntil = until;
        entry.lastReportAt = now;
        subjects.push_back(subject);
    }
    return subjects;
}

bool CrashRecord::isCleared(Subject subject, Boot boot, TimePoint observedAt) const
{
    const auto found = m_entries.find(subject);
    if (found == m_entries.end())
        return false;
    const auto report = found->second.reports.find(boot);
    return report != found->second.reports.end() && report->second.isClearedAt(observedAt);
}

bool CrashRecord::isHeld(Subject subject, TimePoint now) const
{
    const auto found = m_entries.find(subject);
    if (found == m_entries.end())
        return false;
    const std::size_t count = crashes(found->second);
    return count > 0 && count < m_options.maxCrashes && now - found->second.lastAt < rerunHoldTime;
}

std::size_t CrashRecord::crashes(Subject subject) const
{
    const auto found = m_entries.find(subject);
    return found == m_entries.end() ? 0 : crashes(found->second);
}

std::optional<TimePoint> CrashRecord::observedAt(Subject subject, Boot boot) const
{
    const auto found = m_entries.find(subject);
    if (found == m_entries.end())
        return std::nullopt;
    const auto report = found->second.reports.find(boot);
    return report == found->second.reports.end() ? std::nullopt
                                                 : std::optional(report->second.observedAt);
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
    const std::size_t beyondLimit = crashes(entry) - m_options.maxCrashes;
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

bool CrashRecord::isRerunExpectedSoon(Subject subject) const
{
    const auto found = m_entries.find(subject);
    return found != m_entries.end() && isQuarantined(found->second)
        && crashes(found->second) < m_options.maxCrashes + earlyReruns;
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
    std::erase_if(m_breaks, [&](const auto &each) { return each.first + brokenBootTime < now; });
    std::erase_if(m_brokenBoots,
                  [&](const auto &each) { return each.second + brokenBootTime < now; });
    // Reports of a mass interruption count as one crash for as long as they are kept.
    std::erase_if(m_massInterruptions,
                  [&](TimePoint begin) { return begin + 2 * blockTime < now; });
}

} // namespace berylridge
