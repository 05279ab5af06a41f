#include "TrafficThread.h"

#include "CallerSession.h"
#include "Exchange.h"
#include "ProcessorTime.h"
#include "ReclaimCandidates.h"
#include "ThreadName.h"
#include "berylridge/Support/FatalSignal.h"
#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <sys/socket.h>
#include <utility>

namespace berylridge {

namespace {

constexpr std::chrono::seconds idleSweepPeriod {1};
/// Smaller timer delays don't indicate load.
constexpr std::chrono::milliseconds minReportedLag {15};
/// Retry delay of rejected callers. It is short, because the caller's next connection may reach
/// another node, which probably has capacity.
constexpr Duration overloadRetryAfter = std::chrono::milliseconds(30);
constexpr const char *overloadProblemType = "busy";
/// The same for workspaces that the core mostly rejects as over their share.
constexpr const char *predictedProblemType = "probably-rejected";
constexpr Duration connectionRetryAfter = std::chrono::seconds(1);
/// Fraction of the connection limit that is reclaimed at once. The connections are examined only
/// after as many new ones.
constexpr std::uint64_t reclaimedConnectionsDivisor = 32;
/// Time in which most requests are complete that hold the memory.
constexpr Duration memoryRetryAfter = std::chrono::seconds(1);
constexpr const char *memoryProblemType = "memory-full";
/// Time after a delay in which requests are still shed by prediction. Without these requests the
/// thread is not late, and with all of them it would be again.
constexpr Duration predictionTime = std::chrono::seconds(1);
constexpr std::chrono::milliseconds drainPeriod {10};
/// A drain doesn't wait longer than this for callers that receive nothing meanwhile.
constexpr std::chrono::seconds drainStallLimit {1};

RequestHandle handleOf(const TrafficCommand &command)
{
    return std::visit([](const auto &each) { return each.handle; }, command);
}

/// Executes one command on its request.
struct CommandExecutor
{
    Exchange &exchange;

