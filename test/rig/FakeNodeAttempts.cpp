// The part of a fake node that stands for the traffic threads: attempts at targets.
#include "FakeNode.h"

#include "FakeNodeParts.h"

#include <algorithm>

namespace berylridge::rig {

namespace {

constexpr Duration connectTimeout = std::chrono::seconds(1);
constexpr Duration connectRetry = std::chrono::milliseconds(250);
constexpr unsigned statusOk = 200;

} // namespace

void FakeNode::dispatch(const Dispatch &action)
{
    const auto found = m_open.find(action.handle);
    if (found == m_open.end()) {
        m_world.journal.fail("core", "a request was dispatched that had ended");
        return;
    }
    Open &open = found->second;
    const PlaceId place = m_world.links.find(action.endpoint);
    if (open.attempt && !open.attempt->isOver)
        m_world.journal.fail("core", "a request has two attempts at once");
    if (!m_world.targets.contains(place)) {
        m_world.journal.fail("core", "a request was sent to a place without target");
        return;
    }
    auto attempt = std::make_shared<Attempt>();
    attempt->action = action;
    attempt->target = m_world.targets.at(place);
    attempt->callerTry = open.callerTry;
    attempt->startedAt = m_world.queue.now();
    const double cost = open.callerTry->request->cost;
    attempt->order = {open.callerTry, action.isResumed ? cost - open.streamed : cost, 0.1 * cost};
    open.attempt = attempt;
    const auto idle = m_idle.find(attempt->target);
    // As the shell does where targets tell no limit of their own: a request that may run once goes
    // on a connection for a moment alone.
    constexpr Duration maxIdleTimeWithoutResend = std::chrono::milliseconds(250);
    const bool isFresh = idle != m_idle.end()
        && m_world.queue.now() - idle->second.since <= maxIdleTimeWithoutResend;
    if (idle != m_idle.end() && (isFresh || action.resendPolicy == ResendPolicy::Allowed)) {
        attempt->reusedBoot = idle->second.boot;
        m_idle.erase(idle);
        sendRequest(attempt);
    } else {
        connect(attempt, Duration(0));
    }
}

void FakeNode::connect(const AttemptPtr &attempt, Duration waited)
{
    if (attempt->isOver)
        return;
    const PlaceId place = attempt->target->place();
    if (waited >= connectTimeout) {
        fail(attempt, AttemptFailure::ConnectTimeout, false);
        return;
    }
    if (!m_world.links.isOpen(m_place, place)) {
        later(connectRetry, [this, attempt, waited] { connect(attempt, waited + connectRetry); });
        return;
    }
    later(2 * m_world.links.delay(m_place, place), [this, attempt] {
        if (attempt->isOver)
            return;
        if (attempt->target->isUp())
            sendRequest(attempt);
        else
            fail(attempt, AttemptFailure::ConnectRefused, false);
    });
}

void FakeNode::sendRequest(const AttemptPtr &attempt)
{
    if (localNow() >= attempt->action.notAfter) {
        fail(attempt, AttemptFailure::ConnectTimeout, false);
        return;
    }
    // Bytes that left reach the target even if this node dies or gives up meanwhile.
    m_world.links.stream(m_place, attempt->target->place(),
                         [this, attempt] { reachTarget(attempt); });
    watchSilence(attempt);
}

void FakeNode::reachTarget(const AttemptPtr &attempt)
{
    FakeTarget &target = *attempt->target;
    const bool isOtherBoot = !attempt->reusedBoot.empty() && attempt->reusedBoot != target.bootId();
    if (!target.isUp() || isOtherBoot) {
        later(m_world.links.delay(m_place, target.place()),
              [this, attempt] { fail(attempt, AttemptFailure::Reset, true); });
        return;
    }
    if (m_world.dispatched)
        m_world.dispatched(*this, target);
    attempt->work = target.receive(attempt->order, sinkFor(attempt));
    if (attempt->isOver)
        target.cancel(attempt->work);
}

AnswerSink FakeNode::sinkFor(const AttemptPtr &attempt)
{
    const auto back = [this, attempt](const EventQueue::Function &function) {
        m_world.links.stream(attempt->target->place(), m_place, guarded(function));
    };
    return {[=, this](const std::string &boot) { back([=, this] { onHead(attempt, boot); }); },
            [=, this](const std::string &boot) { back([=, this] { onDone(attempt, boot); }); },
            [=, this] { back([=, this] { fail(attempt, AttemptFailure::Reset, true); }); }};
}

/// The shell's timeouts, as the dispatch asks: none may pass without a byte, nor the whole attempt.
void FakeNode::watchSilence(const AttemptPtr &attempt)
{
    later(attempt->action.idleTimeout, [this, attempt] {
        if (attempt->isOver)
            return;
        const bool isFlowing = attempt->hasHead && attempt->target->isStreaming(attempt->work)
            && m_world.links.isOpen(m_place, attempt->target->place());
        const Duration age = m_world.queue.now() - attempt->startedAt;
        if (isFlowing && age < attempt->action.attemptTimeout)
            watchSilence(attempt);
        else
            fail(attempt, AttemptFailure::Timeout, true);
    });
}

void FakeNode::onHead(const AttemptPtr &attempt, const std::string &bootId)
{
    if (attempt->isOver)
        return;
    attempt->hasHead = true;
    attempt->headAt = m_world.queue.now();
    const auto &action = attempt->action;
    m_open.at(action.handle).answerBegun = true;
    handle(AttemptHead {action.handle, action.attempt, statusOk, bootId});
}

void FakeNode::onDone(const AttemptPtr &attempt, const std::string &bootId)
{
    if (attempt->isOver)
        return;
    attempt->isOver = true;
    m_idle[attempt->target] = {bootId, m_world.queue.now()};
    const auto &action = attempt->action;
    AttemptDone done {action.handle, action.attempt, statusOk, bootId, 100, {}, {}};
    if (action.storesResponse)
        done.storedBody = answerText(*attempt->callerTry->request);
    endTry(action.handle, Ending::Answered, "");
    handle(done);
}

void FakeNode::fail(const AttemptPtr &attempt, AttemptFailure failure, bool sentAny)
{
    if (attempt->isOver)
        return;
    close(attempt);
    const auto &action = attempt->action;
    Open &open = m_open.at(action.handle);
    if (attempt->hasHead)
        open.streamed += 0.5 * toSeconds(m_world.queue.now() - attempt->headAt);
    open.streamed = std::min(open.streamed, 0.9 * attempt->order.cost);
    handle(AttemptFailed {action.handle, action.attempt, failure, sentAny, open.answerBegun});
}

void FakeNode::close(const AttemptPtr &attempt)
{
    if (attempt->isOver)
        return;
    attempt->isOver = true;
    if (attempt->work != 0) {
        m_world.links.stream(m_place, attempt->target->place(),
                             [attempt] { attempt->target->cancel(attempt->work); });
    }
}

} // namespace berylridge::rig
