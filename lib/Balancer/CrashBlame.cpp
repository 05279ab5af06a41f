#include "CrashBlame.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <utility>

namespace berylridge {

namespace {

/// The number of targets that a part may end before it is blamed. Requests that run beside it are
/// interrupted too, and may be sent to the target that it ends next.
constexpr std::size_t maxPartCrashes = 3;
/// Maximum time from the start of a response to the end of a target that it causes.
constexpr Duration maxCrashDelay = std::chrono::milliseconds(500);
/// A target that responds within this time after an interruption has not ended. Later, another boot
/// may respond that is not listed yet.
constexpr Duration maxRefutationTime = std::chrono::milliseconds(1000);
/// Time by which another request shows that a target has ended.
constexpr Duration proofTime = std::chrono::milliseconds(500);
/// Maximum time between the ends of a target's connections when it ends.
constexpr Duration maxSignDelay = std::chrono::milliseconds(100);
/// Difference between the times at which two nodes rerun a blamed part.
constexpr Duration rerunInterval = std::chrono::seconds(1);

} // namespace

CrashBlame::CrashBlame(BalancerContext &context)
    : m_context(context)
    , m_records {CrashRecord(), CrashRecord({.maxCrashes = maxPartCrashes})}
{
}

std::optional<Refusal> CrashBlame::checkFirstAttempt(BalancedRequest &request)
{
    if (record(Kind::Request).remainingBlockTime(request.fingerprint, m_context.now))
        return Refusal {502, "crashing-request", "the request ended the targets that ran it", {}};
    CrashRecord &partRecord = record(Kind::Part);
    std::vector<std::uint64_t> blamedParts;
    for (const std::uint64_t part : request.sharedParts) {
        if (!partRecord.isBlamed(part))
            continue;
        blamedParts.push_back(part);
        partRecord.recordUse(part, m_context.now);
    }
    const bool mayRun
        = std::all_of(blamedParts.begin(), blamedParts.end(), [&](std::uint64_t part) {
              return partRecord.isRerunDue(part, request.sharedParts, rerunDelayOfNode(part),
                                           m_context.now);
          });
    if (!mayRun)
        return partRefusal();
    for (const std::uint64_t part : blamedParts)
        partRecord.beginRerun(part, m_context.now);
    request.isRerun = !blamedParts.empty();
    return std::nullopt;
}

Refusal CrashBlame::partRefusal()
{
    return {502,
            "crashing-part",
            "targets ended when they began to answer prompts with a part of this request's prompt",
            {}};
}

bool CrashBlame::isBlamed(const BalancedRequest &request) const
{
    return record(Kind::Request).remainingBlockTime(request.fingerprint, m_context.now)
        || std::any_of(request.sharedParts.begin(), request.sharedParts.end(),
                       [&](std::uint64_t part) { return record(Kind::Part).isBlamed(part); });
}

void CrashBlame::cancelRerun(const BalancedRequest &request)
{
    for (const std::uint64_t part : request.sharedParts)
        record(Kind::Part).cancelRerun(part);
}

void CrashBlame::onInterrupted(const BalancedRequest &request)
{
    const std::uint64_t boot = request.choice.boot;
    m_interruptedAt[boot] = m_context.now;
    add(Kind::Request, request.fingerprint, boot);
    if (!isPartSuspect(request))
        return;
    for (const std::uint64_t part : request.sharedParts)
        add(Kind::Part, part, boot);
}

void CrashBlame::onConnectionRefused(const BalancedRequest &request)
{
    const std::uint64_t boot = request.choice.boot;
    const bool isInQuestion
        = std::any_of(m_unprovenResponses.begin(), m_unprovenResponses.end(),
                      [&](const CompletedResponse &response) { return response.boot == boot; });
    if (isInQuestion)
        m_interruptedAt[boot] = m_context.now;
}

void CrashBlame::onResponseStarted(const BalancedRequest &request)
{
    const std::uint64_t boot = request.choice.boot;
    const auto found = m_interruptedAt.find(boot);
    if (found == m_interruptedAt.end() || request.dispatchedAt <= found->second
        || request.dispatchedAt > found->second + maxRefutationTime)
        return;
    m_interruptedAt.erase(found);
    for (const Kind kind : {Kind::Request, Kind::Part}) {
        for (const std::uint64_t subject : record(kind).acquitAll(boot, m_context.now))
            report(kind, {subject, boot, true});
    }
}

void CrashBlame::onCompleted(const BalancedRequest &request, const AttemptDone &event)
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
        acquitSubjectsOf(response);
}

