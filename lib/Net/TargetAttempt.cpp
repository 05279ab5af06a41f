#include "TargetAttempt.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <limits>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <utility>

namespace berylridge {

namespace {

/// Maximum time for which sent bytes may stay unacknowledged by the target's VM. Behind a
/// network partition a pooled connection accepts a request and never responds, and the system
/// detects that only after minutes by default.
constexpr int tcpUserTimeoutMs = 1500;
constexpr std::size_t bodyBufferBytes = 16 << 10;
constexpr std::size_t readBufferBytes = 8 << 10;
constexpr std::size_t maxHeadBytes = 64 << 10;
/// Maximum size of a chunk's head or a trailer, which the parser reads only as a whole.
constexpr std::size_t maxChunkHeadBytes = 16 << 10;
static_assert(maxChunkHeadBytes + readBufferBytes <= maxHeadBytes, "the buffer has no more room");

/// Limits for late responses to earlier requests on a connection: the size of their bodies, and the
/// number of responses.
constexpr std::size_t maxStrayBytes = 1 << 20;
constexpr int maxStrayResponses = 4;

/// Returns the deadline that the core set for the first byte, or the maximum time if it set none.
Deadline::Clock::time_point sendDeadline(const Dispatch &dispatch)
{
    if (dispatch.notAfter == TimePoint())
        return Deadline::Clock::time_point::max();
    return Deadline::Clock::time_point(dispatch.notAfter.time_since_epoch());
}

AttemptFailure failureOf(const error_code &error)
{
    if (error == http::error::partial_message || error == asio::error::eof)
        return AttemptFailure::TruncatedResponse;
    if (error == http::error::end_of_stream)
        return AttemptFailure::Reset;
    if (error.category() == make_error_code(http::error::end_of_stream).category())
        return AttemptFailure::InvalidResponse;
    return AttemptFailure::Reset;
}

} // namespace

TargetAttempt::TargetAttempt(asio::io_context &context, ConnectionPool &pool, Metrics &metrics,
                             WireProtocolTraits traits, std::shared_ptr<AttemptOwner> owner,
                             const Dispatch &dispatch, TargetRequest request)
    : m_pool(pool)
    , m_metrics(metrics)
    , m_traits(traits)
    , m_owner(std::move(owner))
    , m_dispatch(dispatch)
    , m_request(std::move(request))
    , m_socket(context)
    , m_deadline(std::make_shared<Deadline>(context))
    , m_attemptDeadline(Clock::now() + dispatch.attemptTimeout)
    , m_lastByteAt(Clock::now())
    , m_buffer(maxHeadBytes)
{
}

void TargetAttempt::start()
{
    ++m_metrics.attemptsStarted;
    setDeadline(m_attemptDeadline);
    if (failIfHeld())
        return;
    // A target may close a pooled connection as idle while the request is on its way; it is then
    // unknown whether the request ran. For a request that must not be resent, the pool therefore
    // returns only connections that the target keeps open for longer than the request needs to
    // arrive.
    auto pooled = m_pool.take(m_dispatch.endpoint, m_dispatch.resendPolicy, Clock::now());
    if (!pooled) {
        connect();
        return;
    }
    ++m_metrics.connectionsReused;
    m_isReused = true;
    m_socket = std::move(*pooled);
    sendRequest();
}

void TargetAttempt::connect()
{
    const auto endpoint = asioEndpoint<tcp>(m_dispatch.endpoint);
    if (!endpoint) {
        fail(AttemptFailure::ConnectRefused);
        return;
    }
    m_isConnecting = true;
    m_deadline->move(std::min(
        {sendDeadline(m_dispatch), m_attemptDeadline, Clock::now() + m_dispatch.connectTimeout}));
    m_socket.async_connect(*endpoint, [self = shared_from_this()](error_code error) {
        if (self->m_isFinished)
            return;
        self->m_isConnecting = false;
        if (error) {
            self->fail(error == asio::error::connection_refused ? AttemptFailure::ConnectRefused
                                                                : AttemptFailure::ConnectTimeout);
            return;
        }
        error_code ignored;
        self->m_socket.set_option(tcp::no_delay(true), ignored);
        const asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT> limit(
            tcpUserTimeoutMs);
        self->m_socket.set_option(limit, ignored);
        if (!self->failIfHeld())
            self->sendRequest();
    });
}

bool TargetAttempt::failIfHeld()
{
    if (!m_owner->isTargetHeld())
        return false;
    fail(AttemptFailure::Withheld);
    return true;
}

void TargetAttempt::sendRequest()
{
    // The thread may have been paused since the core's decision. The lease may belong to another
    // node by now, and a request sent on it would exceed the target's capacity.
    if (Clock::now() > sendDeadline(m_dispatch)) {
        fail(AttemptFailure::Reset);
        return;
    }
    // Set before the first byte is written: a failed write may have sent some bytes, and such a
    // request must never be reported as "not run".
    m_sentAny = true;
    const std::array<asio::const_buffer, 2> bytes {
        asio::buffer(m_request.head), asio::buffer(m_request.body.data(), m_request.body.size())};
    // A failed write doesn't end the attempt: the target may have responded before it closed the
    // connection, and readHead() reads that response. A target may also respond before it has read
    // a long body.
    asio::async_write(
        m_socket, bytes,
        [self = shared_from_this()](const error_code &error, std::size_t size) {
            return self->m_isAwaitingWriteResult ? 0 : asio::transfer_all()(error, size);
        },
        [self = shared_from_this()](error_code error, std::size_t size) {
            self->onRequestWritten(error, size);
        });
    // A single limit covers the heads and bodies of all responses before the one to this request.
    const bool hasFirst = m_dispatch.firstByteTimeout > Duration(0);
    setReadTimeout(hasFirst ? m_dispatch.firstByteTimeout : m_dispatch.idleTimeout);
    readHead();
}

void TargetAttempt::onRequestWritten(error_code error, std::size_t size)
{
    const bool isWhole = size == m_request.head.size() + m_request.body.size();
    m_writeResult = !error && !isWhole ? error_code(asio::error::operation_aborted) : error;
    if (m_isAwaitingWriteResult)
        onRead(asio::error::eof, 0);
}

void TargetAttempt::readHead()
{
    m_parser.emplace();
    m_parser->header_limit(maxHeadBytes);
    // Sets a number instead of boost::none: this release of Beast treats a missing limit as zero if
    // the response has a length.
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_parser->skip(m_request.isHead);
    m_buffer.reserve(readBufferBytes);
    http::async_read_header(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](error_code error, std::size_t) { self->onHead(error); });
}

