#include "berylridge/Net/RouterNode.h"

#include "AdminHttpServer.h"
#include "CallerListener.h"
#include "ControlLoop.h"
#include "PeerTransport.h"
#include "PlatformWatcher.h"
#include "ProcessorTime.h"
#include "TargetPoller.h"
#include "ThreadName.h"
#include "TrafficThread.h"
#include "berylridge/Support/FatalSignal.h"

#include <atomic>
#include <boost/asio/signal_set.hpp>
#include <cassert>
#include <csignal>
#include <malloc.h>
#include <utility>

namespace berylridge {

namespace {

/// Fraction of the file descriptors for callers' connections; the rest is for targets and nodes.
constexpr double callerDescriptorFraction = 0.6;

/// Fraction of the VM's memory for callers' bytes. The rest is for targets' bytes, the core and
/// what the system holds for connections.
constexpr double callerMemoryFraction = 0.25;

/// Larger heads are rejected, whatever the operators' limit.
constexpr std::uint64_t maxHeaderBytes = 1 << 20;

/// Larger allocations are mapped separately, so that freeing them returns their memory to the
/// system. By default the library raises this size to that of the largest one freed so far, and
/// bodies of different sizes then leave gaps that nothing else fits into.
constexpr int separateAllocationBytes = 64 << 10;

std::string requestIdPrefix(const Settings &settings, Incarnation incarnation)
{
    return settings.node.str() + "-" + std::to_string(incarnation) + "-";
}

/// Returns the settings' limits, with those of the operators where they are given. A body that
/// would take more than a quarter of the VM's memory is over the limit in any case.
CallerLimits callerLimits(const Settings &settings, const CallerLimitsSpec &given)
{
    CallerLimits limits {settings.headerLimit, settings.bodyLimit, settings.readTimeout,
                         settings.idleTimeout};
    const std::uint64_t memory = (settings.memoryLimitMb << 20) / settings.trafficThreads;
    if (given.headerBytes > 0)
        limits.headerBytes = std::min({given.headerBytes, maxHeaderBytes, memory / 8});
    if (given.bodyBytes > 0)
        limits.bodyBytes = given.bodyBytes;
    limits.bodyBytes = std::min(limits.bodyBytes, memory / 4 - limits.headerBytes);
    // A busy node reads late what callers sent in time.
    limits.readTimeout = std::max(limits.readTimeout, fromMilliseconds(given.headerTimeoutMs));
    if (given.idleTimeoutMs > 0)
        limits.idleTimeout = fromMilliseconds(given.idleTimeoutMs);
    // A request of the largest allowed size never exceeds the memory alone.
    limits.memoryBytes
        = std::max(static_cast<std::size_t>(callerMemoryFraction * static_cast<double>(memory)),
                   2 * (limits.bodyBytes + limits.headerBytes));
    return limits;
}

TrafficOptions trafficOptions(const Settings &settings, Incarnation incarnation)
{
    TrafficOptions options;
    options.idPrefix = requestIdPrefix(settings, incarnation);
    options.callerLimits = callerLimits(settings, {});
    options.connectionLimit = settings.connectionLimit;
    if (settings.descriptorLimit > 0) {
        const auto callerDescriptors
            = static_cast<std::uint32_t>(callerDescriptorFraction * settings.descriptorLimit);
        options.connectionLimit
            = std::min(options.connectionLimit, std::max(callerDescriptors, 1U));
    }
    options.acceptedLag = settings.acceptedLag;
    options.threads = settings.trafficThreads;
    return options;
}

std::string formatAuditEntry(const AuditEntry &entry)
{
    std::string text = auditKindName(entry.kind);
    text.append(" by ").append(entry.who).append(": ").append(entry.what);
    text.append(" from '").append(entry.from).append("' to '").append(entry.to).append("'");
    return text;
}

} // namespace

class RouterNode::Impl
{
public:
    Impl(const Settings &settings, Incarnation incarnation, LogSink &log, CoreHandle core,
         RpcHandler rpc, AuditHandler audit, WireProtocolHandle protocol);
    ~Impl();
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    /// Returns an empty string if all listeners are open, otherwise why one of them is not.
    std::string openListeners(const Settings &settings);
    void handleSignals(std::function<void()> reload);
    void run();
    void stop() { m_context.stop(); }
    asio::io_context &context() { return m_context; }

    void post(Event event) { m_loop.post(std::move(event)); }
    void handleNow(const Event &event);

