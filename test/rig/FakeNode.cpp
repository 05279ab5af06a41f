#include "FakeNode.h"

#include "FakeNodeParts.h"

#include "berylridge/Net/Datagram.h"
#include "berylridge/Support/Overloaded.h"

#include <algorithm>
#include <cassert>

namespace berylridge::rig {

namespace {

const std::string fleetKey = "a-fleet-key-of-the-test-rig-0000";
constexpr Duration connectTimeout = std::chrono::seconds(1);
constexpr std::size_t headerBytes = 28; // IP and UDP
constexpr int mostTimersNow = 100;
constexpr std::size_t mostWaiting = 4000;

} // namespace

FakeNode::FakeNode(World &world, PlaceId place, CoreOptions options)
    : m_world(world)
    , m_place(place)
    , m_options(std::move(options))
{
}

FakeNode::~FakeNode() = default;

void FakeNode::start()
{
    assert(!isUp() && "the node already runs");
    ++m_run;
    m_options.incarnation
        = static_cast<Incarnation>(m_world.queue.wallNow().time_since_epoch().count()) * 1000;
    m_options.seed = m_world.random();
    // Each process has a clock epoch of its own; a core that compares two nodes' clocks shows here.
    m_clockOffset = std::chrono::seconds(1 + m_world.random() % 100000);
    auto core = RouterCore::create(m_options, localNow(), m_world.queue.wallNow());
    if (!core) {
        m_world.journal.fail("start", core.failureReason());
        return;
    }
    m_core = *std::move(core);
    m_isPaused = m_isReady = m_isLeaving = m_isVmGone = false;
    m_timerAt = TimePoint::max();
    m_waiting.clear();
    // A node without memory may have lost what it heard, and can't hear while it is cut off.
    TimePoint until = m_world.queue.now();
    for (const auto &[from, end] : m_disturbances)
        until = std::max(until, end);
    disturb(TimePoint {}, until);
    handle(TimerDue {});
}

void FakeNode::kill(bool isVmGone)
{
    if (!isUp())
        return;
    ++m_run;
    m_isVmGone = isVmGone;
    m_isReady = false;
    m_isPaused = false;
    auto open = std::move(m_open);
    m_open.clear();
    for (auto &[handle, request] : open) {
        if (request.attempt)
            close(request.attempt);
        if (!request.isGone)
            m_world.journal.end(*request.callerTry, Ending::Lost);
    }
    m_world.platform->forget(*this);
    m_outbox.clear();
    m_idle.clear();
    m_core.reset();
}

void FakeNode::pause()
{
    m_isPaused = isUp();
    m_pausedAt = m_world.queue.now();
}

void FakeNode::resume()
{
    if (!m_isPaused)
        return;
    m_isPaused = false;
    disturb(m_pausedAt, m_world.queue.now());
    auto waiting = std::move(m_waiting);
    m_waiting.clear();
    const std::uint64_t run = m_run;
    // A late process may see its timer or its sockets first.
    if (uniform(m_world.random) < 0.5)
        handle(TimerDue {});
    for (const auto &function : waiting) {
        if (m_run == run)
            function();
    }
    if (m_run == run)
        handle(TimerDue {});
}

void FakeNode::leave()
{
    m_isLeaving = isUp();
    handle(LeaveOrdered {"rig"});
}

bool FakeNode::wasDisturbed(TimePoint since) const
{
    return m_isPaused
        || std::any_of(m_disturbances.begin(), m_disturbances.end(),
                       [&](const auto &disturbance) { return disturbance.second >= since; });
}

TimePoint FakeNode::couldHear(TimePoint published, Duration limit) const
{
    TimePoint heard = published;
    for (bool isChanged = true; isChanged;) {
        isChanged = false;
        for (const auto &[from, until] : m_disturbances) {
            if (from <= heard + limit && until > heard) {
                heard = until;
                isChanged = true;
            }
        }
    }
    return heard;
}

bool FakeNode::arrive(CallerTry &callerTry, const RequestArrived &request)
{
    if (!isUp())
        return false;
    RequestArrived event = request;
    event.handle = m_nextHandle++;
    event.requestId = callerTry.id;
    m_open[event.handle].callerTry = &callerTry;
    whenAwake([this, event] { handle(event); });
    return true;
}

void FakeNode::callerGone(const CallerTry &callerTry)
{
    for (auto &[handleNumber, open] : m_open) {
        if (open.callerTry != &callerTry || open.isGone)
            continue;
        open.isGone = true;
        m_world.journal.end(*open.callerTry, Ending::GivenUp);
        whenAwake([this, gone = handleNumber] { forgetCaller(gone); });
        return;
    }
}

void FakeNode::forgetCaller(RequestHandle gone)
{
    handle(CallerGone {gone});
    const auto found = m_open.find(gone);
    if (found == m_open.end())
        return;
    const Open &open = found->second;
    const bool isRunning = open.attempt && !open.attempt->isOver;
    if (isRunning && open.callerTry->request->isIdempotent)
        m_world.journal.fail("core", "an attempt goes on without its caller");
    // What may not be repeated goes on to its end, so that a repeat of its key finds the answer.
    if (!isRunning)
        m_open.erase(found);
}

TimePoint FakeNode::localNow() const
{
    return m_world.queue.now() + m_clockOffset;
}

void FakeNode::handle(const Event &event)
{
    if (!isUp())
        return;
    assert(!m_isPaused && "a paused process handles nothing");
    if (watchEvents)
        watchEvents(event, localNow(), m_world.queue.wallNow());
    Actions actions;
    m_core->handle(event, localNow(), m_world.queue.wallNow(), actions);
    const std::uint64_t run = m_run;
    for (const auto &action : actions) {
        if (watchActions)
            watchActions(action);
        carryOut(action);
        if (m_run != run)
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
    const TimePoint when = std::max(due - m_clockOffset, m_world.queue.now());
    if (when >= m_timerAt)
        return;
    m_timerAt = when;
    m_world.queue.at(when, guarded([this, when] {
                         if (m_timerAt == when)
                             timerDue();
                     }));
}

void FakeNode::timerDue()
{
    m_timerAt = TimePoint::max();
    if (m_core->nextTimer() > localNow()) {
        setTimer();
        return;
    }
    // A core that is never satisfied would keep a processor busy without end.
    m_timersNow = m_lastTimer == m_world.queue.now() ? m_timersNow + 1 : 0;
    m_lastTimer = m_world.queue.now();
    if (m_timersNow < mostTimersNow) {
        handle(TimerDue {});
        return;
    }
    m_world.journal.fail("core", m_options.node.str() + " asks for a timer again and again");
    later(std::chrono::milliseconds(1), [this] { handle(TimerDue {}); });
}

void FakeNode::carryOut(const Action &action)
{
    std::visit(
        Overloaded {
            [this](const Dispatch &order) { dispatch(order); },
            [this](const AbortAttempt &order) { abort(order); },
            [this](const Refuse &refusal) { refuse(refusal); },
            [this](const SendStoredResponse &kept) { answerKept(kept); },
            [](const RelayHeldResponse &) {
                assert(false && "only the balancer passes failures on");
            },
            [this](const SendToNode &message) { enqueue(message); },
            [this](const ProbeNode &silent) { probe(silent); },
            [this](const PollTarget &target) { poll(target); },
            [this](const WatchPlatform &watch) { m_world.platform->watch(*this, watch.isOn); },
            [this](const Readiness &readiness) { m_isReady = readiness.isReady; },
            [this](const Stopped &) { stopped(); },
            [](const Log &) {},
            [](const Audit &) {},
        },
        action);
}

void FakeNode::abort(const AbortAttempt &action)
{
    const auto found = m_open.find(action.handle);
    if (found != m_open.end() && found->second.attempt)
        close(found->second.attempt);
}

void FakeNode::enqueue(const SendToNode &action)
{
    const PlaceId to = m_world.links.find(action.endpoint);
    if (m_world.nodes.contains(to))
        m_outbox[to].push_back(packPeerMessage(action.message));
}

void FakeNode::flushMessages()
{
    if (m_outbox.empty())
        return;
    const DatagramEncoder sealer(m_options.node, m_options.incarnation, fleetKey);
    for (auto &[to, packed] : m_outbox) {
        std::vector<std::string> batch;
        std::size_t bytes = 0;
        for (auto &message : packed) {
            if (!batch.empty() && bytes + message.size() > sealer.capacity()) {
                sendPacked(to, batch);
                batch.clear();
                bytes = 0;
            }
            bytes += message.size();
            batch.push_back(std::move(message));
        }
        sendPacked(to, batch);
    }
    m_outbox.clear();
}

void FakeNode::sendPacked(PlaceId to, const std::vector<std::string> &packed)
{
    const DatagramEncoder sealer(m_options.node, m_options.incarnation, fleetKey);
    auto sealed = std::make_shared<const std::string>(sealer.encode(packed));
    m_traffic.sentBytes += sealed->size() + headerBytes;
    ++m_traffic.sentDatagrams;
    FakeNode *receiver = m_world.nodes.at(to);
    const auto arrive = [receiver, sealed] { receiver->deliver(*sealed); };
    if (sealed->size() <= maxDatagramBytes)
        m_world.links.datagram(m_place, to, arrive);
    else if (m_world.links.isOpen(m_place, to))
        m_world.links.stream(m_place, to, arrive);
}

void FakeNode::deliver(const std::string &sealed)
{
    if (!isUp())
        return;
    m_traffic.receivedBytes += sealed.size() + headerBytes;
    auto datagram = decodeDatagram(fleetKey, std::as_bytes(std::span(sealed)));
    if (!datagram) {
        m_world.journal.fail("codec", datagram.failureReason());
        return;
    }
    if (m_isPaused && m_waiting.size() > mostWaiting)
        return; // the socket's buffer is full
    for (const PeerMessage &message : datagram->messages) {
        whenAwake([this, event = NodeMessage {datagram->from, datagram->incarnation, message}] {
            handle(event);
        });
    }
}

void FakeNode::endTry(RequestHandle handle, Ending ending, const std::string &problem)
{
    const auto found = m_open.find(handle);
    if (found == m_open.end()) {
        m_world.journal.fail("own answer", "a request was answered that had ended: " + problem);
        return;
    }
    if (!found->second.isGone)
        m_world.journal.end(*found->second.callerTry, ending, problem);
    m_open.erase(found);
}

void FakeNode::refuse(const Refuse &action)
{
    const auto found = m_open.find(action.handle);
    Ending ending = action.verdict == Verdict::NotRun ? Ending::NotRun : Ending::MayHaveRun;
    if (found != m_open.end()) {
        if (found->second.attempt && !found->second.attempt->isOver) {
            if (m_isLeaving) {
                m_world.journal.fail("graceful stop",
                                     "a running request was refused: " + action.type);
            }
            close(found->second.attempt);
        }
        if (found->second.answerBegun)
            ending = Ending::Cut;
    }
    endTry(action.handle, ending, action.type);
}

void FakeNode::answerKept(const SendStoredResponse &action)
{
    const auto found = m_open.find(action.handle);
    if (found != m_open.end())
        m_world.journal.checkKept(*found->second.callerTry, action.body);
    endTry(action.handle, Ending::Answered, "kept");
}

void FakeNode::probe(const ProbeNode &action)
{
    const PlaceId place = m_world.links.find(action.endpoint);
    const bool isKnown = m_world.nodes.contains(place);
    const bool isAnswered
        = isKnown && m_world.links.isOpen(m_place, place) && !m_world.nodes.at(place)->isVmGone();
    const Duration wait = isAnswered ? 2 * m_world.links.delay(m_place, place) : connectTimeout;
    later(wait, [this, action, place, isAnswered] {
        const bool isRefused = isAnswered && !m_world.nodes.at(place)->isUp();
        handle(ProbeEnded {action.node, action.incarnation, isRefused});
    });
}

void FakeNode::poll(const PollTarget &action)
{
    const PlaceId place = m_world.links.find(action.endpoint);
    if (!m_world.targets.contains(place))
        return;
    if (!m_world.links.isOpen(m_place, place)) {
        later(connectTimeout, [this, action] {
            handle(TargetPollFailed {action.target, AttemptFailure::ConnectTimeout, action.poll});
        });
        return;
    }
    later(2 * m_world.links.delay(m_place, place), [this, action, place] {
        const FakeTarget &target = *m_world.targets.at(place);
        if (!target.isUp()) {
            handle(TargetPollFailed {action.target, AttemptFailure::ConnectRefused, action.poll});
            return;
        }
        const auto &load = target.load();
        handle(TargetLoadReport {action.target, load.bootId, load.running, load.completed,
                                 m_world.queue.now() - load.at, action.poll});
    });
}

void FakeNode::stopped()
{
    if (!m_open.empty()) {
        m_world.journal.fail("graceful stop",
                             m_options.node.str() + " stopped with " + std::to_string(m_open.size())
                                 + " requests open");
    }
    kill();
}

void FakeNode::later(Duration wait, const EventQueue::Function &function)
{
    m_world.queue.after(wait, guarded(function));
}

EventQueue::Function FakeNode::guarded(const EventQueue::Function &function)
{
    return [this, run = m_run, function] {
        if (m_run == run && isUp())
            whenAwake(function);
    };
}

void FakeNode::whenAwake(const EventQueue::Function &function)
{
    if (m_isPaused)
        m_waiting.push_back(function);
    else
        function();
}

} // namespace berylridge::rig
