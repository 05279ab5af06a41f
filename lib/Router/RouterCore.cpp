#include "berylridge/Router/RouterCore.h"

#include "CoreContext.h"
#include "FleetSync.h"
#include "PoolManager.h"
#include "RequestManager.h"

#include "berylridge/Support/Overloaded.h"

#include <algorithm>
#include <cassert>

namespace berylridge {

namespace {

/// Period of the timer work while requests wait or leases are held: spilling to other zones, queue
/// timeouts, granting free slots.
constexpr Duration busyTickPeriod = std::chrono::milliseconds(20);
/// Events arrive at least once per heartbeat period. A longer gap means that the process was paused
/// and that its knowledge of other nodes is as old as the gap.
constexpr Duration pauseThreshold = std::chrono::milliseconds(1000);
/// Time after the end of a planned stop in which targets may still answer. The rest of the drain is
/// for the refusals of the others.
constexpr Duration lastAnswersTime = Stopped {}.drainLimit - std::chrono::milliseconds(800);

} // namespace

class RouterCore::Impl
{
public:
    Impl(CoreOptions options, StateMachines stateMachines, TimePoint now, WallTime wall)
        : m_context(std::move(options), std::move(stateMachines), now, wall)
        , m_requests(m_context)
        , m_pools(m_context, m_requests)
        , m_fleet(m_context)
        , m_lastEventAt(now)
        , m_nextHeartbeat(now)
        , m_nextTick(now)
    {
        m_requests.setPoolManager(m_pools);
    }

    void handle(const Event &event, TimePoint now, WallTime wall, Actions &actions);
    TimePoint nextTimer() const;
    NodeStatus status() const;
    std::vector<DocumentText> documents() const;
    std::vector<std::string> explain(const std::string &id) const { return m_requests.explain(id); }

private:
    void detectPause();
    void dispatch(const Event &event);
    void onNodeMessage(const NodeId &from, Incarnation incarnation, const AnyMessage &message);
    void onFleetMessage(const NodeId &from, Incarnation incarnation, const FleetMessage &message);
    void processPendingWork();
    void applyFleetChanges();
    void handleSelfMessages();
    void runTimers();
    void endStoppedRequests();

