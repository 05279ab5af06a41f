#include "berylridge/Balancer/BalancerCore.h"

#include "BalancerContext.h"
#include "GossipExchange.h"
#include "ReaderRole.h"
#include "RequestProcessor.h"
#include "StreamOriginExchange.h"
#include "TargetSelector.h"

#include "berylridge/Policy/OverloadReadiness.h"
#include "berylridge/Support/Overloaded.h"

#include <algorithm>
#include <cassert>

namespace berylridge {

namespace {

/// Digests are due far more often than this. A longer gap between events means that the process was
/// paused and that its knowledge of other nodes is as old as the gap.
constexpr Duration maxEventGap = std::chrono::milliseconds(800);
/// A planned stop waits this long after the last arrival, in case another request is on its way.
constexpr Duration idleTimeBeforeStop = std::chrono::milliseconds(500);
/// Time after the stop limit in which callers receive the last responses.
constexpr Duration finalDrainTime = std::chrono::milliseconds(500);
constexpr Duration minDrainLimit = std::chrono::milliseconds(100);
/// Events that waited for the control thread together are handled within about this time.
constexpr Duration backlogTime = std::chrono::milliseconds(50);

} // namespace

class BalancerCore::Impl
{
public:
    Impl(BalancerOptions options, BalancerStateMachines stateMachines, TimePoint now, WallTime wall)
        : m_context(std::move(options), std::move(stateMachines), now, wall)
        , m_targetSelector(m_context)
        , m_streamOrigins(m_context)
        , m_requests(m_context, m_targetSelector, m_streamOrigins)
        , m_reader(m_context)
        , m_gossip(m_context, m_targetSelector, m_requests, m_reader)
        , m_state(m_context.stateMachines.node.initial())
        , m_lastEventAt(now)
        , m_nextDigest(now)
        , m_timersDueAt(now)
        , m_timersRanAt(now)
    {
        m_context.directory.onPlatformReadingEnded(); // Until m_reader decides otherwise.
    }

    void handle(const Event &event, TimePoint now, WallTime wall, Actions &actions);
    TimePoint nextTimer() const { return m_nextDigest; }

private:
    void detectPause();
    void dispatch(const Event &event);
    void onNodeMessage(const NodeMessage &message);
    void onCatalog(std::shared_ptr<const Catalog> catalog, const std::string &source);
    void onPlatformDirectory(const DirectoryUpdate &directoryUpdate);
    void onDirectory(const DirectoryUpdate &directoryUpdate, const std::string &source);
    void logDirectoryChanges(const std::string &source);
    void onPlatformReachability(bool isReachable);
    void onLeave(const std::string &who);
    TimePoint earliestArrival() const;
    void runTimers();
    /// `source` is where the last piece of the state came from.
    void checkReady(const std::string &source);
    void onTrafficThreadReport(const TrafficThreadReport &report);
    void updateRotation();
    OverloadReadiness::Zone zoneStatus() const;
    void updateReaderRole();
    void checkPlannedStop();
    void stop(NodeSignal signal);

