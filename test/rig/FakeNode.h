// A simulated router VM: a real router core whose actions become messages on the simulated network
// and attempts at simulated targets.
#pragma once

#include "FakeNetwork.h"
#include "FakePlatform.h"
#include "FakeTarget.h"
#include "Journal.h"

#include "berylridge/Router/RouterCore.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace berylridge::rig {

class FakeNode;

/// The state that all parts of a simulation share.
struct Simulation
{
    explicit Simulation(std::uint64_t seed, std::size_t services, std::size_t workspaces)
        : random(seed)
        , network(queue, random)
        , journal(queue, services, workspaces)
    {
    }

    EventQueue queue;
    RandomEngine random;
    FakeNetwork network;
    Journal journal;
    std::map<HostId, FakeTarget *> targets;
    std::map<HostId, FakeNode *> nodes;
    FakePlatform *platform = nullptr;
    /// Called for each attempt that reaches a target, before the target receives it.
    std::function<void(const FakeNode &, const FakeTarget &)> onRequestAtTarget;
};

/// Counts the messages between nodes, including the IP and UDP headers of datagrams.
struct ControlTraffic
{
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t sentDatagrams = 0;
};

class FakeNode
{
public:
    FakeNode(Simulation &simulation, HostId host, CoreOptions options);
    ~FakeNode();

    /// Starts a new incarnation without state.
    void start();
    /// Terminates the process without notice to other nodes. With isVmGone, connections to the node
    /// time out instead of being refused.
    void kill(bool isVmGone = false);
    /// Suspends the process; events that arrive are deferred until resume().
    void pause();
    void resume();
    /// Starts a planned stop.
    void leave();

    bool isUp() const { return m_core != nullptr; }
    bool isPaused() const { return m_isPaused; }
    bool isVmGone() const { return m_isVmGone; }
    bool isLeaving() const { return m_isLeaving; }
    /// Returns what the load balancer's health check would report.
    bool isReady() const { return isUp() && !m_isPaused && m_isReady; }
    HostId host() const { return m_host; }
    const CoreOptions &options() const { return m_options; }
    const ControlTraffic &traffic() const { return m_traffic; }
    std::size_t openRequests() const { return m_openRequests.size(); }
    NodeStatus status() const { return m_core->status(); }
    std::vector<std::string> explain(const std::string &id) const { return m_core->explain(id); }
    /// Records an interval in which the node may miss published updates.
    void addOutage(TimePoint from, TimePoint until) { m_outages.emplace_back(from, until); }
    /// Returns whether the node is paused or had an outage that ended since then.
    bool hadOutageSince(TimePoint since) const;
    /// Returns the time from which the node has the limit to receive an update published then: the
    /// publication itself, or the end of the outages that overlap the limit.
    TimePoint effectivePublishTime(TimePoint published, Duration limit) const;

    /// Accepts a caller's request. Returns false if the connection is refused.
    bool acceptRequest(CallerAttempt &callerAttempt, const RequestArrived &request);
    void onCallerDisconnected(const CallerAttempt &callerAttempt);
    void receiveDatagram(const std::string &encoded);
    void handle(const Event &event);
    /// Runs the function after the wait, unless this incarnation has ended by then.
    void runLater(Duration wait, const EventQueue::Function &function);

    /// Receives every event with the node's own times, before the core handles it.
    std::function<void(const Event &, TimePoint, WallTime)> eventObserver;
    /// Receives every action before the node executes it.
    std::function<void(const Action &)> actionObserver;

private:
    struct Attempt;
    struct OpenRequest;
    using AttemptPtr = std::shared_ptr<Attempt>;

    TimePoint localNow() const;
    void setTimer();
    void onTimer();
    void execute(const Action &action);
    void abortAttempt(const AbortAttempt &action);
    void enqueueMessage(const SendToNode &action);
    void flushMessages();
    void sendBatch(HostId to, const std::vector<std::string> &packedMessages);
    void startAttempt(const Dispatch &action);
    void connect(const AttemptPtr &attempt, Duration waited);
    void sendRequest(const AttemptPtr &attempt);
    void deliverToTarget(const AttemptPtr &attempt);
    ResponseSink makeResponseSink(const AttemptPtr &attempt);
    void watchTimeouts(const AttemptPtr &attempt);
    void onResponseHead(const AttemptPtr &attempt, const std::string &bootId);
    void onResponseDone(const AttemptPtr &attempt, const std::string &bootId);
    void failAttempt(const AttemptPtr &attempt, AttemptFailure failure, bool sentAny);
    void close(const AttemptPtr &attempt);
    void endCallerAttempt(RequestHandle handle, AttemptOutcome outcome,
                          const std::string &problemType);
    void refuseRequest(const Refuse &action);
    void sendStoredResponse(const SendStoredResponse &action);
    void probeNode(const ProbeNode &action);
    void pollTarget(const PollTarget &action);
    void onStopped();
    EventQueue::Function bindToIncarnation(const EventQueue::Function &function);
    /// Runs the function at once, or at the end of the current pause.
    void runWhenResumed(const EventQueue::Function &function);
    void releaseCaller(RequestHandle requestHandle);

    Simulation &m_simulation;
    HostId m_host;
    CoreOptions m_options;
    std::unique_ptr<RouterCore> m_core;
    std::uint64_t m_incarnationNumber = 0; ///< Changes at each start and termination.
    Duration m_clockOffset {0};
    bool m_isPaused = false;
    bool m_isReady = false;
    bool m_isLeaving = false;
    bool m_isVmGone = false;
    /// Functions that became due during a pause.
    std::vector<EventQueue::Function> m_deferredCallbacks;
    TimePoint m_timerAt = TimePoint::max();
    TimePoint m_lastTimer {};
    int m_timersAtInstant = 0; ///< Consecutive timers at m_lastTimer.
    RequestHandle m_nextHandle = 1;
    std::map<RequestHandle, OpenRequest> m_openRequests;
    /// A reusable connection to a target.
    struct IdleConnection
    {
        std::string boot; ///< Boot id of the target when the connection was last used.
        TimePoint since;
    };
    std::map<const FakeTarget *, IdleConnection> m_idleConnections;
    std::map<HostId, std::vector<std::string>> m_outbox;
    ControlTraffic m_traffic;
    std::vector<std::pair<TimePoint, TimePoint>> m_outages;
    TimePoint m_pausedAt {};
};

} // namespace berylridge::rig
