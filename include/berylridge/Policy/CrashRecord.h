// Records what targets were running when they crashed: requests by their fingerprints, or parts of
// prompts by their ids. A subject that was at several crashes, and has not got a complete response
// since, is quarantined.
//
// A crash is identified by the target's boot, so that it counts once however many nodes report it.
// Boots that crash at the same time count as one crash: a subject that crashes targets reaches them
// one after the other, while a fault of a network or an availability zone interrupts everything
// that runs on many targets at once. Nodes exchange their entries. A clearance outweighs the report
// of the same subject and boot, in whichever order the two arrive.
#pragma once

#include "berylridge/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace berylridge {

struct CrashRecordOptions
{
    /// The number of targets that a subject may crash before it is quarantined.
    std::size_t maxCrashes = 2;
    /// Crashes of different boots within this time count as one; 0 counts each.
    Duration simultaneousTime {0};
    /// Beyond this number, the subjects that were reported the longest ago are forgotten,
    /// quarantined ones last.
    std::size_t maxSubjects = 4096;
};

/// Not thread-safe.
class CrashRecord
{
public:
    using Subject = std::uint64_t;
    using Boot = std::uint64_t;

    explicit CrashRecord(CrashRecordOptions options = {})
        : m_options(options)
    {
    }

    /// Records that a boot crashed while it ran the subject, which was observed at `observedAt`.
    /// Returns whether this was unknown before.
    bool add(Subject subject, Boot boot, TimePoint observedAt, TimePoint now);
    bool add(Subject subject, Boot boot, TimePoint now) { return add(subject, boot, now, now); }
    /// Records that a boot's connections broke, whatever it ran.
    void addBoot(Boot boot, TimePoint observedAt);

    /// Records a complete response that began at `begunAt`: the subject caused none of the crashes
    /// before. Returns the boots for which this is new.
    std::vector<Boot> clear(Subject subject, TimePoint begunAt, TimePoint now);
    /// Records another node's clearance. Returns whether it was unknown before.
    bool clear(Subject subject, Boot boot, TimePoint now);
    /// Records that the boot has not crashed up to `until`. Returns the subjects that were reported
    /// with it.
    std::vector<Subject> clearBoot(Boot boot, TimePoint until, TimePoint now);
    /// Returns whether the crash of the boot that was observed at this time is cleared.
    bool isCleared(Subject subject, Boot boot, TimePoint observedAt) const;

    /// Returns whether a request that has not run yet has to wait: another one with its fingerprint
    /// crashed a target a moment ago, and its rerun shows whether it caused the crash.
    bool isHeld(Subject subject, TimePoint now) const;

    /// Returns the number of targets that the subject may have crashed.
    std::size_t crashes(Subject subject) const;
    /// Returns when the crash of the boot was observed, or nothing if it is unknown.
    std::optional<TimePoint> observedAt(Subject subject, Boot boot) const;
    bool isQuarantined(Subject subject) const
    {
        const auto found = m_entries.find(subject);
        return found != m_entries.end() && isQuarantined(found->second);
    }
    /// Returns how long the subject is still rejected, or nothing if it may run.
    std::optional<Duration> remainingBlockTime(Subject subject, TimePoint now) const;

    /// Returns whether one request with a quarantined subject may run now, to find out whether it
    /// still crashes targets. The first two reruns are due soon, since few crashes may be a
    /// coincidence; then the time between reruns grows with the number of crashes. Where
    /// quarantined subjects that the request doesn't hold were at these crashes too, a rerun is due
    /// sooner. Nodes have different delays, so that each learns of the rerun of the one before it.
    /// `subjects` are those of the request.
    bool isRerunDue(Subject subject, std::span<const Subject> subjects, Duration nodeDelay,
                    TimePoint now) const;
    /// Records that this or another node runs a request with the subject.
    void beginRerun(Subject subject, TimePoint now);
    /// Records that the last rerun was not sent to any target.
    void cancelRerun(Subject subject);
    /// Returns whether one of the first reruns is outstanding, which are due soon.
    bool isRerunExpectedSoon(Subject subject) const;
    /// Records that this node was asked to run the subject.
    void recordUse(Subject subject, TimePoint now);

    /// Calls visit(subject, boot) for each report that stands.
    template <typename Visit>
    void forEach(Visit visit) const
    {
        for (const auto &[subject, entry] : m_entries)
            visitBoots(subject, entry, visit);
    }

    /// The same for the quarantined subjects that crashed a target, or that this node was asked to
    /// run, within the last minutes. Other nodes may not know of these.
    template <typename Visit>
    void forEachQuarantined(TimePoint now, Visit visit) const
    {
        for (const auto &[subject, entry] : m_entries) {
            if (isQuarantined(entry) && isCurrent(entry, now))
                visitBoots(subject, entry, visit);
        }
    }

    void expire(TimePoint now);

private:
    struct Entry
    {
        struct Report
        {
            TimePoint at;         ///< When it became known.
            TimePoint observedAt; ///< When the first node that reported it observed it.
            bool isCleared = false;
            /// Set if the boot went on running until then. It may crash later.
            std::optional<TimePoint> refutedUntil {};

            bool isClearedAt(TimePoint observed) const;
        };

        std::map<Boot, Report> reports;
        TimePoint lastAt;                 ///< When the last crash became known.
        TimePoint lastReportAt;           ///< When any report was last received, a known one too.
        TimePoint lastUseAt {};           ///< When this node last considered a request with it.
        std::optional<TimePoint> rerunAt; ///< When the last rerun was permitted.

        std::size_t bootsCrashed() const;
        bool isExpired(TimePoint now) const;
    };

    template <typename Visit>
    static void visitBoots(Subject subject, const Entry &entry, Visit visit)
    {
        for (const auto &[boot, report] : entry.reports) {
            if (!report.isCleared)
                visit(subject, boot);
        }
    }

    bool isQuarantined(const Entry &entry) const
    {
        return entry.reports.size() >= m_options.maxCrashes
            && entry.bootsCrashed() >= m_options.maxCrashes
            && crashes(entry) >= m_options.maxCrashes;
    }
    /// Returns the number of crashes, of which boots that crashed at the same time are one.
    std::size_t crashes(const Entry &entry) const;
    /// Returns the end of the time within which crashes count as the same as one at `begin`.
    TimePoint endOfCrash(TimePoint begin) const;
    void findMassInterruption(TimePoint observedAt);
    static bool isCurrent(const Entry &entry, TimePoint now);
    Entry &entryOf(Subject subject);
    std::size_t countUnexplained(const Entry &entry, std::span<const Subject> subjects) const;

    CrashRecordOptions m_options;
    std::map<Subject, Entry> m_entries;
    std::unordered_map<Boot, TimePoint> m_brokenBoots; ///< When their connections last broke.
    std::set<std::pair<TimePoint, Boot>> m_breaks;     ///< The same, ordered by time.
    /// When connections to many targets broke at once.
    std::vector<TimePoint> m_massInterruptions;
};

} // namespace berylridge