void TargetAttempt::onHead(error_code error)
{
    if (m_isFinished)
        return;
    if (m_isSuspended) {
        m_suspendedRead = [this, error] { onHead(error); };
        return;
    }
    if (error) {
        fail(failureOf(error));
        return;
    }
    m_lastByteAt = Clock::now();
    if (m_parser->isInterim()) {
        if (++m_interimResponses > m_parser->maxInterimResponses)
            fail(AttemptFailure::InvalidResponse);
        else
            readHead();
        return;
    }
    const ResponseHead &head = m_parser->get().base();
    // Nothing that such a head says can be relied on.
    if (!isSupported(head)) {
        fail(AttemptFailure::InvalidResponse);
        return;
    }
    const ResponseInfo facts = m_owner->inspect(head);
    if (!facts.isForThisRequest && m_isReused) {
        skipStrayResponse();
        return;
    }
    if (facts.isForThisRequest && !facts.advice.isEmpty())
        m_owner->onTargetAdvice(head.result_int(), facts.advice);
    if (!facts.isForThisRequest || !facts.isUsable || !hasSupportedEnd()) {
        fail(AttemptFailure::InvalidResponse);
        return;
    }
    m_isResponseEnd = m_parser->is_done();
    if (m_isResponseEnd && m_buffer.size() > 0 && !m_traits.ignoresTrailingBytes) {
        fail(AttemptFailure::InvalidResponse);
        return;
    }
    const auto owner = m_owner; // The owner may release this attempt during the call.
    if (const auto failure = owner->onResponseHead(head, !m_isResponseEnd)) {
        fail(*failure);
        return;
    }
    if (!m_isResponseEnd) {
        m_bodyBuffer.resize(bodyBufferBytes);
        readBody();
        return;
    }
    if (const auto failure = owner->onResponseBody({}, true))
        fail(*failure);
}

