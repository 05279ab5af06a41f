#include "CrashDetector.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace berylridge {

namespace {

/// The number of targets that a part may crash before it is quarantined. Requests that run beside
/// it are interrupted too, and may be sent to the target that it crashes next.
constexpr std::size_t maxPartCrashes = 3;
/// Maximum time from the start of a response to the crash that it causes.
constexpr Duration maxCrashDelay = std::chrono::milliseconds(500);
/// A target that responds to a request that was sent within this time after an interruption has not
/// crashed. Later, another boot may respond that is not listed yet.
constexpr Duration maxRefutationTime = std::chrono::milliseconds(1000);
/// A connection that was in use before an interruption and still delivers a response after this
/// time has survived it. Overloaded nodes read up to half a second late what arrived before.
constexpr Duration minSurvivalTime = std::chrono::milliseconds(500);
/// Time for which interruptions and their refutations are kept, for reports that arrive late.
constexpr Duration interruptionTime = std::chrono::seconds(10);
/// Boots whose connections break within this time do so for one reason. Crashes that one part
/// causes come one after the other, at least 33 ms after the start of an answer.
constexpr Duration simultaneousTime = std::chrono::milliseconds(60);
/// Time by which another request shows that a target has crashed.
constexpr Duration proofTime = std::chrono::milliseconds(500);
/// Maximum time between the ends of a target's connections when it crashes.
constexpr Duration maxSignDelay = std::chrono::milliseconds(100);
/// Parts of one prompt that are recorded. Callers choose the length of the list.
constexpr std::size_t maxRecordedParts = 64;
/// Maximum time for which a node lets others rerun a quarantined part first.
constexpr Duration maxRerunDelay = std::chrono::seconds(1);
/// Retry-After of requests that wait for the result of a rerun: its delay, a wait in a target's
/// queue and the answer.
constexpr Duration rerunRetryAfter = std::chrono::milliseconds(1000);
constexpr Duration refutationReportPeriod = std::chrono::milliseconds(500);
/// Longer than any report is kept.
constexpr Duration maxReportAge = std::chrono::hours(24);
/// Refutations of one boot whose times differ by less are the same.
constexpr Duration refutationTolerance = std::chrono::milliseconds(500);
constexpr const char *partRefusalType = "crashing-part";

} // namespace

CrashDetector::CrashDetector(BalancerContext &context)
    : m_context(context)
    , m_records {CrashRecord(),
                 CrashRecord({.maxCrashes = maxPartCrashes, .simultaneousTime = simultaneousTime})}
    , m_random(hash64(context.options.node.str(), context.options.seed))
{
}

std::optional<Refusal> CrashDetector::checkFirstAttempt(BalancedRequest &request)
{
    if (record(Kind::Request).remainingBlockTime(request.fingerprint, m_context.now))
        return Refusal {502, "crashing-request", "the request crashed the targets that ran it", {}};
    CrashRecord &partRecord = record(Kind::Part);
    std::vector<std::uint64_t> quarantinedParts;
    for (const std::uint64_t part : request.sharedParts) {
        if (!partRecord.isQuarantined(part))
            continue;
        quarantinedParts.push_back(part);
        partRecord.recordUse(part, m_context.now);
    }
    const bool mayRun
        = std::all_of(quarantinedParts.begin(), quarantinedParts.end(), [&](std::uint64_t part) {
              return partRecord.isRerunDue(part, request.sharedParts, rerunDelayOfNode(part),
                                           m_context.now);
          });
    if (!mayRun)
        return refusalBeforeRun(quarantinedParts);
    request.isRerun = !quarantinedParts.empty();
    return std::nullopt;
}

void CrashDetector::beginRerun(const BalancedRequest &request)
{
    for (const std::uint64_t part : request.sharedParts) {
        if (!record(Kind::Part).isQuarantined(part))
            continue;
        record(Kind::Part).beginRerun(part, m_context.now);
        m_rerunNotices.push_back({m_context.options.zone.str(), part, false});
        logRerun(part, "begins");
    }
}

/// Returns the refusal of a request that has not run. Where the result of a rerun is expected soon,
/// the caller may come back for it.
Refusal CrashDetector::refusalBeforeRun(std::span<const std::uint64_t> quarantinedParts)
{
    const bool isResultExpected
        = std::all_of(quarantinedParts.begin(), quarantinedParts.end(), [&](std::uint64_t part) {
              return record(Kind::Part).isRerunExpectedSoon(part);
          });
    if (!isResultExpected)
        return partRefusal();
    return {503, partRefusalType,
            "another request finds out whether a part of this request's prompt crashes targets",
            addRetryJitter(rerunRetryAfter, m_random)};
}

