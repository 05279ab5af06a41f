#include "CallerSession.h"

#include "CallerRequest.h"
#include "Exchange.h"
#include "HttpListener.h"
#include "HttpSerialization.h"
#include "TrafficThread.h"
#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <utility>

namespace berylridge {

namespace {

/// Limit for a caller that reads nothing at all: its response occupies a slot of the target for as
/// long as it streams.
constexpr std::chrono::seconds writeStallTimeout {30};
/// Time for the caller to read a response after which the router closes the connection.
constexpr std::chrono::seconds lingerTimeout {2};
constexpr std::size_t maxWriteBytes = 64 << 10; ///< Of one system call.
constexpr std::size_t headReadBytes = 2 << 10;
/// Read at once after bytes of a body that can't be parsed yet.
constexpr std::size_t keptReadBytes = 16 << 10;
/// Space beyond the head limit, so that the parser can report which limit was exceeded.
constexpr std::size_t bufferSlackBytes = 128 << 10;
/// Retry-After of requests that arrive when the process ends; the caller's next connection reaches
/// another node.
constexpr Duration leavingRetryAfter = std::chrono::milliseconds(20);
constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

CallerSession::CallerSession(TrafficThread &thread, tcp::socket socket)
    : m_thread(thread)
    , m_socket(std::move(socket))
    , m_deadline(std::make_shared<Deadline>(thread.context()))
    , m_buffer(thread.callerLimits().headerBytes + bufferSlackBytes)
    , m_memory(thread.callerMemory())
{
    ++m_thread.metrics().connectionsOpen;
}

CallerSession::~CallerSession()
{
    countClosed();
    m_thread.removeSession(this);
}

void CallerSession::start(std::string_view received, ShedDecision decision)
{
    m_hasStarted = true;
    error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    m_shedDecision = decision;
    m_buffer.commit(asio::buffer_copy(m_buffer.prepare(received.size()), asio::buffer(received)));
    awaitRequest();
}

void CallerSession::awaitRequest()
{
    m_state = State::Idle;
    m_isPaused = false;
    if (m_buffer.size() > 0) {
        readHead();
        return;
    }
    m_buffer.shrink_to_fit(); // An idle connection holds no buffer.
    m_memory.resize(0);
    waitIdle();
}

void CallerSession::waitIdle()
{
    m_idleSince = Deadline::Clock::now();
    m_deadline->set(Deadline::Clock::now() + m_thread.callerLimits().idleTimeout,
                    [weak = weak_from_this()] {
                        if (const auto self = weak.lock())
                            self->close();
                    });
    waitReadable();
}

void CallerSession::waitReadable()
{
    if (std::exchange(m_isWaitingReadable, true))
        return;
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        self->m_isWaitingReadable = false;
        self->onReadable(error);
    });
}

void CallerSession::onReadable(error_code error)
{
    if (error == asio::error::operation_aborted)
        return;
    if (m_state == State::Idle && m_thread.isShedding())
        readAndTryEarlyShed();
    else if (m_state == State::Idle)
        readHead();
    else if (m_state == State::Reading && !m_parser->is_header_done())
        receiveHead();
    else if (m_state == State::Reading)
        receiveBody();
    else if (m_state == State::Waiting && m_exchange)
        checkForDisconnect();
}

void CallerSession::readAndTryEarlyShed()
{
    const asio::mutable_buffer scratch = m_thread.scratch();
    error_code error;
    const std::size_t size = m_socket.read_some(scratch, error);
    if (error == asio::error::would_block) {
        waitReadable();
        return;
    }
    if (error) {
        close();
        return;
    }
    const std::string_view bytes(static_cast<const char *>(scratch.data()), size);
    const EarlyShedResult shedResult = m_thread.tryEarlyShed(bytes, m_thread.allowsKeepAlive());
    if (shedResult.immediateResponse) {
        writeImmediateResponse(shedResult);
        return;
    }
    m_shedDecision = shedResult.decision;
    m_buffer.commit(asio::buffer_copy(m_buffer.prepare(size), asio::buffer(bytes)));
    awaitRequest();
}