bool TargetAttempt::isSupported(const ResponseHead &head)
{
    // Any transfer coding other than chunked would remain in the body without a field that
    // announces it.
    const auto coding = head.find(http::field::transfer_encoding);
    const bool hasOtherCoding = coding != head.end() && !beast::iequals(coding->value(), "chunked");
    return !hasOtherCoding && head.result_int() != 101;
}

bool TargetAttempt::hasSupportedEnd() const
{
    // Without a length, the end of the connection ends the response, and a truncated one could be
    // mistaken for a complete one, unless the protocol's targets reset a connection that breaks.
    return m_traits.acceptsUnframedResponses || !m_parser->need_eof() || m_parser->is_done();
}

void TargetAttempt::skipStrayResponse()
{
    // A late response to an earlier request on this connection is discarded: its request no longer
    // exists, and the response to this request follows it. If it were relayed, a caller would
    // receive the response to another caller's request.
    m_isSkippingStrayResponse = true;
    if (m_parser->need_eof() || ++m_strayResponses > maxStrayResponses) {
        fail(AttemptFailure::InvalidResponse);
        return;
    }
    m_bodyBuffer.resize(bodyBufferBytes);
    readBody();
}

void TargetAttempt::readBody()
{
    if (!m_isSkippingStrayResponse)
        setReadTimeout(m_dispatch.idleTimeout);
    error_code error;
    const std::size_t size = parseBody(error);
    if (error) {
        fail(failureOf(error));
        return;
    }
    m_isResponseEnd = m_parser->is_done();
    if (size > 0 || m_isResponseEnd) {
        onBodyBytes(size);
        return;
    }
    if (m_buffer.size() > maxChunkHeadBytes) {
        fail(AttemptFailure::InvalidResponse);
        return;
    }
    m_socket.async_read_some(m_buffer.prepare(readBufferBytes),
                             [self = shared_from_this()](error_code readError, std::size_t read) {
                                 self->onRead(readError, read);
                             });
}

std::size_t TargetAttempt::parseBody(error_code &error)
{
    // Beast's own read operations wait for the next chunk's head before they return a chunk, which
    // would delay each token of a stream until the next one.
    auto &body = m_parser->get().body();
    body.data = m_bodyBuffer.data();
    body.size = m_bodyBuffer.size();
    body.more = true;
    while (m_buffer.size() > 0 && body.size > 0 && !m_parser->is_done() && !error)
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
    if (error == http::error::need_more || error == http::error::need_buffer)
        error = {};
    return m_bodyBuffer.size() - body.size;
}

void TargetAttempt::onRead(error_code error, std::size_t size)
{
    if (m_isFinished)
        return;
    if (m_isSuspended) {
        m_suspendedRead = [this, error, size] { onRead(error, size); };
        return;
    }
    m_buffer.commit(size);
    m_lastByteAt = Clock::now();
    if (error == asio::error::eof) {
        if (m_parser->need_eof() && !m_writeResult) {
            // The write may have failed already, or never end: the target needn't read the rest.
            m_isAwaitingWriteResult = true;
            error_code ignored;
            m_socket.cancel(ignored);
            return;
        }
        error = errorAtEndOfFile();
    }
    if (error) {
        fail(failureOf(error));
        return;
    }
    readBody();
}

/// Returns why a response whose connection has ended is not complete; no error if it is.
error_code TargetAttempt::errorAtEndOfFile()
{
    // The operating system reports the error of a connection only once. If the write was told of a
    // reset, reading meets an end of file that the target didn't send. If the target ended its side
    // before the reset, the write fails with broken_pipe.
    const error_code writeError = m_writeResult.value_or(error_code());
    const bool isBroken = writeError && writeError != asio::error::broken_pipe
        && writeError != asio::error::operation_aborted;
    if (m_parser->need_eof() && isBroken)
        return writeError;
    // Sets the error to what is missing. The end of a response without a length is no error.
    error_code error;
    m_parser->put_eof(error);
    return error;
}

