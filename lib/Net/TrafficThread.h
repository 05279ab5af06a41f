// Runs one thread that owns callers' connections, their requests and the connections to targets.
#pragma once

#include "CallerMemory.h"
#include "ConnectionPool.h"
#include "EarlyShedding.h"
#include "FileDescriptor.h"
#include "Mailbox.h"
#include "berylridge/Net/Asio.h"

#include "berylridge/Net/Metrics.h"
#include "berylridge/Net/WireProtocol.h"
#include "berylridge/Policy/AcceptancePredictor.h"
#include "berylridge/Policy/LoadShedder.h"
#include "berylridge/Policy/TargetHolds.h"
#include "berylridge/Router/Actions.h"

#include "berylridge/Support/Random.h"

#include <array>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace berylridge {

class CallerSession;
class Exchange;

/// What a drain leaves behind when it closes the connections.
struct DrainResult
{
    std::size_t unansweredRequests = 0;
    std::size_t cutResponses = 0;
};

/// Commands that the control thread sends to a traffic thread.
using TrafficCommand = std::variant<Dispatch, ContinueAttempt, AbortAttempt, Refuse,
                                    SendStoredResponse, RelayHeldResponse>;

/// Limits for what callers send and for their pauses.
struct CallerLimits
{
    std::uint64_t headerBytes = 16 << 10;
    std::uint64_t bodyBytes = 4 << 20;
    Duration readTimeout = std::chrono::seconds(10); ///< For a head, and again for a body.
    Duration idleTimeout = std::chrono::seconds(75);
    std::size_t memoryBytes = 32 << 20; ///< For all callers' bytes on one thread.
};

/// Options shared by all traffic threads of a process. Must outlive them.
struct TrafficOptions
{
    std::string idPrefix;      ///< Prefix of request and attempt ids; unique in the fleet.
    CallerLimits callerLimits; ///< At start.
    std::uint32_t connectionLimit = 4096;
    Duration acceptedLag {0}; ///< With a longer lag the thread sheds requests; 0 means never.
    unsigned threads = 1;
    WireProtocolHandle protocol = nativeProtocol();
    std::function<void(std::vector<Event> &)>
        report; ///< Sends events to the control thread and moves them out of the vector.
    std::function<void(LogRecord)> log; ///< May be called from any thread.
    std::function<TimePoint()> now = [] { return SystemClock().now(); };

    /// Request id of responses to requests without an id.
    std::string placeholderRequestId() const { return idPrefix + "0"; }
};

class TrafficThread
{
public:
    TrafficThread(unsigned index, const TrafficOptions &options, Metrics &metrics,
                  TargetHolds &targetHolds);
    ~TrafficThread();
    TrafficThread(const TrafficThread &) = delete;
    TrafficThread &operator=(const TrafficThread &) = delete;

    void start();
    /// May be called from any thread.
    void sendCommand(TrafficCommand command) { m_commands.put(std::move(command)); }
    /// Serves an accepted connection, given by a non-blocking descriptor. May be called from any
    /// thread.
    void adopt(FileDescriptor connection, tcp protocol);
    /// Makes subsequent responses ask callers to reconnect, which leads them to another node. May
    /// be called from any thread.
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }
    /// Applies limits to requests that begin from now on. May be called from any thread.
    void setCallerLimits(const CallerLimits &limits);
    /// Refuses requests that are read from now on, waits until each request that has arrived is
    /// answered, closes everything and calls `done`. Gives up at the limit, and earlier if only
    /// callers are left that neither read nor close. May be called from any thread.
    void drain(Duration limit, std::function<void(const DrainResult &)> done);
    /// Returns when the thread has terminated. May be called from any thread.
    void stop();

    // The following functions are for sessions and requests, on this thread:
    asio::io_context &context() { return m_context; }
    const TrafficOptions &options() const { return m_options; }
    const CallerLimits &callerLimits() const { return m_callerLimits; }
    const WireProtocolHandle &protocol() const { return m_options.protocol; }
    Metrics &metrics() { return m_metrics; }
    ConnectionPool &pool() { return m_pool; }
    TargetHolds &targetHolds() { return m_targetHolds; }
    bool isLeaving() const { return m_isLeaving; }
    /// Returns whether the process ends as soon as the requests in progress are answered.
    bool isDraining() const { return m_isDraining; }
    /// Records that a caller received bytes or that a session ended.
    void countProgress() { ++m_progressCount; }
    /// Returns whether callers may keep their connections after a response. Rejected callers open
    /// new connections and leave the old ones idle. A flood of them would use up the file
    /// descriptors within seconds, and then neither targets nor other callers could connect. A
    /// response that closes its connection costs the caller one more round trip and aborts nothing.
    bool allowsKeepAlive() const
    {
        return !m_isLeaving
            && static_cast<double>(m_metrics.connectionsOpen)
            < maxKeepAliveFraction * m_options.connectionLimit;
    }
    /// Records how late the thread's timer ran.
    void onLag(Duration lag);
    /// Returns whether the thread is overloaded and sheds a request of this caller. Decided here,
    /// because a request that is passed to the core and back costs several times as much.
    bool sheds(const CallerIdentity &caller);
    /// Returns whether any request may be shed now.
    bool isShedding() const { return m_loadShedder.isLimited() || m_isPredicting; }
    // Record that the core accepted a new request with a prompt, or rejected it as over the share
    // of the workspace with this credential.
    void onAccepted(CredentialKey credential)
    {
        m_acceptance.onAccepted(credential, m_options.now());
    }
    void onOverShare(CredentialKey credential, std::optional<Duration> retryAfter)
    {
        m_acceptance.onOverShare(credential, retryAfter, m_options.now());
    }
    /// Decides on a request from its first bytes. If the request can be rejected immediately, the
    /// result contains the response, and the rejection is counted in the metrics.
    EarlyShedResult tryEarlyShed(std::string_view bytes, bool isKeepAliveAllowed);
    /// Returns the problem with which a shed request of this caller is rejected.
    Problem overloadProblem(const CallerIdentity &caller);
    CallerMemory &callerMemory() { return m_callerMemory; }
    /// Drops requests that are being received if the callers' bytes exceed their limit. May drop
    /// that of the session which calls it.
    void reclaimMemory();
    /// Returns the problem with which a connection over the limit is rejected.
    Problem connectionProblem();
    /// Returns the problem with which a request is rejected for which the memory doesn't suffice.
    Problem memoryProblem();
    /// Buffer for bytes that are discarded or copied immediately.
    asio::mutable_buffer scratch() { return asio::buffer(m_scratch); }
    /// Counts a request that was read after its caller had disconnected.
    void countAbandonedRequest()
    {
        ++m_abandonedRequests;
        ++m_metrics.requestsReadAfterDisconnect;
    }
    /// Queues an event for the core, together with the other events of this event loop iteration.
    void report(Event event);
    /// Returns a handle whose remainder modulo the number of threads is this thread's index.
    RequestHandle nextHandle();
    void addExchange(RequestHandle handle, std::shared_ptr<Exchange> exchange);
    void removeExchange(RequestHandle handle) { m_exchanges.erase(handle); }
    void removeSession(CallerSession *session)
    {
        m_sessions.erase(session);
        countProgress();
    }