void CallerSession::writeImmediateResponse(const EarlyShedResult &shedResult)
{
    m_hadRequest = true;
    error_code error;
    const std::size_t size
        = m_socket.write_some(asio::buffer(*shedResult.immediateResponse), error);
    if (error && error != asio::error::would_block) {
        close();
        return;
    }
    const bool keepAlive = shedResult.isKeepAlive;
    if (size == shedResult.immediateResponse->size() && keepAlive) {
        waitIdle();
        return;
    }
    m_state = State::Waiting;
    m_isRequestComplete = true;
    write(shedResult.immediateResponse->substr(size),
          [self = shared_from_this(), keepAlive] { self->endExchange(keepAlive); });
}

void CallerSession::checkForDisconnect()
{
    error_code error = peek();
    if (error == asio::error::would_block) {
        waitReadable();
        return;
    }
    if (error) {
        onCallerDisconnected();
        return;
    }
    // Buffers a pipelined request up to the head limit; it is parsed after the current one. Beyond
    // that limit the router stops reading, so that a caller can't make its memory grow.
    const std::size_t limit = m_thread.callerLimits().headerBytes;
    if (m_buffer.size() >= limit) {
        m_isPaused = true;
        m_memory.resize(m_buffer.capacity() + receiveBufferBytes);
        m_thread.reclaimMemory();
        return;
    }
    const std::size_t room = std::min(limit - m_buffer.size(), headReadBytes);
    m_buffer.commit(m_socket.read_some(m_buffer.prepare(room), error));
    m_memory.resize(m_buffer.capacity());
    waitReadable();
}

void CallerSession::readHead()
{
    m_state = State::Reading;
    m_hadRequest = true;
    m_isRequestComplete = false;
    m_credential = 0;
    m_requestStart = Deadline::Clock::now();
    const CallerLimits &limits = m_thread.callerLimits();
    m_buffer.max_size(limits.headerBytes + bufferSlackBytes);
    m_parser = std::make_unique<RequestParser>();
    m_parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    m_parser->body_limit(limits.bodyBytes);
    startReadTimeout();
    if (m_buffer.size() > 0)
        parseHead();
    else
        receiveHead();
}

/// Limits the time for the whole head, or for the whole body, so that a caller can't hold the
/// connection for longer by sending a byte now and then.
void CallerSession::startReadTimeout()
{
    const auto due = Deadline::Clock::now() + m_thread.callerLimits().readTimeout;
    m_deadline->set(due, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onReadTimeout();
    });
}

void CallerSession::receiveHead()
{
    error_code error;
    m_buffer.commit(m_socket.read_some(m_buffer.prepare(headReadBytes), error));
    if (error == asio::error::would_block)
        waitReadable();
    else if (error)
        close();
    else
        parseHead();
}

void CallerSession::parseHead()
{
    error_code error;
    const std::size_t size = m_parser->put(m_buffer.data(), error);
    m_buffer.consume(size);
    updateMemory();
    if (m_state != State::Reading)
        return;
    if (error == http::error::need_more)
        waitReadable();
    else if (error)
        onParserError(error);
    else
        onHead();
}

void CallerSession::onHead()
{
    const auto &request = m_parser->get();
    if (request.version() != 11) {
        // A caller of an older HTTP version doesn't support chunked coding and couldn't distinguish
        // a truncated response from a complete one.
        sendProblem({505, "http-version", "the router speaks HTTP/1.1", Verdict::NotRun, {}},
                    false);
        return;
    }
    const auto coding = request.find(http::field::transfer_encoding);
    if (coding != request.end() && !beast::iequals(coding->value(), "chunked")) {
        sendProblem({501, "transfer-coding", "chunked is the only transfer coding known",
                     Verdict::NotRun, std::nullopt},
                    false);
        return;
    }
    const CallerIdentity caller = m_thread.protocol().readCaller(request);
    m_credential = hash32(caller.credential);
    const ShedDecision decision = std::exchange(m_shedDecision, ShedDecision::Undecided);
    if (decision == ShedDecision::Shed
        || (decision == ShedDecision::Undecided && m_thread.sheds(caller))) {
        rejectOverloaded(caller);
        return;
    }
    if (m_parser->is_done()) {
        onRequest();
        return;
    }
    if (beast::iequals(request[http::field::expect], "100-continue") && m_buffer.size() == 0)
        write(std::string(continueResponse), [] {});
    m_parser->eager(true);
    startReadTimeout();
    if (m_buffer.size() > 0)
        parseKeptBytes();
    else
        receiveBody();
}