bool CrashBlame::onReport(Kind kind, const InterruptionEntry &entry)
{
    if (entry.isAcquitted)
        return record(kind).acquit(entry.subject, entry.boot, m_context.now);
    if (record(kind).isAcquitted(entry.subject, entry.boot)) {
        // The sender has not heard of the acquittal.
        report(kind, {entry.subject, entry.boot, true});
        return false;
    }
    return addToRecord(kind, entry.subject, entry.boot);
}

std::vector<InterruptionEntry> CrashBlame::takeReports(Kind kind)
{
    return std::exchange(m_reports[static_cast<std::size_t>(kind)], {});
}

std::vector<InterruptionEntry> CrashBlame::nextBlamedParts(std::size_t maxCount)
{
    std::vector<InterruptionEntry> all;
    record(Kind::Part).forEachBlamed(m_context.now, [&](std::uint64_t part, std::uint64_t boot) {
        all.push_back({part, boot, false});
    });
    std::vector<InterruptionEntry> next;
    for (std::size_t i = 0; i < std::min(maxCount, all.size()); ++i)
        next.push_back(all[m_nextBlamed++ % all.size()]);
    return next;
}

void CrashBlame::tick()
{
    const TimePoint now = m_context.now;
    for (CrashRecord &each : m_records)
        each.expire(now);
    resolveUnprovenResponses();
    std::erase_if(m_interruptedAt,
                  [&](const auto &each) { return each.second + maxRefutationTime < now; });
}

void CrashBlame::resolveUnprovenResponses()
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
            acquitSubjectsOf(response);
        else
            addSubjectsOf(response);
    }
}

void CrashBlame::acquitSubjectsOf(const CompletedResponse &response)
{
    acquit(Kind::Request, response.fingerprint, response.begunAt);
    for (const std::uint64_t part : response.parts)
        acquit(Kind::Part, part, response.begunAt);
}

void CrashBlame::addSubjectsOf(const CompletedResponse &response)
{
    add(Kind::Request, response.fingerprint, response.boot);
    if (!response.isPartSuspect)
        return;
    for (const std::uint64_t part : response.parts)
        add(Kind::Part, part, response.boot);
}

/// Records an interruption that this node observed.
void CrashBlame::add(Kind kind, std::uint64_t subject, std::uint64_t boot)
{
    if (addToRecord(kind, subject, boot))
        report(kind, {subject, boot, false});
}

bool CrashBlame::addToRecord(Kind kind, std::uint64_t subject, std::uint64_t boot)
{
    const bool wasBlamed = record(kind).isBlamed(subject);
    if (!record(kind).add(subject, boot, m_context.now))
        return false;
    m_interruptedAt[boot] = m_context.now;
    if (!wasBlamed && record(kind).isBlamed(subject)) {
        m_hasNewBlame = m_hasNewBlame || kind == Kind::Part;
        logBlame(kind, subject);
    }
    return true;
}

void CrashBlame::acquit(Kind kind, std::uint64_t subject, TimePoint begunAt)
{
    for (const std::uint64_t boot : record(kind).acquit(subject, begunAt, m_context.now))
        report(kind, {subject, boot, true});
}

void CrashBlame::report(Kind kind, const InterruptionEntry &entry)
{
    m_reports[static_cast<std::size_t>(kind)].push_back(entry);
}

/// Returns whether the request's target would end about now if a part of the prompt ended it.
bool CrashBlame::isPartSuspect(const BalancedRequest &request) const
{
    return !request.hasResponseStarted
        || m_context.now - request.responseStartedAt <= maxCrashDelay;
}

Duration CrashBlame::rerunDelayOfNode(std::uint64_t part) const
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

void CrashBlame::logBlame(Kind kind, std::uint64_t subject)
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
