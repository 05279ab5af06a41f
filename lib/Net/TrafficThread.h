// One thread that owns callers' connections, their requests and the connections to targets.
#pragma once

#include "ConnectionPool.h"
#include "FileDescriptor.h"
#include "Mailbox.h"
#include "Screening.h"
#include "berylridge/Net/Asio.h"

#include "berylridge/Net/Metrics.h"
#include "berylridge/Net/WireProtocol.h"
#include "berylridge/Policy/LoadShedder.h"
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

/// What the control thread tells a traffic thread.
using TrafficCommand
    = std::variant<Dispatch, AbortAttempt, Refuse, SendStoredResponse, RelayHeldResponse>;

/// What all traffic threads of a process share; outlives them.
struct TrafficOptions
{
    std::string idPrefix; ///< Of request and attempt ids; unique over the fleet.
    std::uint64_t headerLimit = 16 << 10;
    std::uint64_t bodyLimit = 4 << 20;
    std::uint32_t connectionLimit = 4096;
    Duration readTimeout = std::chrono::seconds(10);
    Duration acceptedLag {0}; ///< See Settings.
    unsigned threads = 1;
    WireProtocolHandle protocol = nativeProtocol();
    std::function<void(std::vector<Event> &)> report; ///< To the control thread; takes them all.
    std::function<TimePoint()> now = [] { return SystemClock().now(); };

    /// For an answer to a request whose caller gave no id.
    std::string placeholderRequestId() const { return idPrefix + "0"; }
};

class TrafficThread
{
public:
    TrafficThread(unsigned index, const TrafficOptions &options, Metrics &metrics);
    ~TrafficThread();
    TrafficThread(const TrafficThread &) = delete;
    TrafficThread &operator=(const TrafficThread &) = delete;

    void start();
    /// From any thread.
    void sendCommand(TrafficCommand sendCommand) { m_commands.put(std::move(sendCommand)); }
    /// From any thread: serves a connection that was accepted, by a non-blocking descriptor.
    void adopt(FileDescriptor connection, tcp protocol);
    /// From any thread: answers from now on ask callers to connect anew, elsewhere.
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }
    /// From any thread: lets answers that are being written end, closes everything, calls done.
    void drain(std::function<void()> done);
    /// From any thread; returns when the thread has ended.
    void stop();

    // For sessions and requests, on this thread:
    asio::io_context &context() { return m_context; }
    const TrafficOptions &options() const { return m_options; }
    const WireProtocolHandle &protocol() const { return m_options.protocol; }
    Metrics &metrics() { return m_metrics; }
    ConnectionPool &pool() { return m_pool; }
    bool isLeaving() const { return m_isLeaving; }
    /// Whether callers may keep their connections after an answer. Refused callers come back on new
    /// connections and leave the old ones idle: a flood of them would use up the descriptors within
    /// seconds, and then no target can be reached and no caller accepted. An answer that ends its
    /// connection costs the caller one round trip more and cuts nothing.
    bool allowsKeepAlive() const
    {
        return !m_isLeaving
            && static_cast<double>(m_metrics.connectionsOpen)
            < maxKeepAliveFraction * m_options.connectionLimit;
    }
    /// How late the thread ran.
    void onLag(Duration lag);
    /// Whether the thread has more to do than it can and turns a request away. Decided here, as a
    /// request that goes to the core and back costs several times as much.
    bool sheds(std::string_view credential);
    /// Whether any request may be turned away now.
    bool isShedding() const { return m_loadShedder.isLimited(); }
    /// The decision by the first bytes of a request, with its answer and its count in the metrics
    /// where it can be refused at once.
    Screening screen(std::string_view bytes, bool isKeepAliveAllowed);
    /// What such a request is refused with.
    Problem overloadProblem();
    /// Bytes that are read and dropped, or copied on at once.
    asio::mutable_buffer scratch() { return asio::buffer(m_scratch); }
    /// Counts a request that was read when its caller had left.
    void countAbandonedRequest()
    {
        ++m_abandonedRequests;
        ++m_metrics.callersGoneUnread;
    }
    /// To the core, with whatever else is reported in this turn of the thread.
    void report(Event event);
    /// Its remainder by the number of threads is this thread's index.
    RequestHandle nextHandle();
    void begin(RequestHandle handle, std::shared_ptr<Exchange> exchange);
    void end(RequestHandle handle) { m_exchanges.erase(handle); }
    void removeSession(CallerSession *session) { m_sessions.erase(session); }

private:
    /// Room for a second's new connections of a flood above it.
    static constexpr double maxKeepAliveFraction = 0.6;
    static constexpr std::size_t scratchBytes = 64 << 10;

    void run();
    void startSession(FileDescriptor connection, tcp protocol);
    void executeCommands(std::vector<TrafficCommand> &commands);
    void flushReports();
    void closeIdleConnections();
    void measureLag();
    void closeWhenWritten(std::function<void()> done, int remainingRounds);
    bool hasPendingWrites() const;
    void closeAll();

    const unsigned m_index;
    const TrafficOptions &m_options;
    Metrics &m_metrics;
    // Before the context, whose end destroys sessions that startSession themselves out of here.
    std::unordered_map<RequestHandle, std::shared_ptr<Exchange>> m_exchanges;
    std::unordered_set<CallerSession *> m_sessions;
    asio::io_context m_context {1};
    asio::executor_work_guard<asio::io_context::executor_type> m_workGuard;
    asio::steady_timer m_idleTimer;
    asio::steady_timer m_drainTimer;
    asio::steady_timer m_lagTimer;
    bool m_wasLate = false;
    LoadShedder m_loadShedder;
    RandomEngine m_random; ///< Spreads the return of callers.
    std::array<char, scratchBytes> m_scratch {};
    // Since the last report of lag.
    std::uint64_t m_acceptedConnections = 0;
    std::uint64_t m_abandonedRequests = 0;
    Mailbox<TrafficCommand> m_commands;
    ConnectionPool m_pool;
    std::atomic<bool> m_isLeaving {false};
    RequestHandle m_lastHandleNumber = 0;
    std::vector<Event> m_reports;
    std::thread m_thread;
};

} // namespace berylridge