void CallerSession::rejectOverloaded(const CallerIdentity &caller)
{
    const std::uint64_t remainingBytes
        = m_parser->is_done() ? 0 : m_parser->content_length_remaining().value_or(~0ULL);
    // After a completely received request, the connection can be kept or closed without a reset.
    m_isRequestComplete = remainingBytes <= m_buffer.size();
    if (m_isRequestComplete)
        m_buffer.consume(remainingBytes);
    const bool keepAlive
        = m_isRequestComplete && m_parser->get().keep_alive() && m_thread.allowsKeepAlive();
    sendProblem(m_thread.overloadProblem(caller), keepAlive, caller.requestId);
}

void CallerSession::receiveBody()
{
    // Reads into the thread's buffer, so that a connection needs no memory beyond its body. Only
    // the beginning of a chunk's head or of a trailer is kept, which are parsed as a whole.
    const bool hasKeptBytes = m_buffer.size() > 0;
    const std::size_t room = std::min(m_buffer.max_size() - m_buffer.size(), keptReadBytes);
    if (hasKeptBytes && room == 0) {
        onParserError(http::error::buffer_overflow);
        return;
    }
    const asio::mutable_buffer target = hasKeptBytes ? m_buffer.prepare(room) : m_thread.scratch();
    error_code error;
    const std::size_t size = m_socket.read_some(target, error);
    if (error == asio::error::would_block) {
        waitReadable();
        return;
    }
    if (error) {
        close();
        return;
    }
    if (hasKeptBytes) {
        m_buffer.commit(size);
        parseKeptBytes();
        return;
    }
    const std::string_view bytes(static_cast<const char *>(target.data()), size);
    const std::size_t parsed = parseBody(bytes, error);
    const asio::const_buffer rest = asio::buffer(bytes) + parsed;
    if (rest.size() > 0)
        m_buffer.commit(asio::buffer_copy(m_buffer.prepare(rest.size()), rest));
    onBodyBytes(error);
}

void CallerSession::parseKeptBytes()
{
    const asio::const_buffer kept = m_buffer.data();
    error_code error;
    m_buffer.consume(parseBody({static_cast<const char *>(kept.data()), kept.size()}, error));
    if (m_buffer.size() == 0)
        m_buffer.shrink_to_fit();
    onBodyBytes(error);
}

std::size_t CallerSession::parseBody(std::string_view bytes, error_code &error)
{
    std::size_t size = 0;
    std::size_t parsed = 1;
    while (size < bytes.size() && !m_parser->is_done() && !error && parsed > 0) {
        parsed = m_parser->put(asio::buffer(bytes.substr(size)), error);
        size += parsed;
    }
    if (error == http::error::need_more)
        error = {};
    return size;
}

void CallerSession::onBodyBytes(const error_code &error)
{
    updateMemory();
    if (m_state != State::Reading)
        return;
    if (error)
        onParserError(error);
    else if (m_parser->is_done())
        onRequest();
    else
        waitReadable();
}

void CallerSession::updateMemory()
{
    m_memory.resize(m_buffer.capacity() + m_parser->memoryBytes());
    m_thread.reclaimMemory();
}

std::optional<WaitingConnection> CallerSession::waitingConnection() const
{
    const auto now = Deadline::Clock::now();
    const auto since = m_state == State::Reading ? m_requestStart : m_idleSince;
    const Duration age = std::chrono::duration_cast<Duration>(now - since);
    if (m_state == State::Reading)
        return WaitingConnection {ConnectionUse::Receiving, age};
    if (m_state != State::Idle)
        return std::nullopt;
    return WaitingConnection {m_hadRequest ? ConnectionUse::KeptAlive : ConnectionUse::Unused, age};
}

void CallerSession::closeForOthers()
{
    // The connection's descriptor is needed at once, so it doesn't linger.
    if (m_state == State::Reading || !m_hasStarted) {
        const std::string text = serializeProblem(m_thread.connectionProblem(), false, {});
        error_code ignored;
        m_socket.write_some(asio::buffer(text), ignored);
    }
    close();
}