    void operator()(Dispatch &action);
    void operator()(const ContinueAttempt &action);
    void operator()(AbortAttempt &action);
    void operator()(Refuse &action);
    void operator()(SendStoredResponse &action);
    void operator()(RelayHeldResponse &action);
    void operator()(const SendToNode &action) { m_peers.send(action); }
    void operator()(const ProbeNode &action) { m_peers.probe(action); }
    void operator()(const PollTarget &action) { m_poller.poll(action); }
    void operator()(const WatchPlatform &action) { m_platformReader(action.isOn); }
    void operator()(const ReadPlatformRevision &action)
    {
        if (m_revisionReader)
            m_revisionReader(action.ticket);
    }
    void operator()(const Readiness &action);
    void operator()(const SetCallerLimits &action);
    void operator()(const Stopped &action);
    void operator()(const Log &action) { m_log.add(action.record); }
    void operator()(const Audit &action);

    Metrics m_metrics; // NOLINT: RouterNode reads it
    CallerListener &listener() { return *m_listener; }
    PeerTransport &peers() { return m_peers; }
    void setPlatformReader(std::function<void(bool)> reader)
    {
        m_platformReader = std::move(reader);
    }
    void setRevisionReader(std::function<void(std::uint64_t)> reader)
    {
        m_revisionReader = std::move(reader);
    }
    AdminHttpServer &admin() { return m_admin; }

private:
    PeerTransport::Callbacks peerCallbacks();
    AdminHttpServer::Handlers adminHandlers(const Settings &settings, RpcHandler rpc);
    TrafficThread &threadOf(RequestHandle handle);
    void waitForSignal();
    void onDrained(const DrainResult &result);
    std::string printMetrics();

