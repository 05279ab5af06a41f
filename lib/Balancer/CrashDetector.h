// Finds out which requests, and which parts of their prompts, crash the targets that run them, and
// keeps these from further targets.
//
// A target that crashes interrupts everything that it runs, and most of that is sound. A part of a
// prompt is quarantined only after several targets have crashed one after the other, soon after
// they had begun to answer it, and no request with it has got a complete response since, at any
// node. Parts in use are cleared within a second. A target whose connections broke but which goes
// on responding on others has not crashed. A quarantined part is soon tried by one request of the
// fleet.
#pragma once

#include "BalancedRequest.h"
#include "BalancerContext.h"

#include "berylridge/Fleet/BalancerMessages.h"
#include "berylridge/Policy/CrashRecord.h"
#include "berylridge/Support/LogRateLimiter.h"
#include "berylridge/Support/Random.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace berylridge {

class CrashDetector
{
public:
    /// What a record is about: a request by its fingerprint, or a part of prompts by its id.
    enum class Kind : std::uint8_t { Request, Part };

    explicit CrashDetector(BalancerContext &context);

    /// Returns why the request must not be sent to any target, or nothing. A request with a
    /// quarantined part may be let through from time to time, to find out whether the part still
    /// crashes targets; it is then marked as a rerun.
    std::optional<Refusal> checkFirstAttempt(BalancedRequest &request);
    /// Returns the refusal of a request with a quarantined part that may have run.
    static Refusal partRefusal();
    /// Returns whether the request itself or a part of its prompt is quarantined.
    bool isQuarantined(const BalancedRequest &request) const;

    /// Records that a target was selected for a rerun, and notifies the other nodes.
    void beginRerun(const BalancedRequest &request);
    /// Permits another rerun, since this one has ended without crashing its target.
    void endRerun(const BalancedRequest &request);
    /// Records that another node began a rerun, or that it has ended.
    void onRerunNotice(const RerunNotice &notice);
    /// Returns the notices of this node's reruns since the last call.
    std::vector<RerunNotice> takeRerunNotices() { return std::exchange(m_rerunNotices, {}); }

    /// Records that the target's connection broke while it ran the request.
    void onInterrupted(const BalancedRequest &request);
    /// Records that the request's target doesn't accept connections.
    void onConnectionRefused(const BalancedRequest &request);
    void onResponseStarted(const BalancedRequest &request);
    /// Records a complete response. If it ended with its connection, its target may have crashed
    /// instead, which other requests show soon.
    void onCompleted(const BalancedRequest &request, const AttemptDone &event);

    /// Records another node's entry about a subject, or about all that ran at a boot that has not
    /// crashed. Returns whether it was unknown before.
    bool onReport(Kind kind, const InterruptionEntry &entry);
    /// Returns the entries for the other nodes since the last call.
    std::vector<InterruptionEntry> takeReports(Kind kind);
    /// Sets the ages of entries that are about to be sent, and removes those that no longer hold.
    void updateEntries(Kind kind, std::vector<InterruptionEntry> &entries) const;
    /// Returns the next entries in rotation of the parts that are quarantined, for nodes that have
    /// restarted or were cut off.
    std::vector<InterruptionEntry> nextQuarantinedParts(std::size_t maxCount);

    /// Returns whether a part was quarantined since the last call.
    bool takeNewQuarantine() { return std::exchange(m_hasNewQuarantine, false); }
    void tick();

private:
    /// What a response that seems complete says about its request.
    struct CompletedResponse
    {
        std::uint64_t boot = 0;
        TimePoint begunAt;
        TimePoint endedAt;
        std::uint64_t fingerprint = 0;
        std::vector<std::uint64_t> parts;
        bool isPartSuspect = false; ///< If the target crashed, a part may be the cause.
    };

    static constexpr double maxLinesPerSecond = 10;

    CrashRecord &record(Kind kind) { return m_records[static_cast<std::size_t>(kind)]; }
    const CrashRecord &record(Kind kind) const { return m_records[static_cast<std::size_t>(kind)]; }
    void add(Kind kind, std::uint64_t subject, std::uint64_t boot);
    bool addToRecord(Kind kind, std::uint64_t subject, std::uint64_t boot, TimePoint observedAt);
    void recordBreak(std::uint64_t boot, TimePoint observedAt);
    bool isRefuted(std::uint64_t boot, TimePoint observedAt) const;
    /// Records that the boot has not crashed up to `until`.
    void refute(std::uint64_t boot, TimePoint until);
    bool onRefutation(std::uint64_t boot, TimePoint until);
    bool holds(Kind kind, InterruptionEntry &entry) const;
    void refuteIfRunning(const BalancedRequest &request);
    void reportRefutation(std::uint64_t boot);
    void clear(Kind kind, std::uint64_t subject, TimePoint begunAt);
    void report(Kind kind, const InterruptionEntry &entry);
    void addParts(std::span<const std::uint64_t> parts, std::uint64_t boot);
    void clearSubjectsOf(const CompletedResponse &response);
    void addSubjectsOf(const CompletedResponse &response);
    void resolveUnprovenResponses();
    bool isPartSuspect(const BalancedRequest &request) const;
    Duration rerunDelayOfNode(std::uint64_t part) const;
    Refusal refusalBeforeRun(std::span<const std::uint64_t> quarantinedParts);
    void logRerun(std::uint64_t part, const char *outcome);
    void logQuarantine(Kind kind, std::uint64_t subject);

    BalancerContext &m_context;
    std::array<CrashRecord, 2> m_records;                    ///< By Kind.
    std::array<std::vector<InterruptionEntry>, 2> m_reports; ///< By Kind.
    /// When this or another node observed the last sign of a boot's crash, unless the boot has
    /// responded since.
    std::unordered_map<std::uint64_t, TimePoint> m_interruptedAt;
    /// A boot that has not crashed although connections to it broke.
    struct Refutation
    {
        TimePoint until; ///< Interruptions up to this time were no crash.
        TimePoint reportedAt;
    };
    std::unordered_map<std::uint64_t, Refutation> m_refutations;
    std::vector<RerunNotice> m_rerunNotices;
    RandomEngine m_random; ///< Varies the Retry-After of refusals.
    std::vector<CompletedResponse>
        m_unprovenResponses;           ///< Those that ended with their connections.
    std::size_t m_nextQuarantined = 0; ///< Position in the rotation of nextQuarantinedParts().
    bool m_hasNewQuarantine = false;
    LogRateLimiter m_lines {{.lines = maxLinesPerSecond}};
};

} // namespace berylridge
