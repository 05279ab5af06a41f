// Handles requests that crash targets: detects whether a broken attempt was a crash, reports
// crashes to the fleet and refuses requests that crash targets repeatedly (docs/design/targets.md).
#include "RequestManager.h"

#include "berylridge/Support/Hash.h"

namespace berylridge {

namespace {

/// Time for the target to respond to a poll after a broken connection, and for a crash report to
/// reach every node, before the request that may have caused the crash is sent to a second target.
constexpr Duration crashCheckTimeout = std::chrono::milliseconds(400);
/// Copies of each crash report. At a datagram loss of 10 %, all four are lost once in 10000 cases.
constexpr int crashReportCopies = 4;
constexpr Duration crashReportPeriod = std::chrono::milliseconds(200);

std::uint64_t bootHash(const TargetId &target, const std::string &bootId)
{
    return hash64(bootId, hash64(target.str()));
}

} // namespace

/// Polls the target to find out whether its boot has ended. The request is not retried until then:
/// if it crashes every target that runs it, each further attempt would lose another target.
void RequestManager::startCrashCheck(Request &request, bool isRetried)
{
    CrashCheck check;
    check.fingerprint = request.fingerprint;
    check.bootId = request.bootId;
    check.handle = isRetried ? request.handle : 0;
    check.attempt = request.attempts;
    check.until = m_context.now + crashCheckTimeout;
    check.poll = ++m_lastPollNumber;
    m_crashChecks.emplace(request.target, check);
    m_context.emit(PollTarget {request.target, request.endpoint, check.poll});
}

void RequestManager::onLoadReport(const TargetLoadReport &report)
{
    m_knownBoots[report.target] = report.bootId;
    resolveCrashChecks(report.target, report.poll, report.bootId);
}

void RequestManager::onPollFailed(const TargetPollFailed &failure)
{
    // A missing response proves nothing yet; the crash check's timeout decides.
    if (failure.failure == AttemptFailure::ConnectRefused)
        resolveCrashChecks(failure.target, failure.poll, {});
}

/// Applies the result of a poll to the target's pending crash checks. `bootId` is the boot that
/// responded, or empty if the port is closed.
void RequestManager::resolveCrashChecks(const TargetId &target, std::uint64_t poll,
                                        const std::string &bootId)
{
    const auto [first, last] = m_crashChecks.equal_range(target);
    for (auto check = first; check != last;) {
        const CrashCheck &pending = check->second;
        const bool isSameBoot = !bootId.empty() && bootId == pending.bootId;
        if (!isSameBoot) {
            recordCrash(pending, target);
            ++check;
            continue;
        }
        // The response to an earlier poll may predate the crash. If it were taken as proof that the
        // target is alive, the request that caused the crash would be sent to a third target
        // immediately.
        if (poll < pending.poll) {
            ++check;
            continue;
        }
        // The boot is still running: only the connection broke.
        const CrashCheck alive = pending;
        check = m_crashChecks.erase(check);
        finishCrashCheck(alive);
    }
}

void RequestManager::recordCrash(const CrashCheck &check, const TargetId &target)
{
    const std::uint64_t boot = bootHash(target, check.bootId);
    if (!m_crashes.add(check.fingerprint, boot, m_context.now))
        return;
    m_context.log(LogEventId::TargetCold, target.str() + " crashed while it ran a request");
    m_crashBroadcasts.push_back({{check.fingerprint, boot}, m_context.now, crashReportCopies});
    resendCrashReports();
    refuseCrashingRequests(check.fingerprint);
}

/// Sends pending crash reports to all nodes, each report several times: a datagram may be lost, and
/// a node without the report would let the request crash two more targets.
void RequestManager::resendCrashReports()
{
    for (CrashBroadcast &broadcast : m_crashBroadcasts) {
        if (broadcast.remainingCopies == 0 || broadcast.at > m_context.now)
            continue;
        --broadcast.remainingCopies;
        broadcast.at = m_context.now + crashReportPeriod;
        for (const auto &[node, member] : m_context.membership.members()) {
            if (member.state != MemberState::Gone)
                m_context.send(node, FleetMessage(broadcast.crashReport));
        }
    }
    while (!m_crashBroadcasts.empty() && m_crashBroadcasts.front().remainingCopies == 0)
        m_crashBroadcasts.pop_front();
}

/// Finishes a crash check: retries the request, or refuses it if it crashed too many targets.
void RequestManager::finishCrashCheck(const CrashCheck &check)
{
    const auto found = m_requests.find(check.handle);
    if (found == m_requests.end() || found->second.attempts != check.attempt
        || found->second.state != RequestState::Queued) {
        return;
    }
    Request &request = found->second;
    if (!m_crashes.isQuarantined(request.fingerprint)) {
        retry(request);
        return;
    }
    m_context.log(LogEventId::CrashingRequest, request.id);
    refuse(request, crashingRefusal(502, request.fingerprint));
}

void RequestManager::onCrashReport(const CrashReport &crashReport)
{
    m_crashes.add(crashReport.fingerprint, crashReport.boot, m_context.now);
    refuseCrashingRequests(crashReport.fingerprint);
}

/// Refuses waiting requests with a blocked fingerprint, which would crash the next target.
void RequestManager::refuseCrashingRequests(std::uint64_t fingerprint)
{
    if (!m_crashes.remainingBlockTime(fingerprint, m_context.now))
        return;
    std::vector<RequestHandle> waiting;
    for (const auto &[handle, request] : m_requests) {
        if (request.fingerprint == fingerprint && request.state == RequestState::Queued)
            waiting.push_back(handle);
    }
    for (const RequestHandle handle : waiting)
        refuse(m_requests.at(handle), crashingRefusal(503, fingerprint));
}

RequestManager::Refusal RequestManager::crashingRefusal(unsigned status,
                                                        std::uint64_t fingerprint) const
{
    return {status, "crashing-request", "this request crashed the targets that ran it",
            m_crashes.remainingBlockTime(fingerprint, m_context.now)};
}

/// Sends the known crashes to nodes with a new incarnation. A restarted node has no crash records,
/// and a request that crashed two targets would crash two more through that node.
void RequestManager::sendKnownCrashes()
{
    for (const auto &[node, member] : m_context.membership.members()) {
        if (!member.hasDirectContact || member.incarnation == m_crashesSentTo[node])
            continue;
        m_crashesSentTo[node] = member.incarnation;
        m_crashes.forEach([&, to = node](std::uint64_t fingerprint, std::uint64_t boot) {
            m_context.send(to, FleetMessage(CrashReport {fingerprint, boot}));
        });
    }
}

} // namespace berylridge