Refusal CrashDetector::partRefusal()
{
    return {
        502,
        partRefusalType,
        "targets crashed when they began to answer prompts with a part of this request's prompt",
        {}};
}

bool CrashDetector::isQuarantined(const BalancedRequest &request) const
{
    return record(Kind::Request).remainingBlockTime(request.fingerprint, m_context.now)
        || std::any_of(request.sharedParts.begin(), request.sharedParts.end(),
                       [&](std::uint64_t part) { return record(Kind::Part).isQuarantined(part); });
}

void CrashDetector::endRerun(const BalancedRequest &request)
{
    for (const std::uint64_t part : request.sharedParts) {
        if (!record(Kind::Part).isQuarantined(part))
            continue;
        record(Kind::Part).cancelRerun(part);
        m_rerunNotices.push_back({m_context.options.zone.str(), part, true});
        logRerun(part, "ended without a result");
    }
}

void CrashDetector::onRerunNotice(const RerunNotice &notice)
{
    if (notice.hasEnded)
        record(Kind::Part).cancelRerun(notice.part);
    else
        record(Kind::Part).beginRerun(notice.part, m_context.now);
}

void CrashDetector::onInterrupted(const BalancedRequest &request)
{
    const std::uint64_t boot = request.choice.boot;
    recordBreak(boot, m_context.now);
    add(Kind::Request, request.fingerprint, boot);
    if (!isPartSuspect(request))
        return;
    addParts(request.sharedParts, boot);
}

void CrashDetector::onConnectionRefused(const BalancedRequest &request)
{
    const std::uint64_t boot = request.choice.boot;
    const bool isInQuestion
        = std::any_of(m_unprovenResponses.begin(), m_unprovenResponses.end(),
                      [&](const CompletedResponse &response) { return response.boot == boot; });
    if (isInQuestion)
        recordBreak(boot, m_context.now);
}

void CrashDetector::recordBreak(std::uint64_t boot, TimePoint observedAt)
{
    TimePoint &last = m_interruptedAt.try_emplace(boot, observedAt).first->second;
    last = std::max(last, observedAt);
    record(Kind::Part).addBoot(boot, observedAt);
}

void CrashDetector::onResponseStarted(const BalancedRequest &request)
{
    const std::uint64_t boot = request.choice.boot;
    const auto found = m_interruptedAt.find(boot);
    if (found == m_interruptedAt.end() || request.dispatchedAt <= found->second
        || request.dispatchedAt > found->second + maxRefutationTime) {
        refuteIfRunning(request);
        return;
    }
    refute(boot, request.dispatchedAt);
}

/// Refutes the crash of the request's boot if its connection has survived the interruption of
/// others.
void CrashDetector::refuteIfRunning(const BalancedRequest &request)
{
    const auto found = m_interruptedAt.find(request.choice.boot);
    if (found == m_interruptedAt.end() || request.dispatchedAt >= found->second
        || m_context.now < found->second + minSurvivalTime)
        return;
    refute(request.choice.boot, m_context.now - minSurvivalTime);
}

bool CrashDetector::isRefuted(std::uint64_t boot, TimePoint observedAt) const
{
    const auto found = m_refutations.find(boot);
    return found != m_refutations.end() && observedAt <= found->second.until;
}

void CrashDetector::refute(std::uint64_t boot, TimePoint until)
{
    if (onRefutation(boot, until))
        report(Kind::Part, {0, boot, true});
}

/// Returns whether the refutation was unknown.
bool CrashDetector::onRefutation(std::uint64_t boot, TimePoint until)
{
    if (isRefuted(boot, until))
        return false;
    m_refutations[boot].until = until;
    const auto interrupted = m_interruptedAt.find(boot);
    if (interrupted != m_interruptedAt.end() && interrupted->second <= until)
        m_interruptedAt.erase(interrupted);
    for (CrashRecord &each : m_records)
        each.clearBoot(boot, until, m_context.now);
    return true;
}

/// Reports the refutation, but not for each of many late reports that it answers.
void CrashDetector::reportRefutation(std::uint64_t boot)
{
    Refutation &refutation = m_refutations[boot];
    if (m_context.now < refutation.reportedAt + refutationReportPeriod)
        return;
    refutation.reportedAt = m_context.now;
    report(Kind::Part, {0, boot, true});
}

