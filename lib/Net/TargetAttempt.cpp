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

/// For bytes that the target's machine has not acknowledged. Behind a network partition a pooled
/// connection takes a request and stays silent; the system then gives up only after minutes.
constexpr int tcpUserTimeoutMs = 1500;
constexpr std::size_t bodyBufferBytes = 16 << 10;
constexpr std::size_t readBufferBytes = 8 << 10;
constexpr std::size_t maxHeadBytes = 64 << 10;

/// The last moment for a first byte, as the core set it; without one, the end of time.
Deadline::Clock::time_point sendDeadline(const Dispatch &dispatch)
{
    if (dispatch.notAfter == TimePoint())
        return Deadline::Clock::time_point::max();
    return Deadline::Clock::time_point(dispatch.notAfter.time_since_epoch());
}

bool isInterim(unsigned status)
{
    return status >= 100 && status < 200 && status != 101;
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
    , m_buffer(maxHeadBytes)
{
}

void TargetAttempt::start()
{
    ++m_metrics.attemptsStarted;
    m_deadline->set(m_attemptDeadline, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onTimeout();
    });
    // A target may close a pooled connection as idle just as the request is sent, and then nobody
    // can tell whether it ran. The pool gives a request that must not be repeated only what the
    // target keeps open for longer than the request's way.
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
        self->sendRequest();
    });
}

void TargetAttempt::sendRequest()
{
    // This thread may have been paused since the core decided: the lease may be another node's by
    // now, and a request sent on it would be one too many for the target.
    if (Clock::now() > sendDeadline(m_dispatch)) {
        fail(AttemptFailure::Reset);
        return;
    }
    // Set before the first byte is handed over: a write that fails may have sent some of it, and
    // "not run" must never be said of such a request.
    m_sentAny = true;
    const std::array<asio::const_buffer, 2> bytes {
        asio::buffer(m_request.head), asio::buffer(m_request.body.data(), m_request.body.size())};
    // A failed write is not the end: the target may have answered before it broke off, and what it
    // said is read below. A target may also answer before it has read a long body.
    asio::async_write(m_socket, bytes, [self = shared_from_this()](error_code error, std::size_t) {
        self->m_isRequestSent = !error;
    });
    readHead();
}

void TargetAttempt::readHead()
{
    m_parser.emplace();
    m_parser->header_limit(maxHeadBytes);
    // Not "none": this release of Beast takes a missing limit for zero where a length is given.
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_parser->skip(m_request.isHead);
    m_buffer.reserve(readBufferBytes);
    const bool hasFirst = m_dispatch.firstByteTimeout > Duration(0);
    setReadTimeout(hasFirst ? m_dispatch.firstByteTimeout : m_dispatch.idleTimeout);
    http::async_read_header(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](error_code error, std::size_t) { self->onHead(error); });
}

void TargetAttempt::onHead(error_code error)
{
    if (m_isFinished)
        return;
    if (error) {
        fail(failureOf(error));
        return;
    }
    const ResponseHead &head = m_parser->get().base();
    if (isInterim(head.result_int())) {
        readHead();
        return;
    }
    const ResponseInfo facts = m_owner->inspect(head);
    if (!facts.isForThisRequest && m_isReused) {
        skipStrayResponse();
        return;
    }
    if (!facts.isForThisRequest || !facts.isUsable || !hasSupportedFraming(head)) {
        fail(AttemptFailure::InvalidResponse);
        return;
    }
    m_isResponseEnd = m_parser->is_done();
    if (m_isResponseEnd && m_buffer.size() > 0 && !m_traits.ignoresTrailingBytes) {
        fail(AttemptFailure::InvalidResponse);
        return;
    }
    const auto owner = m_owner; // The owner may let go of this attempt meanwhile.
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

bool TargetAttempt::hasSupportedFraming(const ResponseHead &head) const
{
    // Another coding than chunks would stay in the body, with nothing to tell of it.
    const auto coding = head.find(http::field::transfer_encoding);
    if (coding != head.end() && !beast::iequals(coding->value(), "chunked"))
        return false;
    if (head.result_int() == 101)
        return false;
    // Without a length the end of the connection is the end of the answer, and one cut short could
    // be taken for whole, unless the protocol's targets reset a connection that breaks.
    return m_traits.acceptsUnframedResponses || !m_parser->need_eof() || m_parser->is_done();
}

void TargetAttempt::skipStrayResponse()
{
    // A late answer to an earlier request on this connection: it belongs to nobody any more, and
    // the request's own answer stands behind it. Passed on, it would give a caller another one's
    // answer.
    m_isSkippingStrayResponse = true;
    if (m_parser->need_eof()) {
        fail(AttemptFailure::InvalidResponse);
        return;
    }
    m_bodyBuffer.resize(bodyBufferBytes);
    readBody();
}

void TargetAttempt::readBody()
{
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
    m_socket.async_read_some(m_buffer.prepare(readBufferBytes),
                             [self = shared_from_this()](error_code readError, std::size_t read) {
                                 self->onRead(readError, read);
                             });
}

std::size_t TargetAttempt::parseBody(error_code &error)
{
    // Beast's own read operations wait for the next chunk's head before they hand out a chunk,
    // which would hold back each token of a stream until the next one.
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
    m_buffer.commit(size);
    if (error == asio::error::eof) {
        // Says what is missing; the end of an answer without a length is no error.
        error = {};
        m_parser->put_eof(error);
    }
    if (error) {
        fail(failureOf(error));
        return;
    }
    readBody();
}

void TargetAttempt::onBodyBytes(std::size_t size)
{
    if (m_isSkippingStrayResponse) {
        if (!m_isResponseEnd) {
            readBody();
            return;
        }
        m_isSkippingStrayResponse = false;
        readHead();
        return;
    }
    // Bytes beyond the announced end: the connection is out of step, and so may be this answer.
    if (m_isResponseEnd && m_buffer.size() > 0 && !m_traits.ignoresTrailingBytes) {
        fail(AttemptFailure::InvalidResponse);
        return;
    }
    // A slow caller's time is not the target's silence.
    m_deadline->move(m_attemptDeadline);
    const auto owner = m_owner; // The owner may let go of this attempt meanwhile.
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
    // A connection with bytes left over, or on which the target still has to read the rest of the
    // request, is out of step with the next one.
    if (m_parser->keep_alive() && m_isRequestSent && m_buffer.size() == 0)
        m_pool.put(m_dispatch.endpoint, std::move(m_socket),
                   announcedIdleTimeout(m_parser->get().base()), m_dispatch.idleConnectionLimit,
                   Clock::now());
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
    owner->onAttemptFailed(failure, m_sentAny);
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
    error_code ignored;
    m_socket.close(ignored);
    m_owner.reset();
}

void TargetAttempt::setReadTimeout(Duration limit)
{
    m_deadline->move(std::min(m_attemptDeadline, Clock::now() + limit));
}

void TargetAttempt::onTimeout()
{
    fail(m_isConnecting ? AttemptFailure::ConnectTimeout : AttemptFailure::Timeout);
}

} // namespace berylridge
