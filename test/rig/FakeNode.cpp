#include "FakeNode.h"

#include "FakeNodeRequests.h"

#include "berylridge/Net/Datagram.h"
#include "berylridge/Support/Overloaded.h"

#include <algorithm>
#include <cassert>

namespace berylridge::rig {

namespace {

const std::string fleetKey = "a-fleet-key-of-the-test-rig-0000";
constexpr Duration connectTimeout = std::chrono::seconds(1);
constexpr std::size_t headerBytes = 28; // IP and UDP headers
constexpr int maxTimersPerInstant = 100;
constexpr std::size_t maxDeferredCallbacks = 4000;

} // namespace

FakeNode::FakeNode(Simulation &simulation, HostId host, CoreOptions options)
    : m_simulation(simulation)
    , m_host(host)
    , m_options(std::move(options))
{
}

FakeNode::~FakeNode() = default;

void FakeNode::start()
{
    assert(!isUp() && "the node is already running");
    ++m_incarnationNumber;
    m_options.incarnation
        = static_cast<Incarnation>(m_simulation.queue.wallNow().time_since_epoch().count()) * 1000;
    m_options.seed = m_simulation.random();
    // Each process has a monotonic clock with an epoch of its own, which reveals a core that
    // compares the clocks of two nodes.
    m_clockOffset = std::chrono::seconds(1 + m_simulation.random() % 100000);
    auto core = RouterCore::create(m_options, localNow(), m_simulation.queue.wallNow());
    if (!core) {
        m_simulation.journal.recordViolation("start", core.failureReason());
        return;
    }
    m_core = *std::move(core);
    m_isPaused = m_isReady = m_isLeaving = m_isVmGone = false;
    m_timerAt = TimePoint::max();
    m_deferredCallbacks.clear();
    // A new incarnation lacks the updates of the previous one, and receives none while the node is
    // partitioned.
    TimePoint until = m_simulation.queue.now();
    for (const auto &[from, end] : m_outages)
        until = std::max(until, end);
    addOutage(TimePoint {}, until);
    handle(TimerDue {});
}

void FakeNode::kill(bool isVmGone)
{
    if (!isUp())
        return;
    ++m_incarnationNumber;
    m_isVmGone = isVmGone;
    m_isReady = false;
    m_isPaused = false;
    auto open = std::move(m_openRequests);
    m_openRequests.clear();
    for (auto &[handle, request] : open) {
        if (request.attempt)
            close(request.attempt);
        if (!request.isCallerDisconnected)
            m_simulation.journal.endAttempt(*request.callerAttempt, AttemptOutcome::NodeLost);
    }
    m_simulation.platform->stopWatch(*this);
    m_outbox.clear();
    m_idleConnections.clear();
    m_core.reset();
}

void FakeNode::pause()
{
    m_isPaused = isUp();
    m_pausedAt = m_simulation.queue.now();
}

void FakeNode::resume()
{
    if (!m_isPaused)
        return;
    m_isPaused = false;
    addOutage(m_pausedAt, m_simulation.queue.now());
    auto waiting = std::move(m_deferredCallbacks);
    m_deferredCallbacks.clear();
    const std::uint64_t incarnationNumber = m_incarnationNumber;
    // A resumed process may handle its due timer or its pending socket data first.
    if (uniform(m_simulation.random) < 0.5)
        handle(TimerDue {});
    for (const auto &function : waiting) {
        if (m_incarnationNumber == incarnationNumber)
            function();
    }
    if (m_incarnationNumber == incarnationNumber)
        handle(TimerDue {});
}

void FakeNode::leave()
{
    m_isLeaving = isUp();
    handle(LeaveOrdered {"rig"});
}

bool FakeNode::hadOutageSince(TimePoint since) const
{
    return m_isPaused || std::any_of(m_outages.begin(), m_outages.end(), [&](const auto &outage) {
               return outage.second >= since;
           });
}

TimePoint FakeNode::effectivePublishTime(TimePoint published, Duration limit) const
{
    TimePoint publishTime = published;
    for (bool isChanged = true; isChanged;) {
        isChanged = false;
        for (const auto &[from, until] : m_outages) {
            if (from <= publishTime + limit && until > publishTime) {
                publishTime = until;
                isChanged = true;
            }
        }
    }
    return publishTime;
}

bool FakeNode::acceptRequest(CallerAttempt &callerAttempt, const RequestArrived &request)
{
    if (!isUp())
        return false;
    RequestArrived event = request;
    event.handle = m_nextHandle++;
    event.requestId = callerAttempt.id;
    m_openRequests[event.handle].callerAttempt = &callerAttempt;
    runWhenResumed([this, event] { handle(event); });
    return true;
}

void FakeNode::onCallerDisconnected(const CallerAttempt &callerAttempt)
{
    for (auto &[openHandle, open] : m_openRequests) {
        if (open.callerAttempt != &callerAttempt || open.isCallerDisconnected)
            continue;
        open.isCallerDisconnected = true;
        m_simulation.journal.endAttempt(*open.callerAttempt, AttemptOutcome::CallerClosed);
        runWhenResumed([this, requestHandle = openHandle] { releaseCaller(requestHandle); });
        return;
    }
}

void FakeNode::releaseCaller(RequestHandle requestHandle)
{
    handle(CallerGone {requestHandle});
    const auto found = m_openRequests.find(requestHandle);
    if (found == m_openRequests.end())
        return;
    const OpenRequest &open = found->second;
    const bool isRunning = open.attempt && !open.attempt->isFinished;
    if (isRunning && open.callerAttempt->request->isIdempotent)
        m_simulation.journal.recordViolation("core",
                                             "an idempotent attempt goes on without its caller");
    // A non-idempotent request runs to completion, so that a retry with its key receives the stored
    // response.
    if (!isRunning)
        m_openRequests.erase(found);
}

TimePoint FakeNode::localNow() const
{
    return m_simulation.queue.now() + m_clockOffset;
}

void FakeNode::handle(const Event &event)
{
    if (!isUp())
        return;
    assert(!m_isPaused && "a paused process can't handle events");
    if (eventObserver)
        eventObserver(event, localNow(), m_simulation.queue.wallNow());
    Actions actions;
    m_core->handle(event, localNow(), m_simulation.queue.wallNow(), actions);
    const std::uint64_t incarnationNumber = m_incarnationNumber;
    for (const auto &action : actions) {
        if (actionObserver)
            actionObserver(action);
        execute(action);
        if (m_incarnationNumber != incarnationNumber)
            return;
    }
    flushMessages();
    setTimer();
}

void FakeNode::setTimer()
{
    const TimePoint due = m_core->nextTimer();
    if (due == TimePoint::max())
        return;
    const TimePoint when = std::max(due - m_clockOffset, m_simulation.queue.now());
    if (when >= m_timerAt)
        return;
    m_timerAt = when;
    m_simulation.queue.scheduleAt(when, bindToIncarnation([this, when] {
                                      if (m_timerAt == when)
                                          onTimer();
                                  }));
}

void FakeNode::onTimer()
{
    m_timerAt = TimePoint::max();
    if (m_core->nextTimer() > localNow()) {
        setTimer();
        return;
    }
    // Detects a core that always requests a timer that is due already: it would keep a processor
    // busy.
    m_timersAtInstant = m_lastTimer == m_simulation.queue.now() ? m_timersAtInstant + 1 : 0;
    m_lastTimer = m_simulation.queue.now();
    if (m_timersAtInstant < maxTimersPerInstant) {
        handle(TimerDue {});
        return;
    }
    m_simulation.journal.recordViolation(
        "core", m_options.node.str() + " keeps requesting a timer that is due already");
    runLater(std::chrono::milliseconds(1), [this] { handle(TimerDue {}); });
}

void FakeNode::execute(const Action &action)
{
    std::visit(
        Overloaded {
            [this](const Dispatch &attemptAction) { startAttempt(attemptAction); },
            [](const ContinueAttempt &) {
                assert(false && "only the balancer lets silent attempts go on");
            },
            [this](const AbortAttempt &attemptAction) { abortAttempt(attemptAction); },
            [this](const Refuse &refusal) { refuseRequest(refusal); },
            [this](const SendStoredResponse &storedResponse) {
                sendStoredResponse(storedResponse);
            },
            [](const RelayHeldResponse &) {
                assert(false && "only the balancer passes on held responses");
            },
            [this](const SendToNode &message) { enqueueMessage(message); },
            [this](const ProbeNode &probeAction) { probeNode(probeAction); },
            [this](const PollTarget &target) { pollTarget(target); },
            [this](const WatchPlatform &watch) { m_simulation.platform->watch(*this, watch.isOn); },
            [](const ReadPlatformRevision &) {
                assert(false && "only the balancer reads the platform's revision");
            },
            [this](const Readiness &readiness) { m_isReady = readiness.isReady; },
            [](const SetCallerLimits &) {
                assert(false && "only the balancer learns limits from a catalog");
            },
            [this](const Stopped &) { onStopped(); },
            [](const Log &) {},
            [](const Audit &) {},
        },
        action);
}

void FakeNode::abortAttempt(const AbortAttempt &action)
{
    const auto found = m_openRequests.find(action.handle);
    if (found != m_openRequests.end() && found->second.attempt)
        close(found->second.attempt);
}

void FakeNode::enqueueMessage(const SendToNode &action)
{
    const HostId to = m_simulation.network.find(action.endpoint);
    if (m_simulation.nodes.contains(to))
        m_outbox[to].push_back(packPeerMessage(action.message));
}

void FakeNode::flushMessages()
{
    if (m_outbox.empty())
        return;
    const DatagramEncoder encoder(m_options.node, m_options.incarnation, fleetKey);
    for (auto &[to, packedMessages] : m_outbox) {
        std::vector<std::string> batch;
        std::size_t bytes = 0;
        for (auto &message : packedMessages) {
            if (!batch.empty() && bytes + message.size() > encoder.capacity()) {
                sendBatch(to, batch);
                batch.clear();
                bytes = 0;
            }
            bytes += message.size();
            batch.push_back(std::move(message));
        }
        sendBatch(to, batch);
    }
    m_outbox.clear();
}

void FakeNode::sendBatch(HostId to, const std::vector<std::string> &packedMessages)
{
    const DatagramEncoder encoder(m_options.node, m_options.incarnation, fleetKey);
    auto encoded = std::make_shared<const std::string>(encoder.encode(packedMessages));
    m_traffic.sentBytes += encoded->size() + headerBytes;
    ++m_traffic.sentDatagrams;
    FakeNode *receiver = m_simulation.nodes.at(to);
    const auto onArrival = [receiver, encoded] { receiver->receiveDatagram(*encoded); };
    if (encoded->size() <= maxDatagramBytes)
        m_simulation.network.sendDatagram(m_host, to, onArrival);
    else if (m_simulation.network.isConnected(m_host, to))
        m_simulation.network.sendOnStream(m_host, to, onArrival);
}

void FakeNode::receiveDatagram(const std::string &encoded)
{
    if (!isUp())
        return;
    m_traffic.receivedBytes += encoded.size() + headerBytes;
    auto datagram = decodeDatagram(fleetKey, std::as_bytes(std::span(encoded)));
    if (!datagram) {
        m_simulation.journal.recordViolation("codec", datagram.failureReason());
        return;
    }
    if (m_isPaused && m_deferredCallbacks.size() > maxDeferredCallbacks)
        return; // simulates a full socket buffer
    for (const PeerMessage &message : datagram->messages) {
        runWhenResumed(
            [this, event = NodeMessage {datagram->from, datagram->incarnation, message}] {
                handle(event);
            });
    }
}

void FakeNode::endCallerAttempt(RequestHandle handle, AttemptOutcome outcome,
                                const std::string &problemType)
{
    const auto found = m_openRequests.find(handle);
    if (found == m_openRequests.end()) {
        m_simulation.journal.recordViolation(
            "own answer", "a request was answered after it had ended: " + problemType);
        return;
    }
    if (!found->second.isCallerDisconnected)
        m_simulation.journal.endAttempt(*found->second.callerAttempt, outcome, problemType);
    m_openRequests.erase(found);
}

void FakeNode::refuseRequest(const Refuse &action)
{
    const auto found = m_openRequests.find(action.handle);
    AttemptOutcome outcome
        = action.verdict == Verdict::NotRun ? AttemptOutcome::NotRun : AttemptOutcome::MayHaveRun;
    if (found != m_openRequests.end()) {
        if (found->second.attempt && !found->second.attempt->isFinished) {
            if (m_isLeaving) {
                m_simulation.journal.recordViolation(
                    "graceful stop", "a running request was refused: " + action.type);
            }
            close(found->second.attempt);
        }
        if (found->second.answerBegun)
            outcome = AttemptOutcome::Truncated;
    }
    endCallerAttempt(action.handle, outcome, action.type);
}

void FakeNode::sendStoredResponse(const SendStoredResponse &action)
{
    const auto found = m_openRequests.find(action.handle);
    if (found != m_openRequests.end())
        m_simulation.journal.checkStoredResponse(*found->second.callerAttempt, action.body);
    endCallerAttempt(action.handle, AttemptOutcome::Answered, "kept");
}

void FakeNode::probeNode(const ProbeNode &action)
{
    const HostId host = m_simulation.network.find(action.endpoint);
    const bool isKnown = m_simulation.nodes.contains(host);
    const bool isResponding = isKnown && m_simulation.network.isConnected(m_host, host)
        && !m_simulation.nodes.at(host)->isVmGone();
    const Duration wait
        = isResponding ? 2 * m_simulation.network.delay(m_host, host) : connectTimeout;
    runLater(wait, [this, action, host, isResponding] {
        const bool isRefused = isResponding && !m_simulation.nodes.at(host)->isUp();
        handle(ProbeEnded {action.node, action.incarnation, isRefused});
    });
}

void FakeNode::pollTarget(const PollTarget &action)
{
    const HostId host = m_simulation.network.find(action.endpoint);
    if (!m_simulation.targets.contains(host))
        return;
    if (!m_simulation.network.isConnected(m_host, host)) {
        runLater(connectTimeout, [this, action] {
            handle(TargetPollFailed {action.target, AttemptFailure::ConnectTimeout, action.poll});
        });
        return;
    }
    runLater(2 * m_simulation.network.delay(m_host, host), [this, action, host] {
        const FakeTarget &target = *m_simulation.targets.at(host);
        if (!target.isUp()) {
            handle(TargetPollFailed {action.target, AttemptFailure::ConnectRefused, action.poll});
            return;
        }
        const auto &load = target.load();
        handle(TargetLoadReport {action.target, load.bootId, load.running, load.completed,
                                 m_simulation.queue.now() - load.sampledAt, action.poll});
    });
}

void FakeNode::onStopped()
{
    if (!m_openRequests.empty()) {
        m_simulation.journal.recordViolation("graceful stop",
                                             m_options.node.str() + " stopped with "
                                                 + std::to_string(m_openRequests.size())
                                                 + " requests open");
    }
    kill();
}

void FakeNode::runLater(Duration wait, const EventQueue::Function &function)
{
    m_simulation.queue.scheduleAfter(wait, bindToIncarnation(function));
}

EventQueue::Function FakeNode::bindToIncarnation(const EventQueue::Function &function)
{
    return [this, incarnationNumber = m_incarnationNumber, function] {
        if (m_incarnationNumber == incarnationNumber && isUp())
            runWhenResumed(function);
    };
}

void FakeNode::runWhenResumed(const EventQueue::Function &function)
{
    if (m_isPaused)
        m_deferredCallbacks.push_back(function);
    else
        function();
}

} // namespace berylridge::rig