    // The order matters: members are destroyed in reverse order, and later ones use earlier ones
    // until then.
    asio::io_context m_context {1};
    const Settings m_settings;
    LogSink &m_log;
    AuditHandler m_audit;
    ControlLoop m_loop;
    TrafficOptions m_options;
    TargetHolds m_targetHolds;
    std::vector<std::unique_ptr<TrafficThread>> m_threads;
    std::unique_ptr<CallerListener> m_listener;
    PeerTransport m_peers;
    PlatformWatcher m_platformWatcher;
    TargetPoller m_poller;
    AdminHttpServer m_admin;
    asio::signal_set m_signals;
    std::function<void(bool)> m_platformReader;
    std::function<void(std::uint64_t)> m_revisionReader;
    std::function<void()> m_reload;
    int m_signalCount = 0;
    std::atomic<std::size_t> m_drainingThreads {0};
    std::atomic<std::size_t> m_unansweredRequests {0};
    std::atomic<std::size_t> m_cutResponses {0};
    std::chrono::steady_clock::time_point m_drainStartedAt;
    bool m_isReady = false;
    bool m_isStopping = false;
};

RouterNode::Impl::Impl(const Settings &settings, Incarnation incarnation, LogSink &log,
                       CoreHandle core, RpcHandler rpc, AuditHandler audit,
                       WireProtocolHandle protocol)
    : m_settings(settings)
    , m_log(log)
    , m_audit(std::move(audit))
    , m_loop(
          m_context, std::move(core), m_metrics,
          [this](Action &action) { std::visit(*this, action); }, [this] { m_peers.flush(); })
    , m_options(trafficOptions(settings, incarnation))
    , m_peers(m_context, {settings.node, incarnation, settings.fleetKey}, m_metrics,
              peerCallbacks())
    , m_platformWatcher(m_context, settings.platform, incarnation, m_metrics,
                        [this](Event event) { m_loop.post(std::move(event)); })
    , m_poller(m_context, m_metrics, [this](Event event) { m_loop.post(std::move(event)); })
    , m_admin(m_context, adminHandlers(settings, std::move(rpc)))
    , m_signals(m_context)
    , m_platformReader([this](bool isOn) { m_platformWatcher.setEnabled(isOn); })
{
    m_options.protocol = std::move(protocol);
    m_options.log = [this](LogRecord record) { m_log.add(std::move(record)); };
    m_options.report = [this](std::vector<Event> &events) { m_loop.postAll(events); };
    for (unsigned i = 0; i < settings.trafficThreads; ++i)
        m_threads.push_back(
            std::make_unique<TrafficThread>(i, m_options, m_metrics, m_targetHolds));
    m_listener = std::make_unique<CallerListener>(
        m_threads, [this](const LogRecord &record) { m_log.add(record); });
}

RouterNode::Impl::~Impl()
{
    for (const auto &thread : m_threads)
        thread->stop();
    // The listener uses the context of the first thread, which has stopped by now.
    m_listener.reset();
    m_threads.clear();
}

PeerTransport::Callbacks RouterNode::Impl::peerCallbacks()
{
    return {[this](const Event &event) { m_loop.handle(event); }, [this] { m_loop.endIteration(); },
            [this](const LogRecord &record) { m_log.add(record); }};
}

AdminHttpServer::Handlers RouterNode::Impl::adminHandlers(const Settings &settings, RpcHandler rpc)
{
    return {[this] { return m_isReady; }, [this] { return printMetrics(); }, std::move(rpc),
            settings.operatorsKeyDigest};
}

std::string RouterNode::Impl::openListeners(const Settings &settings)
{
    std::string reason = m_listener->listen(settings.callers);
    if (reason.empty())
        reason = m_peers.listen(settings.peers);
    if (reason.empty())
        reason = m_admin.listen(settings.admin);
    return reason;
}

void RouterNode::Impl::handleSignals(std::function<void()> reload)
{
    m_reload = std::move(reload);
    // The next log line after the log's reader has exited must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    m_signals.add(SIGTERM);
    m_signals.add(SIGINT);
    m_signals.add(SIGHUP);
    waitForSignal();
}

void RouterNode::Impl::waitForSignal()
{
    m_signals.async_wait([this](error_code error, int number) {
        if (error)
            return;
        if (number == SIGHUP) {
            if (m_reload)
                m_reload();
            waitForSignal();
            return;
        }
        if (++m_signalCount > 1) {
            stop();
            return;
        }
        handleNow(LeaveOrdered {number == SIGINT ? "SIGINT" : "SIGTERM"});
        waitForSignal();
    });
}

void RouterNode::Impl::run()
{
    setThreadName("control");
    const AlternateSignalStack stack;
    for (const auto &thread : m_threads)
        thread->start();
    handleNow(TimerDue {});
    const auto work = asio::make_work_guard(m_context);
    m_context.run();
}

void RouterNode::Impl::handleNow(const Event &event)
{
    m_loop.handle(event);
    m_loop.endIteration();
}

TrafficThread &RouterNode::Impl::threadOf(RequestHandle handle)
{
    return *m_threads[handle % m_threads.size()];
}

void RouterNode::Impl::operator()(Dispatch &action)
{
    TrafficThread &thread = threadOf(action.handle);
    thread.sendCommand(std::move(action));
}

void RouterNode::Impl::operator()(const ContinueAttempt &action)
{
    threadOf(action.handle).sendCommand(action);
}

void RouterNode::Impl::operator()(AbortAttempt &action)
{
    threadOf(action.handle).sendCommand(action);
}

void RouterNode::Impl::operator()(Refuse &action)
{
    TrafficThread &thread = threadOf(action.handle);
    thread.sendCommand(std::move(action));
}

void RouterNode::Impl::operator()(SendStoredResponse &action)
{
    TrafficThread &thread = threadOf(action.handle);
    thread.sendCommand(std::move(action));
}

void RouterNode::Impl::operator()(RelayHeldResponse &action)
{
    threadOf(action.handle).sendCommand(action);
}

void RouterNode::Impl::operator()(const Readiness &action)
{
    m_isReady = action.isReady;
    for (const auto &thread : m_threads)
        thread->setLeaving(!m_isReady && !action.keepsConnections);
}

void RouterNode::Impl::operator()(const SetCallerLimits &action)
{
    const CallerLimits limits = callerLimits(m_settings, action.limits);
    for (const auto &thread : m_threads)
        thread->setCallerLimits(limits);
    LogRecord record {LogEventId::CallerLimitsSet, ""};
    record.fields["headerBytes"] = Json::UInt64(limits.headerBytes);
    record.fields["bodyBytes"] = Json::UInt64(limits.bodyBytes);
    record.fields["readTimeoutMs"] = toMilliseconds(limits.readTimeout);
    record.fields["idleTimeoutMs"] = toMilliseconds(limits.idleTimeout);
    record.fields["memoryBytes"] = Json::UInt64(limits.memoryBytes);
    m_log.add(std::move(record));
}

void RouterNode::Impl::operator()(const Stopped &action)
{
    if (std::exchange(m_isStopping, true))
        return;
    m_drainingThreads = m_threads.size();
    m_drainStartedAt = std::chrono::steady_clock::now();
    // The connections that the listener accepts last must reach their threads before the drain.
    m_listener->close([this, limit = action.drainLimit] {
        for (const auto &thread : m_threads) {
            thread->drain(limit, [this](const DrainResult &result) { onDrained(result); });
        }
    });
}

/// Called on each traffic thread.
void RouterNode::Impl::onDrained(const DrainResult &result)
{
    m_unansweredRequests += result.unansweredRequests;
    m_cutResponses += result.cutResponses;
    if (--m_drainingThreads > 0)
        return;
    const auto time = std::chrono::steady_clock::now() - m_drainStartedAt;
    LogRecord record {LogEventId::ConnectionsClosed, ""};
    record.fields["drainMs"]
        = Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    record.fields["unanswered"] = Json::UInt64(m_unansweredRequests);
    record.fields["cut"] = Json::UInt64(m_cutResponses);
    m_log.add(std::move(record));
    stop();
}

void RouterNode::Impl::operator()(const Audit &action)
{
    m_log.add({LogEventId::AuditEntryMade, formatAuditEntry(action.entry)});
    if (m_audit)
        m_audit(action.entry);
}

std::string RouterNode::Impl::printMetrics()
{
    m_metrics.logLinesDropped = m_log.dropped();
    m_metrics.controlConnectionsReclaimed
        = m_admin.reclaimedConnections() + m_peers.reclaimedConnections();
    // Operators' calls run on the control thread.
    return m_metrics.print(toSeconds(threadProcessorTime()));
}

RouterNode::RouterNode(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

RouterNode::~RouterNode() = default;

void RouterNode::run()
{
    m_impl->run();
}

void RouterNode::stop()
{
    m_impl->stop();
}

void RouterNode::post(Event event)
{
    m_impl->post(std::move(event));
}

void RouterNode::handleNow(const Event &event)
{
    m_impl->handleNow(event);
}

asio::io_context &RouterNode::context()
{
    return m_impl->context();
}

Endpoint RouterNode::callers() const
{
    return m_impl->listener().endpoint();
}

Endpoint RouterNode::peers() const
{
    return m_impl->peers().endpoint();
}

Endpoint RouterNode::admin() const
{
    return m_impl->admin().endpoint();
}

const Metrics &RouterNode::metrics() const
{
    return m_impl->m_metrics;
}

RouterNodeBuilder::RouterNodeBuilder(const Settings &settings, Incarnation incarnation,
                                     LogSink &log)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_log(log)
{
}

RouterNodeBuilder &RouterNodeBuilder::core(CoreHandle core)
{
    m_core = std::move(core);
    return *this;
}

RouterNodeBuilder &RouterNodeBuilder::rpc(RpcHandler handler)
{
    m_rpc = std::move(handler);
    return *this;
}

RouterNodeBuilder &RouterNodeBuilder::audit(AuditHandler handler)
{
    m_audit = std::move(handler);
    return *this;
}

RouterNodeBuilder &RouterNodeBuilder::protocol(WireProtocolHandle protocol)
{
    m_protocol = std::move(protocol);
    return *this;
}

RouterNodeBuilder &RouterNodeBuilder::platformReader(std::function<void(bool)> reader)
{
    m_platformReader = std::move(reader);
    return *this;
}

RouterNodeBuilder &RouterNodeBuilder::revisionReader(std::function<void(std::uint64_t)> reader)
{
    m_revisionReader = std::move(reader);
    return *this;
}

RouterNodeBuilder &RouterNodeBuilder::reload(std::function<void()> reload)
{
    m_reload = std::move(reload);
    return *this;
}

RouterNodeBuilder &RouterNodeBuilder::handlesSignals(bool isHandling)
{
    m_handlesSignals = isHandling;
    return *this;
}

Expected<std::unique_ptr<RouterNode>> RouterNodeBuilder::build()
{
    assert(m_core.handle && m_core.nextTimer && "a node requires a decision core");
    assert(m_settings.trafficThreads > 0 && "a node requires at least one traffic thread");
    ::mallopt(M_MMAP_THRESHOLD, separateAllocationBytes);
    auto impl = std::make_unique<RouterNode::Impl>(m_settings, m_incarnation, m_log, m_core, m_rpc,
                                                   m_audit, m_protocol);
    std::string reason = impl->openListeners(m_settings);
    if (!reason.empty())
        return Reason {std::move(reason)};
    if (m_platformReader)
        impl->setPlatformReader(m_platformReader);
    impl->setRevisionReader(m_revisionReader);
    if (m_handlesSignals)
        impl->handleSignals(m_reload);
    return std::unique_ptr<RouterNode>(new RouterNode(std::move(impl)));
}

} // namespace berylridge