    BalancerContext m_context;
    TargetSelector m_targetSelector;
    StreamOriginExchange m_streamOrigins;
    RequestProcessor m_requests;
    ReaderRole m_reader;
    GossipExchange m_gossip;
    OverloadReadiness m_overloadReadiness;
    NodeState m_state;
    TimePoint m_lastEventAt;
    TimePoint m_nextDigest;
    TimePoint m_timersDueAt; ///< When the timers that ran last were due.
    TimePoint m_timersRanAt;
    TimePoint m_leaveStartedAt {};
    bool m_isPlatformReachable = true;
    TimePoint m_platformSilentSince {};
};

void BalancerCore::Impl::handle(const Event &event, TimePoint now, WallTime wall, Actions &actions)
{
    assert(now >= m_context.now && "time must not step back");
    m_context.now = now;
    m_context.wallNow = wall;
    m_context.actions = &actions;
    detectPause();
    m_lastEventAt = now;
    dispatch(event);
    m_requests.handleStreamOrigins();
    m_requests.abortQuarantined();
    m_gossip.sendNotices();
    runTimers();
    m_context.actions = nullptr;
}

void BalancerCore::Impl::detectPause()
{
    const Duration gap = m_context.now - m_lastEventAt;
    if (gap <= maxEventGap)
        return;
    m_context.log(LogEventId::WokeLate, std::to_string(gap.count() / 1000) + " ms");
    m_context.peers.onProcessResumed(gap);
    m_context.directory.onProcessResumed(m_context.now);
}

void BalancerCore::Impl::dispatch(const Event &event)
{
    std::visit(Overloaded {
                   [&](const RequestArrived &e) {
                       m_overloadReadiness.onAccepted(1, m_context.now);
                       m_requests.onArrived(e);
                   },
                   [&](const CallerGone &e) { m_requests.onCallerGone(e); },
                   [&](const AttemptHead &e) { m_requests.onHead(e); },
                   [&](const FirstEventRelayed &e) { m_requests.onFirstEvent(e); },
                   [&](const AttemptDone &e) { m_requests.onDone(e); },
                   [&](const AttemptFailed &e) { m_requests.onFailed(e); },
                   [&](const AttemptSilent &e) { m_requests.onSilent(e); },
                   [&](const ResponseCut &e) { m_requests.onResponseCut(e); },
                   [&](const TargetAdviceArrived &e) { m_targetSelector.onAdvice(e); },
                   [&](const NodeMessage &e) { onNodeMessage(e); },
                   [&](const CatalogArrived &e) { onCatalog(e.catalog, "platform"); },
                   [&](const DirectoryArrived &e) { onPlatformDirectory(e.directoryUpdate); },
                   [&](const PlatformRevisionRead &e) { m_streamOrigins.onPlatformRevision(e); },
                   [&](const PlatformReachability &e) { onPlatformReachability(e.isReachable); },
                   [&](const LeaveOrdered &e) { onLeave(e.who); },
                   [&](const TrafficThreadReport &e) { onTrafficThreadReport(e); },
                   [&](const SeedsChanged &e) { m_context.peers.setSeeds(e.seeds); },
                   // These events belong to the core that leases slots (lib/Router).
                   [](const KeyIssueRequested &) {},
                   [](const TargetLoadReport &) {},
                   [](const TargetPollFailed &) {},
                   [](const ProbeEnded &) {},
                   [](const DocumentArrived &) {},
                   [](const VmListArrived &) {},
                   [](const ReturnOrdered &) {},
                   [](const TimerDue &) {},
               },
               event);
}

void BalancerCore::Impl::onNodeMessage(const NodeMessage &message)
{
    const auto *balancer = std::get_if<BalancerMessage>(&message.message);
    if (!balancer)
        return;
    std::visit(
        Overloaded {
            [&](const LoadDigest &m) {
                m_gossip.onDigest(message.from, message.incarnation, m);
                // Peers may report that the platform was up, so that nothing has lapsed.
                logDirectoryChanges(message.from.str());
            },
            [&](const ZoneLoadSummary &m) { m_gossip.onZoneLoads(message.from, m); },
            [&](const ZoneFlowSummary &m) { m_gossip.onZoneFlows(message.from, m); },
            [&](const DispatchNotice &m) {
                m_gossip.onDispatchNotice(message.from, message.incarnation, m);
            },
            [&](const StateRequest &m) { m_gossip.onStateRequest(message.from, m); },
            [&](const CatalogUpdate &m) {
                m_gossip.onCatalogRelayed();
                onCatalog(std::make_shared<const Catalog>(m.catalog), message.from.str());
            },
            [&](const PlacementUpdate &m) {
                m_gossip.onPlacements(message.from, message.incarnation, m);
            },
            [&](const InterruptedPartsUpdate &m) { m_gossip.onInterruptedParts(message.from, m); },
            [&](const RerunNotice &m) { m_gossip.onRerunNotice(message.from, m); },
            [&](const StreamOriginUpdate &m) { m_streamOrigins.onUpdate(m); },
            [&](const StreamOriginQuery &m) { m_streamOrigins.onQuery(message.from, m); },
            [&](const StreamOriginAnswer &m) { m_streamOrigins.onAnswer(message.from, m); },
            [&](const DirectoryRelay &m) {
                m_gossip.onDirectoryRelayed(m);
                onDirectory(m.directoryUpdate, message.from.str());
            },
        },
        *balancer);
}

void BalancerCore::Impl::onCatalog(std::shared_ptr<const Catalog> catalog,
                                   const std::string &source)
{
    // An older version must never become active again in this run, whichever node relays it.
    if (m_context.routeTable && catalog->version <= m_context.catalogVersion())
        return;
    m_context.log(LogEventId::DocumentAccepted,
                  "catalog version " + std::to_string(catalog->version) + " from " + source);
    m_context.routeHistory.onCatalog(*catalog, m_context.now);
    if (!m_context.routeTable
        || m_context.routeTable->catalog().callerLimits != catalog->callerLimits)
        m_context.emit(SetCallerLimits {catalog->callerLimits});
    m_context.routeTable = std::make_shared<const RouteTable>(std::move(catalog));
    m_context.longestStreamTimeout
        = std::max(m_context.longestStreamTimeout, m_context.routeTable->longestStreamTimeout());
    checkReady(source);
}

void BalancerCore::Impl::onPlatformDirectory(const DirectoryUpdate &directoryUpdate)
{
    const bool wasOverdue = m_reader.isAnswerOverdue();
    m_context.directory.onPlatformAnswered(m_context.now);
    onDirectory(directoryUpdate, "platform");
    m_context.directory.onPlatformRead(directoryUpdate, m_context.now);
    m_streamOrigins.onPlatformRead();
    // No other node of the zone may have read lately, and each must soon act on what changed.
    if (wasOverdue)
        m_gossip.announceState();
}

void BalancerCore::Impl::onDirectory(const DirectoryUpdate &directoryUpdate,
                                     const std::string &source)
{
    if (m_context.directory.apply(directoryUpdate, m_context.now))
        m_targetSelector.onDirectory();
    logDirectoryChanges(source);
    checkReady(source);
}

void BalancerCore::Impl::logDirectoryChanges(const std::string &source)
{
    for (const DirectoryChange &change : m_context.directory.takeChanges()) {
        Json::Value fields;
        fields["revision"] = Json::UInt64(change.revision);
        if (change.usableFor)
            fields["usableMs"] = toMilliseconds(*change.usableFor);
        m_context.log(LogEventId::TargetState,
                      change.subject + ' ' + change.description + " by " + source,
                      std::move(fields));
    }
}

void BalancerCore::Impl::onPlatformReachability(bool isReachable)
{
    if (m_isPlatformReachable == isReachable)
        return;
    m_isPlatformReachable = isReachable;
    Json::Value fields;
    fields["directory"] = Json::UInt64(m_context.directory.revision());
    if (isReachable)
        fields["outageMs"] = toMilliseconds(m_context.now - m_platformSilentSince);
    else
        m_platformSilentSince = m_context.now;
    m_context.log(isReachable ? LogEventId::PlatformBack : LogEventId::PlatformSilent, "",
                  std::move(fields));
}

void BalancerCore::Impl::onLeave(const std::string &who)
{
    if (!m_context.stateMachines.node.step(m_state, NodeSignal::LeaveOrdered))
        return;
    m_leaveStartedAt = earliestArrival();
    m_requests.rejectNewRequestsFrom(m_leaveStartedAt + m_context.options.rejectNewRequestsAfter);
    m_context.log(LogEventId::NodeLeaving, who);
    m_context.emit(Readiness {false});
}

/// Returns since when the current event may have waited for the control thread. The timer that was
/// due meanwhile may have been handled before it.
TimePoint BalancerCore::Impl::earliestArrival() const
{
    if (m_context.now - m_timersRanAt <= backlogTime)
        return m_timersDueAt;
    return std::min(m_context.now, m_nextDigest);
}

void BalancerCore::Impl::checkReady(const std::string &source)
{
    if (!m_context.routeTable || m_context.directory.revision() == 0)
        return;
    if (!m_context.stateMachines.node.step(m_state, NodeSignal::DocumentsKnown))
        return;
    Json::Value fields;
    fields["source"] = source;
    fields["directory"] = Json::UInt64(m_context.directory.revision());
    if (const auto answeredAt = m_context.directory.platformUptime().answeredAt())
        fields["platformAnsweredMs"] = toMilliseconds(m_context.now - *answeredAt);
    m_context.log(LogEventId::NodeReady, m_context.options.node.str(), std::move(fields));
    m_context.emit(Readiness {true});
    m_gossip.answerWaitingPeers();
}

void BalancerCore::Impl::runTimers()
{
    if (m_context.now < m_nextDigest)
        return;
    m_timersDueAt = m_nextDigest;
    m_timersRanAt = m_context.now;
    m_nextDigest = m_context.now + m_context.options.digestPeriod;
    m_context.peers.removeSilent(m_context.now);
    m_targetSelector.tick();
    m_requests.tick();
    updateReaderRole();
    const bool isPlatformStateCurrent = m_reader.isReadingPlatform() && m_isPlatformReachable;
    m_streamOrigins.tick(isPlatformStateCurrent);
    m_requests.handleStreamOrigins();
    updateRotation();
    const RotationState rotation
        = m_state == NodeState::Ready ? m_overloadReadiness.state() : RotationState::Out;
    m_gossip.sendDigests({m_state == NodeState::Leaving, isPlatformStateCurrent, rotation,
                          m_streamOrigins.keepsVersionHistory()});
    checkPlannedStop();
}

void BalancerCore::Impl::onTrafficThreadReport(const TrafficThreadReport &report)
{
    for (const ShedCount &each : report.shed) {
        // Moving to another node takes callers seconds, and that node has no more for them than
        // their share.
        if (!m_requests.getsMostOfItsShare(each.credential))
            m_overloadReadiness.onShed(static_cast<double>(each.requests), m_context.now);
    }
    m_requests.onLag(report);
}

/// Leaves the load balancer's rotation or returns to it. A start or a planned stop has its own
/// readiness.
void BalancerCore::Impl::updateRotation()
{
    if (!m_context.options.leavesRotationOnOverload || m_state != NodeState::Ready)
        return;
    const bool wasReady = m_overloadReadiness.isReady();
    const OverloadReadiness::Zone zone = zoneStatus();
    m_overloadReadiness.update(zone, m_context.now);
    const bool isReady = m_overloadReadiness.isReady();
    if (isReady == wasReady)
        return;
    Json::Value fields;
    fields["zoneNodes"] = Json::UInt64(zone.nodes);
    fields["othersOut"] = Json::UInt64(zone.out);
    m_context.log(isReady ? LogEventId::RotationEntered : LogEventId::RotationLeft, "",
                  std::move(fields));
    m_context.emit(Readiness {isReady, true});
}

OverloadReadiness::Zone BalancerCore::Impl::zoneStatus() const
{
    OverloadReadiness::Zone zone;
    // Twice, since a digest may be lost.
    zone.digestTime = 2 * m_context.peers.rotationTime();
    m_context.peers.forEach([&](const NodeId &node, const PeerTable::Peer &peer) {
        if (peer.zone != m_context.options.zone.str()
            || !m_context.peers.isLive(peer, m_context.now))
            return;
        ++zone.nodes;
        const auto rotation = static_cast<RotationState>(peer.rotation);
        const bool isOut = peer.isLeaving || rotation == RotationState::Out;
        zone.out += isOut ? 1 : 0;
        // Nodes that are about to leave do so in the order of their ids.
        const bool isAhead
            = rotation == RotationState::AboutToLeave && node < m_context.options.node;
        zone.ahead += !isOut && isAhead ? 1 : 0;
    });
    return zone;
}

void BalancerCore::Impl::updateReaderRole()
{
    const bool wasReading = m_reader.isReadingPlatform();
    if (m_reader.update() == wasReading)
        return;
    Json::Value fields;
    if (const auto answeredAt = m_context.directory.platformUptime().answeredAt())
        fields["platformAnsweredMs"] = toMilliseconds(m_context.now - *answeredAt);
    m_context.log(LogEventId::ReaderRole,
                  wasReading ? "ceases to read the platform's state"
                             : "begins to read the platform's state",
                  std::move(fields));
    m_context.emit(WatchPlatform {!wasReading});
    if (wasReading)
        m_context.directory.onPlatformReadingEnded();
    else
        m_context.directory.onPlatformReadingStarted(m_context.now);
    // A node that doesn't call the platform can't detect that it is unreachable.
    m_isPlatformReachable = true;
}

void BalancerCore::Impl::checkPlannedStop()
{
    if (m_state != NodeState::Leaving)
        return;
    const Duration since = m_context.now - m_leaveStartedAt;
    const bool isIdle
        = m_requests.size() == 0 && m_context.now - m_requests.lastArrival() > idleTimeBeforeStop;
    if (since >= m_context.options.minStopTime && isIdle) {
        stop(NodeSignal::Emptied);
        return;
    }
    if (since < m_context.options.stopLimit)
        return;
    if (m_requests.size() > 0)
        m_context.log(LogEventId::StopLimitReached,
                      std::to_string(m_requests.size()) + " requests aborted");
    m_requests.abortAll();
    stop(NodeSignal::LimitReached);
}

void BalancerCore::Impl::stop(NodeSignal signal)
{
    m_context.stateMachines.node.step(m_state, signal);
    // Requests may still be on their way from the traffic threads.
    m_requests.rejectNewRequestsFrom(m_context.now);
    m_context.log(LogEventId::NodeStopped, m_context.options.node.str());
    const TimePoint drainEnd = m_leaveStartedAt + m_context.options.stopLimit + finalDrainTime;
    m_context.emit(Stopped {std::max<Duration>(drainEnd - m_context.now, minDrainLimit)});
}

Expected<std::unique_ptr<BalancerCore>> BalancerCore::create(BalancerOptions options, TimePoint now,
                                                             WallTime wall)
{
    Expected<NodeStateMachine> node = loadNodeStateMachine(options.chartDirectory);
    if (!node)
        return Reason {node.failureReason()};
    Expected<RequestStateMachine> request = loadRequestStateMachine(options.chartDirectory);
    if (!request)
        return Reason {request.failureReason()};
    auto impl = std::make_unique<Impl>(
        std::move(options), BalancerStateMachines {*std::move(node), *std::move(request)}, now,
        wall);
    return std::unique_ptr<BalancerCore>(new BalancerCore(std::move(impl)));
}

BalancerCore::BalancerCore(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

BalancerCore::~BalancerCore() = default;

void BalancerCore::handle(const Event &event, TimePoint now, WallTime wall, Actions &actions)
{
    m_impl->handle(event, now, wall, actions);
}

TimePoint BalancerCore::nextTimer() const
{
    return m_impl->nextTimer();
}

} // namespace berylridge