void CrashDetector::onCompleted(const BalancedRequest &request, const AttemptDone &event)
{
    if (!event.endedWithConnection)
        refuteIfRunning(request);
    // A target that rejects a request has not begun to answer its prompt.
    const bool isSuccess = event.status >= 200 && event.status < 300;
    CompletedResponse response;
    response.boot = request.choice.boot;
    response.begunAt = request.responseStartedAt;
    response.endedAt = m_context.now;
    response.fingerprint = request.fingerprint;
    response.isPartSuspect = isPartSuspect(request);
    if (isSuccess)
        response.parts = request.sharedParts;
    if (event.endedWithConnection)
        m_unprovenResponses.push_back(std::move(response));
    else
        clearSubjectsOf(response);
}

bool CrashDetector::onReport(Kind kind, const InterruptionEntry &entry)
{
    const Duration age = std::chrono::milliseconds(entry.ageMs);
    if (age > maxReportAge) {
        const LogEventId id = LogEventId::InterruptionsReported;
        if (m_lines.tryTake(0, logEventInfo(id).level, m_context.now))
            m_context.log(id, "ignored a report with an impossible age");
        return false;
    }
    const TimePoint observedAt = m_context.now - age;
    if (entry.isCleared && entry.subject == 0) {
        // An age says less than the time that a message takes. Without the tolerance, each node
        // would take the refutation that it gets back for a later one.
        return !isRefuted(entry.boot, observedAt - refutationTolerance)
            && onRefutation(entry.boot, observedAt);
    }
    if (entry.isCleared)
        return record(kind).clear(entry.subject, entry.boot, m_context.now);
    if (isRefuted(entry.boot, observedAt)) {
        reportRefutation(entry.boot);
        return false;
    }
    if (record(kind).isCleared(entry.subject, entry.boot, observedAt)) {
        // The sender has not heard of the clearance.
        report(kind, {entry.subject, entry.boot, true});
        return false;
    }
    return addToRecord(kind, entry.subject, entry.boot, observedAt);
}

void CrashDetector::updateEntries(Kind kind, std::vector<InterruptionEntry> &entries) const
{
    std::erase_if(entries, [&](InterruptionEntry &entry) { return !holds(kind, entry); });
}

/// Returns whether the entry still holds, and sets its age.
bool CrashDetector::holds(Kind kind, InterruptionEntry &entry) const
{
    std::optional<TimePoint> at;
    if (entry.subject == 0 && entry.isCleared) {
        const auto found = m_refutations.find(entry.boot);
        if (found != m_refutations.end())
            at = found->second.until;
    } else if (entry.isCleared) {
        return true;
    } else {
        at = record(kind).observedAt(entry.subject, entry.boot);
        if (at && record(kind).isCleared(entry.subject, entry.boot, *at))
            at.reset();
    }
    if (!at)
        return false;
    const auto age = toMilliseconds(std::max(m_context.now - *at, Duration(0)));
    entry.ageMs
        = static_cast<std::uint32_t>(std::min<std::int64_t>(age, toMilliseconds(maxReportAge)));
    return true;
}

std::vector<InterruptionEntry> CrashDetector::takeReports(Kind kind)
{
    return std::exchange(m_reports[static_cast<std::size_t>(kind)], {});
}

std::vector<InterruptionEntry> CrashDetector::nextQuarantinedParts(std::size_t maxCount)
{
    std::vector<InterruptionEntry> all;
    record(Kind::Part)
        .forEachQuarantined(m_context.now, [&](std::uint64_t part, std::uint64_t boot) {
            all.push_back({part, boot, false});
        });
    std::vector<InterruptionEntry> next;
    for (std::size_t i = 0; i < std::min(maxCount, all.size()); ++i)
        next.push_back(all[m_nextQuarantined++ % all.size()]);
    return next;
}

void CrashDetector::tick()
{
    const TimePoint now = m_context.now;
    for (CrashRecord &each : m_records)
        each.expire(now);
    resolveUnprovenResponses();
    std::erase_if(m_interruptedAt,
                  [&](const auto &each) { return each.second + interruptionTime < now; });
    std::erase_if(m_refutations,
                  [&](const auto &each) { return each.second.until + interruptionTime < now; });
}