void TargetAttempt::onBodyBytes(std::size_t size)
{
    if (m_isSkippingStrayResponse) {
        m_strayBytes += size;
        if (m_strayBytes > maxStrayBytes) {
            fail(AttemptFailure::InvalidResponse);
            return;
        }
        if (!m_isResponseEnd) {
            readBody();
            return;
        }
        m_isSkippingStrayResponse = false;
        readHead();
        return;
    }
    // Bytes after the announced end show that requests and responses on the connection are out of
    // step, so this response may belong to another request.
    if (m_isResponseEnd && m_buffer.size() > 0 && !m_traits.ignoresTrailingBytes) {
        fail(AttemptFailure::InvalidResponse);
        return;
    }
    // The time that a slow caller takes must not count towards the target's idle timeout.
    m_deadline->move(m_attemptDeadline);
    const auto owner = m_owner; // The owner may release this attempt during the call.
    if (const auto failure = owner->onResponseBody({m_bodyBuffer.data(), size}, m_isResponseEnd))
        fail(*failure);
}

void TargetAttempt::resume()
{
    if (m_isFinished)
        return;
    if (m_isResponseEnd) {
        finish();
        return;
    }
    readBody();
}

void TargetAttempt::finish()
{
    m_isFinished = true;
    m_deadline->stop();
    // The connection is not reusable if bytes are left over, or if the target still has to read the
    // rest of the request: the next request would be out of step with its response.
    if (m_parser->keep_alive() && isRequestSent() && m_buffer.size() == 0) {
        m_pool.put(m_dispatch.endpoint, std::move(m_socket),
                   announcedIdleTimeout(m_parser->get().base()), m_dispatch.idleConnectionLimit,
                   Clock::now());
    }
    close();
}

void TargetAttempt::fail(AttemptFailure failure)
{
    if (m_isFinished)
        return;
    ++m_metrics.attemptsFailed;
    if (failure == AttemptFailure::Reset || failure == AttemptFailure::Timeout)
        m_pool.drop(m_dispatch.endpoint);
    const auto owner = m_owner;
    close();
    owner->onAttemptFailed(failure, m_sentAny, silentFor());
}

void TargetAttempt::abort()
{
    if (!m_isFinished)
        close();
}

void TargetAttempt::close()
{
    m_isFinished = true;
    m_deadline->stop();
    m_suspendedRead = nullptr;
    error_code ignored;
    m_socket.close(ignored);
    m_owner.reset();
}

void TargetAttempt::setReadTimeout(Duration limit)
{
    m_readTimeout = limit;
    m_deadline->move(std::min(m_attemptDeadline, Clock::now() + limit));
}

void TargetAttempt::setDeadline(Clock::time_point due)
{
    m_deadline->set(due, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onTimeout();
    });
}

void TargetAttempt::onTimeout()
{
    if (m_isConnecting) {
        fail(AttemptFailure::ConnectTimeout);
        return;
    }
    const bool isDue = Clock::now() >= m_attemptDeadline;
    if (isDue || m_dispatch.silencePolicy == SilencePolicy::Fail)
        fail(AttemptFailure::Timeout);
    else
        onSilence();
}

void TargetAttempt::onSilence()
{
    error_code ignored;
    if (m_socket.available(ignored) > 0) {
        // This thread was late; the response is read next.
        setDeadline(std::min(m_attemptDeadline, Clock::now() + m_readTimeout));
        return;
    }
    setDeadline(m_attemptDeadline);
    // The target may have ended behind a network partition, and its idle connections with it.
    if (!std::exchange(m_wasSilent, true))
        m_pool.drop(m_dispatch.endpoint);
    m_isSuspended = true;
    const auto owner = m_owner; // The owner may release this attempt during the call.
    owner->onSilence(silentFor());
}

void TargetAttempt::continueAfterSilence(Duration limit)
{
    if (m_isFinished || !std::exchange(m_isSuspended, false))
        return;
    setReadTimeout(limit);
    if (const auto read = std::exchange(m_suspendedRead, nullptr))
        read();
}

Duration TargetAttempt::silentFor() const
{
    return std::chrono::duration_cast<Duration>(Clock::now() - m_lastByteAt);
}

} // namespace berylridge