std::optional<PartialRequest> CallerSession::partialRequest() const
{
    if (m_state != State::Reading && !m_isPaused)
        return std::nullopt;
    const auto age = Deadline::Clock::now() - m_requestStart;
    return PartialRequest {m_credential, m_memory.bytes(),
                           std::chrono::duration_cast<Duration>(age)};
}

void CallerSession::rejectPartialRequest()
{
    if (m_isPaused) {
        abortConnection("pipelined-bytes");
        return;
    }
    const std::string requestId = m_parser->is_header_done()
        ? m_thread.protocol().readCaller(m_parser->get()).requestId
        : std::string();
    m_isRequestComplete = m_parser->is_done();
    sendProblem(m_thread.memoryProblem(), false, requestId);
}

void CallerSession::onParserError(const error_code &error)
{
    if (const auto problem = problemOfParserError(error))
        sendProblem(*problem, false);
    else
        close();
}

void CallerSession::onReadTimeout()
{
    sendProblem(
        {408, "read-timeout", "the request did not arrive in time", Verdict::NotRun, std::nullopt},
        false);
}

void CallerSession::onRequest()
{
    m_deadline->clear();
    m_state = State::Waiting;
    if (m_buffer.size() == 0)
        m_buffer.shrink_to_fit(); // The request may wait for a long time.
    ++m_thread.metrics().requestsReceived;
    if (hasCallerDisconnected()) {
        m_thread.countAbandonedRequest();
        close();
        return;
    }
    beginExchange();
}

error_code CallerSession::peek()
{
    std::array<char, 1> byte {};
    error_code error;
    m_socket.receive(asio::buffer(byte), tcp::socket::message_peek, error);
    return error;
}

bool CallerSession::hasRequest()
{
    switch (m_state) {
    case State::Idle:
        return !peek();
    case State::Reading:
        return true;
    case State::Waiting:
        return m_exchange && m_writeQueue.empty();
    case State::Closing:
        return false;
    }
    return false;
}

bool CallerSession::hasCallerDisconnected()
{
    const error_code error = peek();
    return error && error != asio::error::would_block;
}

void CallerSession::beginExchange()
{
    const RequestHandle handle = m_thread.nextHandle();
    const std::string generatedId = m_thread.options().idPrefix + std::to_string(handle);
    const std::size_t requestBytes = m_parser->memoryBytes();
    StringRequest request = m_parser->release();
    m_parser.reset();
    m_memory.resize(m_buffer.capacity());
    if (m_thread.isDraining()) {
        refuseAsLeaving(m_thread.protocol().readCaller(request).requestId);
        return;
    }
    auto read = m_thread.protocol().readRequest(request, generatedId);
    if (const auto *problem = std::get_if<Problem>(&read)) {
        sendProblem(*problem, request.keep_alive() && m_thread.allowsKeepAlive());
        return;
    }
    auto arrived = std::get<RequestArrived>(std::move(read));
    arrived.handle = handle;
    m_thread.metrics().streamsTakenUp += arrived.resumption ? 1 : 0;
    m_exchange
        = std::make_shared<Exchange>(m_thread, shared_from_this(), arrived, std::move(request));
    m_exchange->countRequestBytes(requestBytes);
    m_thread.addExchange(handle, m_exchange);
    if (arrived.service.isEmpty() && arrived.host.empty())
        m_thread.report(KeyIssueRequested {handle, arrived.requestId, arrived.credential});
    else
        m_thread.report(std::move(arrived));
    waitReadable();
}

void CallerSession::refuseAsLeaving(std::string_view requestId)
{
    sendProblem({503, "leaving", "the router stops", Verdict::NotRun, leavingRetryAfter}, false,
                requestId);
}

void CallerSession::sendProblem(const Problem &problem, bool keepAlive, std::string_view requestId)
{
    m_state = State::Waiting;
    m_deadline->clear();
    m_parser.reset();
    if (m_buffer.size() == 0)
        m_buffer.shrink_to_fit();
    m_memory.resize(m_buffer.capacity());
    write(serializeProblem(problem, keepAlive, requestId),
          [self = shared_from_this(), keepAlive] { self->endExchange(keepAlive); });
}