void CrashDetector::resolveUnprovenResponses()
{
    std::vector<CompletedResponse> due;
    std::erase_if(m_unprovenResponses, [&](CompletedResponse &response) {
        if (m_context.now < response.endedAt + proofTime)
            return false;
        due.push_back(std::move(response));
        return true;
    });
    for (const CompletedResponse &response : due) {
        const auto interrupted = m_interruptedAt.find(response.boot);
        const bool isComplete = interrupted == m_interruptedAt.end()
            || interrupted->second + maxSignDelay < response.endedAt;
        if (isComplete)
            clearSubjectsOf(response);
        else
            addSubjectsOf(response);
    }
}

void CrashDetector::clearSubjectsOf(const CompletedResponse &response)
{
    clear(Kind::Request, response.fingerprint, response.begunAt);
    for (const std::uint64_t part : response.parts)
        clear(Kind::Part, part, response.begunAt);
}

void CrashDetector::addSubjectsOf(const CompletedResponse &response)
{
    add(Kind::Request, response.fingerprint, response.boot);
    if (response.isPartSuspect)
        addParts(response.parts, response.boot);
}

void CrashDetector::addParts(std::span<const std::uint64_t> parts, std::uint64_t boot)
{
    for (const std::uint64_t part : parts.first(std::min(parts.size(), maxRecordedParts))) {
        if (part != 0) // In reports, 0 stands for all parts.
            add(Kind::Part, part, boot);
    }
}

/// Records an interruption that this node observed.
void CrashDetector::add(Kind kind, std::uint64_t subject, std::uint64_t boot)
{
    if (addToRecord(kind, subject, boot, m_context.now))
        report(kind, {subject, boot, false});
}

bool CrashDetector::addToRecord(Kind kind, std::uint64_t subject, std::uint64_t boot,
                                TimePoint observedAt)
{
    const bool wasQuarantined = record(kind).isQuarantined(subject);
    const bool isNew = record(kind).add(subject, boot, observedAt, m_context.now);
    if (isNew)
        recordBreak(boot, observedAt);
    if (!wasQuarantined && record(kind).isQuarantined(subject)) {
        m_hasNewQuarantine = m_hasNewQuarantine || kind == Kind::Part;
        logQuarantine(kind, subject);
    }
    return isNew;
}

void CrashDetector::clear(Kind kind, std::uint64_t subject, TimePoint begunAt)
{
    for (const std::uint64_t boot : record(kind).clear(subject, begunAt, m_context.now))
        report(kind, {subject, boot, true});
}

void CrashDetector::report(Kind kind, const InterruptionEntry &entry)
{
    m_reports[static_cast<std::size_t>(kind)].push_back(entry);
}

/// Returns whether the request's target would crash about now if a part of the prompt crashed it.
bool CrashDetector::isPartSuspect(const BalancedRequest &request) const
{
    return !request.hasResponseStarted
        || m_context.now - request.responseStartedAt <= maxCrashDelay;
}

/// Returns how long this node lets others rerun the part first. The fourth root of a uniform
/// position makes short delays rare: of 80 nodes, the first two are due 60 ms apart on average,
/// which is enough for the notice of the first. A single node waits a second at most.
Duration CrashDetector::rerunDelayOfNode(std::uint64_t part) const
{
    if (m_context.peers.liveCount(m_context.now) <= 1)
        return Duration(0);
    constexpr double hashRange = 18446744073709551616.0;
    const double position
        = static_cast<double>(hash64(m_context.options.node.str(), part)) / hashRange;
    return fromSeconds(toSeconds(maxRerunDelay) * std::sqrt(std::sqrt(position)));
}

void CrashDetector::logRerun(std::uint64_t part, const char *outcome)
{
    const LogEventId id = LogEventId::PartRerun;
    if (m_lines.tryTake(0, logEventInfo(id).level, m_context.now))
        m_context.log(id, hexText(part) + ' ' + outcome);
}

void CrashDetector::logQuarantine(Kind kind, std::uint64_t subject)
{
    const LogEventId id
        = kind == Kind::Part ? LogEventId::CrashingPart : LogEventId::CrashingRequest;
    if (!m_lines.tryTake(0, logEventInfo(id).level, m_context.now))
        return;
    Json::Value fields;
    record(kind).forEach([&](std::uint64_t each, std::uint64_t boot) {
        if (each == subject)
            fields["boots"].append(hexText(boot));
    });
    m_context.log(id, hexText(subject), std::move(fields));
}

} // namespace berylridge
