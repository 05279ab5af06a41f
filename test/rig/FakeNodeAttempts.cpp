// The part of a simulated node that replaces the traffic threads: attempts at targets.
#include "FakeNode.h"

#include "FakeNodeRequests.h"

#include <algorithm>

namespace berylridge::rig {

namespace {

constexpr Duration connectTimeout = std::chrono::seconds(1);
constexpr Duration connectRetry = std::chrono::milliseconds(250);
constexpr unsigned statusOk = 200;

} // namespace

void FakeNode::startAttempt(const Dispatch &action)
{
    const auto found = m_openRequests.find(action.handle);
    if (found == m_openRequests.end()) {
        m_simulation.journal.recordViolation("core", "a request was dispatched after it had ended");
        return;
    }
    OpenRequest &open = found->second;
    const HostId host = m_simulation.network.find(action.endpoint);
    if (open.attempt && !open.attempt->isFinished)
        m_simulation.journal.recordViolation("core", "a request has two attempts at once");
    if (!m_simulation.targets.contains(host)) {
        m_simulation.journal.recordViolation("core",
                                             "a request was sent to an endpoint without a target");
        return;
    }
    auto attempt = std::make_shared<Attempt>();
    attempt->action = action;
    attempt->target = m_simulation.targets.at(host);
    attempt->callerAttempt = open.callerAttempt;
    attempt->startedAt = m_simulation.queue.now();
    const double cost = open.callerAttempt->request->cost;
    attempt->targetRequest
        = {open.callerAttempt, action.isResumed ? cost - open.streamedCost : cost, 0.1 * cost};
    open.attempt = attempt;
    const auto idle = m_idleConnections.find(attempt->target);
    // Matches the traffic threads' behavior for targets that announce no idle timeout: a request
    // that must not be resent reuses a connection only shortly after the connection's last use.
    constexpr Duration nonIdempotentIdleLimit = std::chrono::milliseconds(250);
    const bool isRecentlyUsed = idle != m_idleConnections.end()
        && m_simulation.queue.now() - idle->second.since <= nonIdempotentIdleLimit;
    if (idle != m_idleConnections.end()
        && (isRecentlyUsed || action.resendPolicy == ResendPolicy::Allowed)) {
        attempt->reusedBootId = idle->second.boot;
        m_idleConnections.erase(idle);
        sendRequest(attempt);
    } else {
        connect(attempt, Duration(0));
    }
}

void FakeNode::connect(const AttemptPtr &attempt, Duration waited)
{
    if (attempt->isFinished)
        return;
    const HostId host = attempt->target->host();
    if (waited >= connectTimeout) {
        failAttempt(attempt, AttemptFailure::ConnectTimeout, false);
        return;
    }
    if (!m_simulation.network.isConnected(m_host, host)) {
        runLater(connectRetry,
                 [this, attempt, waited] { connect(attempt, waited + connectRetry); });
        return;
    }
    runLater(2 * m_simulation.network.delay(m_host, host), [this, attempt] {
        if (attempt->isFinished)
            return;
        if (attempt->target->isUp())
            sendRequest(attempt);
        else
            failAttempt(attempt, AttemptFailure::ConnectRefused, false);
    });
}

void FakeNode::sendRequest(const AttemptPtr &attempt)
{
    if (localNow() >= attempt->action.notAfter) {
        failAttempt(attempt, AttemptFailure::ConnectTimeout, false);
        return;
    }
    // Data that was sent reaches the target even if this node terminates or abandons the attempt
    // meanwhile.
    m_simulation.network.sendOnStream(m_host, attempt->target->host(),
                                      [this, attempt] { deliverToTarget(attempt); });
    watchTimeouts(attempt);
}

void FakeNode::deliverToTarget(const AttemptPtr &attempt)
{
    FakeTarget &target = *attempt->target;
    const bool isDifferentBoot
        = !attempt->reusedBootId.empty() && attempt->reusedBootId != target.bootId();
    if (!target.isUp() || isDifferentBoot) {
        runLater(m_simulation.network.delay(m_host, target.host()),
                 [this, attempt] { failAttempt(attempt, AttemptFailure::Reset, true); });
        return;
    }
    if (m_simulation.onRequestAtTarget)
        m_simulation.onRequestAtTarget(*this, target);
    attempt->executionId = target.receive(attempt->targetRequest, makeResponseSink(attempt));
    if (attempt->isFinished)
        target.cancel(attempt->executionId);
}

ResponseSink FakeNode::makeResponseSink(const AttemptPtr &attempt)
{
    const auto sendToNode = [this, attempt](const EventQueue::Function &function) {
        m_simulation.network.sendOnStream(attempt->target->host(), m_host,
                                          bindToIncarnation(function));
    };
    return {[=, this](const std::string &boot) {
                sendToNode([=, this] { onResponseHead(attempt, boot); });
            },
            [=, this](const std::string &boot) {
                sendToNode([=, this] { onResponseDone(attempt, boot); });
            },
            [=, this] {
                sendToNode([=, this] { failAttempt(attempt, AttemptFailure::Reset, true); });
            }};
}

/// Simulates the timeouts of the traffic threads, as the action sets them: idleTimeout without a
/// byte, and attemptTimeout for the whole attempt.
void FakeNode::watchTimeouts(const AttemptPtr &attempt)
{
    runLater(attempt->action.idleTimeout, [this, attempt] {
        if (attempt->isFinished)
            return;
        const bool isFlowing = attempt->hasHead
            && attempt->target->isStreaming(attempt->executionId)
            && m_simulation.network.isConnected(m_host, attempt->target->host());
        const Duration age = m_simulation.queue.now() - attempt->startedAt;
        if (isFlowing && age < attempt->action.attemptTimeout)
            watchTimeouts(attempt);
        else
            failAttempt(attempt, AttemptFailure::Timeout, true);
    });
}

void FakeNode::onResponseHead(const AttemptPtr &attempt, const std::string &bootId)
{
    if (attempt->isFinished)
        return;
    attempt->hasHead = true;
    attempt->headAt = m_simulation.queue.now();
    const auto &action = attempt->action;
    m_openRequests.at(action.handle).answerBegun = true;
    handle(AttemptHead {action.handle, action.attempt, statusOk, bootId});
}

void FakeNode::onResponseDone(const AttemptPtr &attempt, const std::string &bootId)
{
    if (attempt->isFinished)
        return;
    attempt->isFinished = true;
    m_idleConnections[attempt->target] = {bootId, m_simulation.queue.now()};
    const auto &action = attempt->action;
    AttemptDone done {action.handle, action.attempt, statusOk, bootId, 100, {}, {}};
    if (action.storesResponse)
        done.storedBody = responseText(*attempt->callerAttempt->request);
    endCallerAttempt(action.handle, AttemptOutcome::Answered, "");
    handle(done);
}

void FakeNode::failAttempt(const AttemptPtr &attempt, AttemptFailure failure, bool sentAny)
{
    if (attempt->isFinished)
        return;
    close(attempt);
    const auto &action = attempt->action;
    OpenRequest &open = m_openRequests.at(action.handle);
    if (attempt->hasHead)
        open.streamedCost += 0.5 * toSeconds(m_simulation.queue.now() - attempt->headAt);
    open.streamedCost = std::min(open.streamedCost, 0.9 * attempt->targetRequest.cost);
    handle(AttemptFailed {action.handle, action.attempt, failure, sentAny, open.answerBegun});
}

void FakeNode::close(const AttemptPtr &attempt)
{
    if (attempt->isFinished)
        return;
    attempt->isFinished = true;
    if (attempt->executionId != 0) {
        m_simulation.network.sendOnStream(m_host, attempt->target->host(), [attempt] {
            attempt->target->cancel(attempt->executionId);
        });
    }
}

} // namespace berylridge::rig