std::string CallerSession::serializeProblem(const Problem &problem, bool keepAlive,
                                            std::string_view requestId)
{
    ++m_thread.metrics().requestsByVerdict[static_cast<std::size_t>(problem.verdict)];
    m_thread.metrics().countRejectedRequest(problem.type);
    const std::string placeholderRequestId = m_thread.options().placeholderRequestId();
    auto response = m_thread.protocol().buildProblemResponse(
        problem, requestId.empty() ? std::string_view(placeholderRequestId) : requestId);
    response.keep_alive(keepAlive);
    return serializeHttp(response);
}

void CallerSession::write(std::string bytes, std::function<void()> written)
{
    if (m_state == State::Closing)
        return;
    m_writeQueue.push_back({std::move(bytes), std::move(written)});
    if (!m_isWriteActive)
        writeFront();
}

void CallerSession::writeFront()
{
    m_isWriteActive = true;
    if (m_state == State::Waiting) {
        m_deadline->set(Deadline::Clock::now() + writeStallTimeout, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->abortConnection("caller-not-reading");
        });
    }
    const auto transferAll = [this](error_code error, std::size_t) -> std::size_t {
        m_thread.countProgress();
        return error ? 0 : maxWriteBytes;
    };
    asio::async_write(m_socket, asio::buffer(m_writeQueue.front().bytes), transferAll,
                      [self = shared_from_this()](error_code error, std::size_t) {
                          self->m_isWriteActive = false;
                          self->onWritten(error);
                      });
}

void CallerSession::onWritten(error_code error)
{
    if (m_state == State::Closing)
        return;
    if (error) {
        onCallerDisconnected();
        return;
    }
    const auto written = std::move(m_writeQueue.front().written);
    m_writeQueue.pop_front();
    if (m_state == State::Waiting)
        m_deadline->clear();
    if (!m_writeQueue.empty())
        writeFront();
    written();
}

void CallerSession::endExchange(bool keepAlive)
{
    if (m_state == State::Closing)
        return;
    m_exchange.reset();
    if (keepAlive)
        awaitRequest();
    else if (m_isRequestComplete)
        close();
    else
        linger();
}

void CallerSession::onCallerDisconnected()
{
    if (m_state == State::Closing)
        return;
    const auto exchange = std::move(m_exchange);
    close();
    if (exchange)
        exchange->onCallerDisconnected();
}

void CallerSession::linger()
{
    // Closing a socket with unread bytes makes the system send a reset, which can destroy the
    // response before the caller has read it. Therefore only the sending side is shut down, and
    // incoming bytes are discarded for a short time.
    m_state = State::Closing;
    m_isLingering = true;
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_memory.resize(0);
    error_code error;
    m_socket.shutdown(tcp::socket::shutdown_send, error);
    if (error) {
        close();
        return;
    }
    m_discardableBytes = m_thread.callerLimits().bodyBytes;
    m_deadline->set(Deadline::Clock::now() + lingerTimeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->close();
    });
    discardInput();
}

void CallerSession::discardInput()
{
    m_socket.async_read_some(
        m_thread.scratch(), [self = shared_from_this()](error_code error, std::size_t size) {
            // A caller within the limits has no more to send than a body.
            self->m_discardableBytes -= std::min(self->m_discardableBytes, size);
            if (error || self->m_discardableBytes == 0)
                self->close();
            else
                self->discardInput();
        });
}

void CallerSession::abortConnection(const std::string &reason)
{
    if (m_exchange)
        m_exchange->reportCut(reason);
    onCallerDisconnected();
    close();
}

/// A closed session is destroyed later, with its last handler.
void CallerSession::countClosed()
{
    if (!std::exchange(m_isClosed, true))
        --m_thread.metrics().connectionsOpen;
}

void CallerSession::close()
{
    m_state = State::Closing;
    m_isPaused = false;
    m_isLingering = false;
    m_deadline->stop();
    m_writeQueue.clear();
    m_parser.reset();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_memory.resize(0);
    error_code ignored;
    m_socket.close(ignored);
    countClosed();
}

} // namespace berylridge