    void operator()(Dispatch &command) const { exchange.dispatch(command); }
    void operator()(ContinueAttempt &command) const { exchange.continueAttempt(command); }
    void operator()(AbortAttempt &command) const { exchange.abort(command.attempt); }
    void operator()(Refuse &command) const { exchange.refuse(command); }
    void operator()(SendStoredResponse &command) const { exchange.sendStoredResponse(command); }
    void operator()(RelayHeldResponse &command) const { exchange.relayHeldResponse(command); }
};

} // namespace

TrafficThread::TrafficThread(unsigned index, const TrafficOptions &options, Metrics &metrics,
                             TargetHolds &targetHolds)
    : m_index(index)
    , m_options(options)
    , m_metrics(metrics)
    , m_targetHolds(targetHolds)
    , m_callerLimits(options.callerLimits)
    , m_callerMemory(metrics)
    , m_workGuard(m_context.get_executor())
    , m_idleTimer(m_context)
    , m_drainTimer(m_context)
    , m_lagTimer(m_context)
    , m_loadShedder(options.acceptedLag)
    , m_random(index)
    , m_commands(m_context,
                 [this](std::vector<TrafficCommand> &commands) { executeCommands(commands); })
{
    m_callerMemory.setLimit(m_callerLimits.memoryBytes);
}

TrafficThread::~TrafficThread()
{
    stop();
    // Handlers that never ran own sessions and requests, which must be destroyed before the other
    // members.
    closeAll();
    m_exchanges.clear();
}

void TrafficThread::start()
{
    closeIdleConnections();
    measureLag();
    m_thread = std::thread([this] { run(); });
}

void TrafficThread::run()
{
    setThreadName("traffic-" + std::to_string(m_index));
    const AlternateSignalStack stack;
    m_context.run();
}

void TrafficThread::stop()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void TrafficThread::adopt(FileDescriptor connection, tcp protocol)
{
    ++m_metrics.connectionsAccepted;
    asio::dispatch(m_context, [this, connection = std::move(connection), protocol]() mutable {
        startSession(std::move(connection), protocol);
    });
}

void TrafficThread::startSession(FileDescriptor connection, tcp protocol)
{
    ++m_acceptedConnections;
    // Callers send their request as soon as they are connected, so it has usually arrived when the
    // connection is accepted. Waiting for it would cost two system calls and an event loop
    // iteration.
    const ssize_t size = ::recv(connection.number(), m_scratch.data(), m_scratch.size(), 0);
    if (size == 0)
        return;
    const std::string_view bytes(m_scratch.data(), std::max<ssize_t>(size, 0));
    EarlyShedResult shedResult;
    if (isShedding() && !bytes.empty())
        shedResult = tryEarlyShed(bytes, false);
    if (shedResult.immediateResponse) {
        // A rejected connection is never registered with the event loop. Its send buffer is empty
        // and holds the complete response.
        const std::string &immediateResponse = *shedResult.immediateResponse;
        ::send(connection.number(), immediateResponse.data(), immediateResponse.size(),
               MSG_NOSIGNAL);
        return;
    }
    const bool hasRoom = reclaimConnections();
    tcp::socket socket(m_context);
    error_code error;
    socket.assign(protocol, connection.number(), error);
    if (error)
        return;
    connection.release();
    const auto session = std::make_shared<CallerSession>(*this, std::move(socket));
    m_sessions.insert(session.get());
    if (hasRoom) {
        session->start(bytes, shedResult.decision);
        return;
    }
    ++m_metrics.connectionsRejected;
    session->closeForOthers();
}

bool TrafficThread::reclaimConnections()
{
    const std::uint64_t limit = m_options.connectionLimit;
    if (m_metrics.connectionsOpen < limit)
        return true;
    const ReclaimCandidates candidates(m_sessions, &CallerSession::waitingConnection);
    const std::size_t count = 1 + limit / reclaimedConnectionsDivisor;
    const auto selected = selectConnectionsToClose(candidates.states, count);
    for (const std::size_t index : selected) {
        ++m_metrics.connectionsReclaimed;
        ++m_closedConnections;
        candidates.sessions[index]->closeForOthers();
    }
    return !selected.empty();
}

void TrafficThread::reclaimMemory()
{
    const MemoryUse memory = m_callerMemory.use();
    if (!memory.isReclaimNeeded())
        return;
    const ReclaimCandidates candidates(m_sessions, &CallerSession::partialRequest);
    for (const std::size_t index : selectRequestsToDrop(candidates.states, memory)) {
        ++m_metrics.requestsDroppedForMemory;
        ++m_droppedRequests;
        candidates.sessions[index]->rejectPartialRequest();
    }
}

Problem TrafficThread::connectionProblem()
{
    return {503, "too-many-connections", "the router has too many connections open",
            Verdict::NotRun, addRetryJitter(connectionRetryAfter, m_random)};
}

Problem TrafficThread::memoryProblem()
{
    return {503, memoryProblemType, "the router's memory for requests is in use", Verdict::NotRun,
            addRetryJitter(memoryRetryAfter, m_random)};
}

RequestHandle TrafficThread::nextHandle()
{
    return ++m_lastHandleNumber * m_options.threads + m_index;
}

void TrafficThread::addExchange(RequestHandle handle, std::shared_ptr<Exchange> exchange)
{
    m_exchanges.emplace(handle, std::move(exchange));
}

void TrafficThread::executeCommands(std::vector<TrafficCommand> &commands)
{
    for (TrafficCommand &command : commands) {
        const auto found = m_exchanges.find(handleOf(command));
        if (found != m_exchanges.end()) {
            const auto exchange
                = found->second; // Executing the command may remove it from the map.
            std::visit(CommandExecutor {*exchange}, command);
            continue;
        }
        // The caller disconnected before the command arrived. The core must be informed, so that it
        // frees the slot.
        if (const auto *dispatch = std::get_if<Dispatch>(&command))
            report(AttemptFailed {dispatch->handle, dispatch->attempt, AttemptFailure::Reset, false,
                                  false});
    }
}

void TrafficThread::report(Event event)
{
    // Waking the control thread costs this thread two system calls, so the events of one event loop
    // iteration are sent together.
    m_reports.push_back(std::move(event));
    if (m_reports.size() == 1)
        asio::post(m_context, [this] { flushReports(); });
}

void TrafficThread::flushReports()
{
    m_options.report(m_reports);
    m_reports.clear();
}

void TrafficThread::closeIdleConnections()
{
    m_pool.closeIdle(ConnectionPool::Clock::now());
    m_idleTimer.expires_after(idleSweepPeriod);
    m_idleTimer.async_wait([this](error_code error) {
        if (error)
            return;
        logReclaimedMemory();
        logReclaimedConnections();
        closeIdleConnections();
    });
}

void TrafficThread::logReclaimedConnections()
{
    if (m_closedConnections == 0)
        return;
    LogRecord record {LogEventId::ConnectionsReclaimed, ""};
    record.fields["thread"] = m_index;
    record.fields["closed"] = Json::UInt64(std::exchange(m_closedConnections, 0));
    record.fields["limit"] = m_options.connectionLimit;
    m_options.log(std::move(record));
}

void TrafficThread::logReclaimedMemory()
{
    if (m_droppedRequests == 0)
        return;
    LogRecord record {LogEventId::MemoryReclaimed, ""};
    record.fields["thread"] = m_index;
    record.fields["dropped"] = Json::UInt64(std::exchange(m_droppedRequests, 0));
    record.fields["heldBytes"] = Json::UInt64(m_callerMemory.use().heldBytes);
    record.fields["limitBytes"] = Json::UInt64(m_callerMemory.use().limitBytes);
    m_options.log(std::move(record));
}

void TrafficThread::measureLag()
{
    m_lagTimer.expires_after(LoadShedder::reportPeriod);
    m_lagTimer.async_wait([this](error_code error) {
        if (error)
            return;
        const auto lag = std::chrono::steady_clock::now() - m_lagTimer.expiry();
        onLag(std::chrono::duration_cast<Duration>(lag));
        measureLag();
    });
}

void TrafficThread::onLag(Duration lag)
{
    const TimePoint now = m_options.now();
    if (m_options.acceptedLag > Duration(0))
        m_loadShedder.onLag(lag, now);
    const bool isLate = lag > minReportedLag;
    // Requests that the core will reject are shed before the thread has to shed others.
    if (isLate || m_loadShedder.isLimited())
        m_lateAt = now;
    m_isPredicting = m_lateAt > TimePoint {} && now - m_lateAt <= predictionTime;
    m_metrics.trafficLagMicroseconds
        = static_cast<std::uint64_t>(std::max(lag, Duration(0)).count());
    const Duration threadTime = threadProcessorTime();
    const Duration processTime = m_index == 0 ? processProcessorTime() : Duration(0);
    const Duration threadTimeUsed = threadTime - std::exchange(m_threadTime, threadTime);
    const Duration processTimeUsed = processTime - std::exchange(m_processTime, processTime);
    // Reports once more after the last late iteration, so that the core learns that the lag has
    // ended.
    if (isLate || m_wasLate || isShedding()) {
        report(TrafficThreadReport {lag, std::exchange(m_acceptedConnections, 0),
                                    std::exchange(m_abandonedRequests, 0), takeShedCounts(),
                                    threadTimeUsed, processTimeUsed});
    }
    m_wasLate = isLate;
}

bool TrafficThread::sheds(const CallerIdentity &caller)
{
    if (m_options.acceptedLag == Duration(0))
        return false;
    const TimePoint now = m_options.now();
    const CredentialKey key = hash32(caller.credential);
    if (m_isPredicting && caller.hasPrompt && m_acceptance.predictsRejection(key, now)) {
        ++m_predictedRejections[key];
        return true;
    }
    return m_loadShedder.sheds(key, now);
}

std::vector<ShedCount> TrafficThread::takeShedCounts()
{
    std::vector<ShedCount> counts = m_loadShedder.takeShedCounts();
    for (const auto &[credential, requests] : std::exchange(m_predictedRejections, {}))
        counts.push_back({credential, requests});
    return counts;
}

EarlyShedResult TrafficThread::tryEarlyShed(std::string_view bytes, bool isKeepAliveAllowed)
{
    const std::string placeholderRequestId = m_options.placeholderRequestId();
    EarlyShedResult shedResult = decideEarlyShed(
        bytes,
        {m_options.protocol, [this](const CallerIdentity &caller) { return sheds(caller); },
         [&](const CallerIdentity &caller) {
             Problem problem = overloadProblem(caller);
             m_metrics.countRejectedRequest(problem.type);
             return problem;
         },
         placeholderRequestId, isKeepAliveAllowed});
    if (shedResult.immediateResponse) {
        ++m_metrics.requestsByVerdict[static_cast<std::size_t>(Verdict::NotRun)];
    }
    return shedResult;
}

Problem TrafficThread::overloadProblem(const CallerIdentity &caller)
{
    // Callers whose requests the core rejects come back in vain before the time that it names.
    const auto retryAfter = caller.hasPrompt
        ? m_acceptance.retryAfter(hash32(caller.credential), m_options.now())
        : std::nullopt;
    return {503, retryAfter ? predictedProblemType : overloadProblemType,
            "the router has more to do than it can", Verdict::NotRun,
            addRetryJitter(std::max(retryAfter.value_or(overloadRetryAfter), overloadRetryAfter),
                           m_random)};
}

void TrafficThread::setCallerLimits(const CallerLimits &limits)
{
    asio::post(m_context, [this, limits] {
        m_callerLimits = limits;
        m_callerMemory.setLimit(limits.memoryBytes);
    });
}

void TrafficThread::drain(Duration limit, std::function<void(const DrainResult &)> done)
{
    asio::post(m_context, [this, limit, done = std::move(done)] {
        m_isDraining = true;
        m_isLeaving = true;
        m_lastProgressAt = std::chrono::steady_clock::now();
        m_drainDeadline = m_lastProgressAt + limit;
        continueDrain(done);
    });
}

void TrafficThread::continueDrain(const std::function<void(const DrainResult &)> &done)
{
    if (isDrainOver()) {
        const DrainResult result = drainResult();
        closeAll();
        flushReports();
        done(result);
        return;
    }
    m_drainTimer.expires_after(drainPeriod);
    m_drainTimer.async_wait([this, done](error_code) { continueDrain(done); });
}

bool TrafficThread::isDrainOver()
{
    const auto now = std::chrono::steady_clock::now();
    if (now >= m_drainDeadline)
        return true;
    if (std::exchange(m_lastProgressCount, m_progressCount) != m_progressCount)
        m_lastProgressAt = now;
    const bool isStalled = now - m_lastProgressAt >= drainStallLimit;
    return std::none_of(m_sessions.begin(), m_sessions.end(), [isStalled](CallerSession *session) {
        return session->hasRequest()
            || (!isStalled && (session->hasPendingWrite() || session->isLingering()));
    });
}

DrainResult TrafficThread::drainResult() const
{
    DrainResult result;
    for (CallerSession *session : m_sessions) {
        result.unansweredRequests += session->hasRequest() ? 1 : 0;
        result.cutResponses += session->hasPendingWrite() ? 1 : 0;
    }
    return result;
}

void TrafficThread::closeAll()
{
    const std::vector<CallerSession *> sessions(m_sessions.begin(), m_sessions.end());
    for (CallerSession *session : sessions)
        session->abortConnection("stopping");
    m_pool.clear();
}

} // namespace berylridge
