#include "CrashDetector.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <utility>

namespace berylridge {

namespace {

/// The number of targets that a part may crash before it is quarantined. Requests that run beside
/// it are interrupted too, and may be sent to the target that it crashes next.
constexpr std::size_t maxPartCrashes = 3;
/// Maximum time from the start of a response to the crash that it causes.
constexpr Duration maxCrashDelay = std::chrono::milliseconds(500);
/// A target that responds within this time after an interruption has not crashed. Later, another
/// boot may respond that is not listed yet.
constexpr Duration maxRefutationTime = std::chrono::milliseconds(1000);
/// Time by which another request shows that a target has crashed.
constexpr Duration proofTime = std::chrono::milliseconds(500);
/// Maximum time between the ends of a target's connections when it crashes.
constexpr Duration maxSignDelay = std::chrono::milliseconds(100);
/// Parts of one prompt that are recorded. Callers choose the length of the list.
constexpr std::size_t maxRecordedParts = 64;
/// Difference between the times at which two nodes rerun a quarantined part.
constexpr Duration rerunInterval = std::chrono::seconds(1);

} // namespace

CrashDetector::CrashDetector(BalancerContext &context)
    : m_context(context)
    , m_records {CrashRecord(), CrashRecord({.maxCrashes = maxPartCrashes})}
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
        return partRefusal();
    for (const std::uint64_t part : quarantinedParts)
        partRecord.beginRerun(part, m_context.now);
    request.isRerun = !quarantinedParts.empty();
    return std::nullopt;
}

Refusal CrashDetector::partRefusal()
{
    return {
        502,
        "crashing-part",
        "targets crashed when they began to answer prompts with a part of this request's prompt",
        {}};
}

bool CrashDetector::isQuarantined(const BalancedRequest &request) const
{
    return record(Kind::Request).remainingBlockTime(request.fingerprint, m_context.now)
        || std::any_of(request.sharedParts.begin(), request.sharedParts.end(),
                       [&](std::uint64_t part) { return record(Kind::Part).isQuarantined(part); });
}

void CrashDetector::cancelRerun(const BalancedRequest &request)
{
    for (const std::uint64_t part : request.sharedParts)
        record(Kind::Part).cancelRerun(part);
}

void CrashDetector::onInterrupted(const BalancedRequest &request)
{
    const std::uint64_t boot = request.choice.boot;
    m_interruptedAt[boot] = m_context.now;
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
        m_interruptedAt[boot] = m_context.now;
}

void CrashDetector::onResponseStarted(const BalancedRequest &request)
{
    const std::uint64_t boot = request.choice.boot;
    const auto found = m_interruptedAt.find(boot);
    if (found == m_interruptedAt.end() || request.dispatchedAt <= found->second
        || request.dispatchedAt > found->second + maxRefutationTime)
        return;
    m_interruptedAt.erase(found);
    for (const Kind kind : {Kind::Request, Kind::Part}) {
        for (const std::uint64_t subject : record(kind).clearBoot(boot, m_context.now))
            report(kind, {subject, boot, true});
    }
}

void CrashDetector::onCompleted(const BalancedRequest &request, const AttemptDone &event)
{
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
    if (entry.isCleared)
        return record(kind).clear(entry.subject, entry.boot, m_context.now);
    if (record(kind).isCleared(entry.subject, entry.boot)) {
        // The sender has not heard of the clearance.
        report(kind, {entry.subject, entry.boot, true});
        return false;
    }
    return addToRecord(kind, entry.subject, entry.boot);
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
                  [&](const auto &each) { return each.second + maxRefutationTime < now; });
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
    for (const std::uint64_t part : parts.first(std::min(parts.size(), maxRecordedParts)))
        add(Kind::Part, part, boot);
}

/// Records an interruption that this node observed.
void CrashDetector::add(Kind kind, std::uint64_t subject, std::uint64_t boot)
{
    if (addToRecord(kind, subject, boot))
        report(kind, {subject, boot, false});
}

bool CrashDetector::addToRecord(Kind kind, std::uint64_t subject, std::uint64_t boot)
{
    const bool wasQuarantined = record(kind).isQuarantined(subject);
    if (!record(kind).add(subject, boot, m_context.now))
        return false;
    m_interruptedAt[boot] = m_context.now;
    if (!wasQuarantined && record(kind).isQuarantined(subject)) {
        m_hasNewQuarantine = m_hasNewQuarantine || kind == Kind::Part;
        logQuarantine(kind, subject);
    }
    return true;
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

Duration CrashDetector::rerunDelayOfNode(std::uint64_t part) const
{
    const std::uint64_t own = hash64(m_context.options.node.str(), part);
    std::int64_t precedingNodes = 0;
    m_context.peers.forEach([&](const NodeId &node, const PeerTable::Peer &peer) {
        const bool precedes
            = m_context.peers.isLive(peer, m_context.now) && hash64(node.str(), part) < own;
        precedingNodes += precedes ? 1 : 0;
    });
    return rerunInterval * precedingNodes;
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