    CoreContext m_context;
    RequestManager m_requests;
    PoolManager m_pools;
    FleetSync m_fleet;
    TimePoint m_lastEventAt;
    TimePoint m_nextHeartbeat;
    TimePoint m_nextTick;
};

void RouterCore::Impl::handle(const Event &event, TimePoint now, WallTime wall, Actions &actions)
{
    assert(now >= m_context.now && "time must not step back");
    m_context.now = now;
    m_context.wall = wall;
    m_context.actions = &actions;
    detectPause();
    m_lastEventAt = now;
    dispatch(event);
    runTimers();
    processPendingWork();
    m_context.actions = nullptr;
}

void RouterCore::Impl::detectPause()
{
    const Duration gap = m_context.now - m_lastEventAt;
    if (gap <= pauseThreshold)
        return;
    m_context.log(LogEventId::WokeLate, std::to_string(gap.count() / 1000) + " ms");
    m_fleet.onProcessResumed();
    m_pools.onProcessResumed();
}

void RouterCore::Impl::dispatch(const Event &event)
{
    std::visit(
        Overloaded {
            [&](const RequestArrived &e) { m_requests.onArrived(e, m_fleet.isJoining()); },
            [&](const KeyIssueRequested &e) { m_requests.onKeyIssueRequested(e); },
            [&](const CallerGone &e) { m_requests.onCallerGone(e); },
            [&](const AttemptHead &e) { m_requests.onHead(e); },
            [&](const AttemptDone &e) { m_requests.onDone(e); },
            [&](const AttemptFailed &e) { m_requests.onFailed(e); },
            [&](const TargetLoadReport &e) {
                m_pools.onLoadReport(e);
                m_requests.onLoadReport(e);
            },
            [&](const TargetPollFailed &e) {
                m_pools.onPollFailed(e);
                m_requests.onPollFailed(e);
            },
            [&](const NodeMessage &e) {
                if (m_context.membership.onMessageReceived(e.from, e.incarnation, m_context.now))
                    onNodeMessage(e.from, e.incarnation, e.message);
            },
            [&](const ProbeEnded &e) { m_fleet.onProbeEnded(e); },
            [&](const DocumentArrived &e) { m_fleet.onDocument(e.document, "platform"); },
            [&](const VmListArrived &e) { m_fleet.onVmList(e.list); },
            [&](const PlatformReachability &e) { m_fleet.onPlatformReachability(e.isReachable); },
            [&](const LeaveOrdered &e) { m_fleet.onLeave(e.who); },
            [&](const ReturnOrdered &e) { m_fleet.onReturn(e.who); },
            // Only the balancer handles these events (lib/Balancer).
            [](const CatalogArrived &) {},
            [](const DirectoryArrived &) {},
            [](const PlatformRevisionRead &) {},
            [](const FirstEventRelayed &) {},
            [](const SeedsChanged &) {},
            [](const TrafficThreadReport &) {},
            [](const AttemptSilent &) {},       // Its attempts fail when their targets are silent.
            [](const ResponseCut &) {},         // The metrics count it.
            [](const TargetAdviceArrived &) {}, // Only protocols of the balancer report it.
            [](const TimerDue &) {},
        },
        event);
}

void RouterCore::Impl::onNodeMessage(const NodeId &from, Incarnation incarnation,
                                     const AnyMessage &message)
{
    if (const auto *key = std::get_if<KeyMessage>(&message)) {
        m_requests.onKeyMessage(from, incarnation, *key);
        return;
    }
    // Nodes that run the balancer send load messages. This core shares capacity by leases and
    // ignores them.
    if (const auto *fleet = std::get_if<FleetMessage>(&message))
        onFleetMessage(from, incarnation, *fleet);
}

void RouterCore::Impl::onFleetMessage(const NodeId &from, Incarnation incarnation,
                                      const FleetMessage &message)
{
    std::visit(Overloaded {
                   [&](const Heartbeat &m) { m_fleet.onHeartbeat(from, m); },
                   [&](const ZoneView &m) { m_fleet.onZoneView(m); },
                   [&](const DocumentsRequest &m) { m_fleet.onDocumentsRequest(from, m); },
                   [&](const DocumentsReply &m) { m_fleet.onDocumentsReply(m, from); },
                   [&](const VmListMessage &m) { m_fleet.onVmListMessage(m); },
                   [&](const PoolDemand &m) { m_pools.onDemand(from, incarnation, m); },
                   [&](const PoolGrant &m) { m_pools.onGrant(from, incarnation, m); },
                   [&](const PoolReturn &m) { m_pools.onReturn(from, m); },
                   [&](const TargetObservation &m) { m_pools.onTargetObservation(m); },
                   [&](const PoolUsage &m) { m_pools.onRemoteUsage(m); },
                   [&](const CrashReport &m) { m_requests.onCrashReport(m); },
                   [&](const Goodbye &) { m_fleet.onGoodbye(from); },
                   [&](const PoolHandover &m) { m_pools.onHandover(m); },
               },
               message);
}

void RouterCore::Impl::runTimers()
{
    if (m_context.now >= m_nextHeartbeat) {
        m_nextHeartbeat = m_context.now + m_context.options.heartbeatPeriod;
        m_fleet.tick(m_requests.acceptsNewKeys());
        m_fleet.checkStop(m_requests.size(), m_requests.lastArrival());
        if (m_fleet.state() == NodeState::Stopped)
            endStoppedRequests();
    }
    if (m_context.now >= m_nextTick || m_context.now >= m_requests.nextTimer()) {
        m_nextTick = m_context.now + busyTickPeriod;
        m_requests.tick();
        m_pools.tick();
    }
}

/// Refuses requests that would get no answer before the process ends.
void RouterCore::Impl::endStoppedRequests()
{
    m_requests.refuseWaiting();
    if (m_context.now >= m_context.stopsAt + lastAnswersTime)
        m_requests.abortUnanswered();
}

/// Processes the event's consequences within this node until no change and no message to itself is
/// pending.
void RouterCore::Impl::processPendingWork()
{
    applyFleetChanges();
    m_pools.flush();
    while (!m_context.selfMessages.empty()) {
        handleSelfMessages();
        applyFleetChanges();
        m_pools.flush();
    }
}

void RouterCore::Impl::applyFleetChanges()
{
    const FleetSync::Changes changes = m_fleet.takeChanges();
    if (changes.documents) {
        m_requests.onDocuments();
        m_fleet.announce();
    }
    if (changes.documents || changes.vmList)
        m_pools.onDocuments();
    if (changes.vmList)
        m_requests.onVmList(m_context.membership.vmList());
    if (!changes.members)
        return;
    m_pools.onEndedIncarnations(m_context.membership.takeEndedIncarnations());
    m_pools.onMembers();
    m_requests.onMembers();
}

void RouterCore::Impl::handleSelfMessages()
{
    const std::deque<AnyMessage> messages = std::exchange(m_context.selfMessages, {});
    for (const AnyMessage &message : messages)
        onNodeMessage(m_context.options.node, m_context.options.incarnation, message);
}

TimePoint RouterCore::Impl::nextTimer() const
{
    TimePoint next = std::min(m_nextHeartbeat, m_requests.nextTimer());
    if (m_requests.size() > 0 || m_pools.isBusy())
        next = std::min(next, m_nextTick);
    return next;
}

NodeStatus RouterCore::Impl::status() const
{
    NodeStatus status;
    m_fleet.fillStatus(status);
    m_pools.fillStatus(status);
    m_requests.fillStatus(status);
    return status;
}

std::vector<DocumentText> RouterCore::Impl::documents() const
{
    std::vector<DocumentText> documents;
    for (const auto &[name, document] : m_context.documents.texts())
        documents.push_back(document);
    return documents;
}

Expected<std::unique_ptr<RouterCore>> RouterCore::create(CoreOptions options, TimePoint now,
                                                         WallTime wall)
{
    Expected<StateMachines> stateMachines = StateMachines::load(options.chartDirectory);
    if (!stateMachines)
        return Reason {stateMachines.failureReason()};
    auto impl = std::make_unique<Impl>(std::move(options), *std::move(stateMachines), now, wall);
    return std::unique_ptr<RouterCore>(new RouterCore(std::move(impl)));
}

RouterCore::RouterCore(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

RouterCore::~RouterCore() = default;

void RouterCore::handle(const Event &event, TimePoint now, WallTime wall, Actions &actions)
{
    m_impl->handle(event, now, wall, actions);
}

TimePoint RouterCore::nextTimer() const
{
    return m_impl->nextTimer();
}

NodeStatus RouterCore::status() const
{
    return m_impl->status();
}

std::vector<DocumentText> RouterCore::documents() const
{
    return m_impl->documents();
}

std::vector<std::string> RouterCore::explain(const std::string &requestId) const
{
    return m_impl->explain(requestId);
}

} // namespace berylridge
