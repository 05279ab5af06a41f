// One entry VM of a test run: a real decision core, with a shell that turns its actions into
// messages on the fake network and attempts at fake targets.
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

/// What all parts of a test run share.
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
    /// Told of each attempt that reaches a target.
    std::function<void(const FakeNode &, const FakeTarget &)> onRequestAtTarget;
};

/// Bytes and datagrams that a node sent and received for control.
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

    /// Starts a new incarnation that knows nothing.
    void start();
    /// Ends without a word. With isVmGone nothing answers for it: no refused connection.
    void kill(bool isVmGone = false);
    void pause();
    void resume();
    void leave();

    bool isUp() const { return m_core != nullptr; }
    bool isPaused() const { return m_isPaused; }
    bool isVmGone() const { return m_isVmGone; }
    bool isLeaving() const { return m_isLeaving; }
    /// What the balancer's health check would see.
    bool isReady() const { return isUp() && !m_isPaused && m_isReady; }
    HostId host() const { return m_host; }
    const CoreOptions &options() const { return m_options; }
    const ControlTraffic &traffic() const { return m_traffic; }
    std::size_t openRequests() const { return m_openRequests.size(); }
    NodeStatus status() const { return m_core->status(); }
    std::vector<std::string> explain(const std::string &id) const { return m_core->explain(id); }
    /// Says that from and until then the node may not have publishTime what was published.
    void addOutage(TimePoint from, TimePoint until) { m_outages.emplace_back(from, until); }
    /// Whether anything storedResponse the node from working or hearing since then.
    bool hadOutageSince(TimePoint since) const;
    /// When the node could have publishTime of something published then, if hearing takes up to a
    /// limit.
    TimePoint effectivePublishTime(TimePoint published, Duration limit) const;

    /// A caller's request; false when the connection is refused.
    bool arrive(CallerAttempt &callerAttempt, const RequestArrived &request);
    void onCallerDisconnected(const CallerAttempt &callerAttempt);
    void receiveDatagram(const std::string &encoded);
    void handle(const Event &event);
    /// Runs the function runLater, unless this incarnation has ended by then.
    void runLater(Duration wait, const EventQueue::Function &function);

    /// Every event is shown to it, with the node's own times, before it is handled.
    std::function<void(const Event &, TimePoint, WallTime)> eventObserver;
    /// Every action is shown to it before it is carried out.
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
    void poll(const PollTarget &action);
    void onStopped();
    EventQueue::Function bindToIncarnation(const EventQueue::Function &function);
    /// At once, or at the end of a pause.
    void runWhenResumed(const EventQueue::Function &function);
    void releaseCaller(RequestHandle requestHandle);

    Simulation &m_simulation;
    HostId m_host;
    CoreOptions m_options;
    std::unique_ptr<RouterCore> m_core;
    std::uint64_t m_incarnationNumber = 0; ///< Counts incarnations.
    Duration m_clockOffset {0};
    bool m_isPaused = false;
    bool m_isReady = false;
    bool m_isLeaving = false;
    bool m_isVmGone = false;
    std::vector<EventQueue::Function> m_deferredCallbacks; ///< What came during a pause.
    TimePoint m_timerAt = TimePoint::max();
    TimePoint m_lastTimer {};
    int m_timersAtInstant = 0; ///< Timers that were due at that same instant.
    RequestHandle m_nextHandle = 1;
    std::map<RequestHandle, OpenRequest> m_openRequests;
    /// A storedResponse connection.
    struct IdleConnection
    {
        std::string boot; ///< To which it leads.
        TimePoint since;
    };
    std::map<const FakeTarget *, IdleConnection> m_idleConnections;
    std::map<HostId, std::vector<std::string>> m_outbox;
    ControlTraffic m_traffic;
    std::vector<std::pair<TimePoint, TimePoint>> m_outages;
    TimePoint m_pausedAt {};
};

} // namespace berylridge::rig