private:
    /// Fraction of the connection limit up to which keep-alive is allowed. The rest leaves room for
    /// the new connections that a flood opens within one second.
    static constexpr double maxKeepAliveFraction = 0.6;
    static constexpr std::size_t scratchBytes = 64 << 10;

    void run();
    void startSession(FileDescriptor connection, tcp protocol);
    void executeCommands(std::vector<TrafficCommand> &commands);
    void flushReports();
    std::vector<ShedCount> takeShedCounts();
    void closeIdleConnections();
    void measureLag();
    /// Closes connections without a complete request if a new one would exceed the limit. Returns
    /// whether there is room for one.
    bool reclaimConnections();
    void logReclaimedMemory();
    void logReclaimedConnections();
    void continueDrain(const std::function<void(const DrainResult &)> &done);
    bool isDrainOver();
    DrainResult drainResult() const;
    void closeAll();

    const unsigned m_index;
    const TrafficOptions &m_options;
    Metrics &m_metrics;
    TargetHolds &m_targetHolds;
    // Declared before the context: destroying the context destroys sessions, which remove
    // themselves from these containers.
    CallerLimits m_callerLimits;
    CallerMemory m_callerMemory;
    std::unordered_map<RequestHandle, std::shared_ptr<Exchange>> m_exchanges;
    std::unordered_set<CallerSession *> m_sessions;
    std::uint64_t m_progressCount = 0;
    asio::io_context m_context {1};
    asio::executor_work_guard<asio::io_context::executor_type> m_workGuard;
    asio::steady_timer m_idleTimer;
    asio::steady_timer m_drainTimer;
    asio::steady_timer m_lagTimer;
    bool m_wasLate = false;
    LoadShedder m_loadShedder;
    AcceptancePredictor m_acceptance;
    /// The thread is late or was lately, so that requests are shed if the core would probably
    /// reject them.
    bool m_isPredicting = false;
    TimePoint m_lateAt {};
    /// Requests shed by prediction since the last report, by credential.
    std::unordered_map<CredentialKey, std::uint64_t> m_predictedRejections;
    RandomEngine m_random; ///< Randomizes the retry delay of rejected callers.
    std::array<char, scratchBytes> m_scratch {};
    std::uint64_t m_closedConnections = 0; ///< To reclaim descriptors, since the last log line.
    std::uint64_t m_droppedRequests = 0;   ///< To reclaim memory, since the last log line.
    // Counted since the last report of lag.
    std::uint64_t m_acceptedConnections = 0;
    std::uint64_t m_abandonedRequests = 0;
    // Processor time as of the last period of the lag timer.
    Duration m_threadTime {0};
    Duration m_processTime {0};
    Mailbox<TrafficCommand> m_commands;
    ConnectionPool m_pool;
    std::atomic<bool> m_isLeaving {false};
    bool m_isDraining = false;
    std::chrono::steady_clock::time_point m_drainDeadline;
    std::chrono::steady_clock::time_point m_lastProgressAt;
    std::uint64_t m_lastProgressCount = 0;
    RequestHandle m_lastHandleNumber = 0;
    std::vector<Event> m_reports;
    std::thread m_thread;
};

} // namespace berylridge
