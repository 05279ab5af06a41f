// One entry VM of a test run: a real decision core, with a shell that turns its actions into
// messages on the fake network and attempts at fake targets.
#pragma once

#include "FakePlatform.h"
#include "FakeTarget.h"
#include "Journal.h"
#include "Links.h"

#include "berylridge/Router/RouterCore.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace berylridge::rig {

class FakeNode;

/// What all parts of a test run share.
struct World
{
    explicit World(std::uint64_t seed, std::size_t services, std::size_t workspaces)
        : random(seed)
        , links(queue, random)
        , journal(queue, services, workspaces)
    {
    }

    EventQueue queue;
    RandomEngine random;
    Links links;
    Journal journal;
    std::map<PlaceId, FakeTarget *> targets;
    std::map<PlaceId, FakeNode *> nodes;
    FakePlatform *platform = nullptr;
    /// Told of each attempt that reaches a target.
    std::function<void(const FakeNode &, const FakeTarget &)> dispatched;
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
    FakeNode(World &world, PlaceId place, CoreOptions options);
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
    PlaceId place() const { return m_place; }
    const CoreOptions &options() const { return m_options; }
    const ControlTraffic &traffic() const { return m_traffic; }
    std::size_t openRequests() const { return m_open.size(); }
    NodeStatus status() const { return m_core->status(); }
    std::vector<std::string> explain(const std::string &id) const { return m_core->explain(id); }
    /// Says that from and until then the node may not have heard what was published.
    void disturb(TimePoint from, TimePoint until) { m_disturbances.emplace_back(from, until); }
    /// Whether anything kept the node from working or hearing since then.
    bool wasDisturbed(TimePoint since) const;
    /// When the node could have heard of something published then, if hearing takes up to a limit.
    TimePoint couldHear(TimePoint published, Duration limit) const;

    /// A caller's request; false when the connection is refused.
    bool arrive(CallerTry &callerTry, const RequestArrived &request);
    void callerGone(const CallerTry &callerTry);
    void deliver(const std::string &sealed);
    void handle(const Event &event);
    /// Runs the function later, unless this incarnation has ended by then.
    void later(Duration wait, const EventQueue::Function &function);

    /// Every event is shown to it, with the node's own times, before it is handled.
    std::function<void(const Event &, TimePoint, WallTime)> watchEvents;
    /// Every action is shown to it before it is carried out.
    std::function<void(const Action &)> watchActions;

private:
    struct Attempt;
    struct Open;
    using AttemptPtr = std::shared_ptr<Attempt>;

    TimePoint localNow() const;
    void setTimer();
    void timerDue();
    void carryOut(const Action &action);
    void abort(const AbortAttempt &action);
    void enqueue(const SendToNode &action);
    void flushMessages();
    void sendPacked(PlaceId to, const std::vector<std::string> &packed);
    void dispatch(const Dispatch &action);
    void connect(const AttemptPtr &attempt, Duration waited);
    void sendRequest(const AttemptPtr &attempt);
    void reachTarget(const AttemptPtr &attempt);
    AnswerSink sinkFor(const AttemptPtr &attempt);
    void watchSilence(const AttemptPtr &attempt);
    void onHead(const AttemptPtr &attempt, const std::string &bootId);
    void onDone(const AttemptPtr &attempt, const std::string &bootId);
    void fail(const AttemptPtr &attempt, AttemptFailure failure, bool sentAny);
    void close(const AttemptPtr &attempt);
    void endTry(RequestHandle handle, Ending ending, const std::string &problem);
    void refuse(const Refuse &action);
    void answerKept(const SendStoredResponse &action);
    void probe(const ProbeNode &action);
    void poll(const PollTarget &action);
    void stopped();
    EventQueue::Function guarded(const EventQueue::Function &function);
    /// At once, or at the end of a pause.
    void whenAwake(const EventQueue::Function &function);
    void forgetCaller(RequestHandle gone);

    World &m_world;
    PlaceId m_place;
    CoreOptions m_options;
    std::unique_ptr<RouterCore> m_core;
    std::uint64_t m_run = 0; ///< Counts incarnations.
    Duration m_clockOffset {0};
    bool m_isPaused = false;
    bool m_isReady = false;
    bool m_isLeaving = false;
    bool m_isVmGone = false;
    std::vector<EventQueue::Function> m_waiting; ///< What came during a pause.
    TimePoint m_timerAt = TimePoint::max();
    TimePoint m_lastTimer {};
    int m_timersNow = 0; ///< Timers that were due at that same instant.
    RequestHandle m_nextHandle = 1;
    std::map<RequestHandle, Open> m_open;
    /// A kept connection.
    struct Idle
    {
        std::string boot; ///< To which it leads.
        TimePoint since;
    };
    std::map<const FakeTarget *, Idle> m_idle;
    std::map<PlaceId, std::vector<std::string>> m_outbox;
    ControlTraffic m_traffic;
    std::vector<std::pair<TimePoint, TimePoint>> m_disturbances;
    TimePoint m_pausedAt {};
};

} // namespace berylridge::rig
