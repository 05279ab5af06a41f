#include "TargetAttempt.h"

#include "CallerRequest.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <limits>

namespace berylridge {

namespace {

constexpr Duration connectTimeout = std::chrono::seconds(2);
constexpr std::size_t pieceBytes = 16 << 10;
constexpr std::size_t readBytes = 8 << 10;
constexpr std::size_t headLimit = 64 << 10;

/// The last moment for a first byte, as the core set it; without one, the end of time.
Deadline::Clock::time_point lastStart(const Dispatch &order)
{
    if (order.notAfter == TimePoint())
        return Deadline::Clock::time_point::max();
    return Deadline::Clock::time_point(order.notAfter.time_since_epoch());
}

bool isInterim(unsigned status)
{
    return status >= 100 && status < 200 && status != 101;
}

AttemptFailure failureOf(const error_code &error)
{
    if (error == http::error::partial_message || error == asio::error::eof)
        return AttemptFailure::CutShort;
    if (error == http::error::end_of_stream)
        return AttemptFailure::Reset;
    if (error.category() == make_error_code(http::error::end_of_stream).category())
        return AttemptFailure::BadAnswer;
    return AttemptFailure::Reset;
}

} // namespace

TargetAttempt::TargetAttempt(asio::io_context &context, ConnectionPool &pool, Metrics &metrics,
                             std::shared_ptr<AttemptOwner> owner, const Dispatch &order,
                             TargetRequest request)
    : m_pool(pool)
    , m_metrics(metrics)
    , m_owner(std::move(owner))
    , m_order(order)
    , m_request(std::move(request))
    , m_socket(context)
    , m_deadline(std::make_shared<Deadline>(context))
    , m_attemptEnd(Clock::now() + order.attemptTimeout)
    , m_buffer(headLimit)
{
}

void TargetAttempt::start()
{
    ++m_metrics.attemptsStarted;
    m_deadline->set(m_attemptEnd, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onOverdue();
    });
    // A target may close a kept connection just as the request is sent, and then nobody can tell
    // whether it ran. A request that must not be repeated therefore never goes on one.
    if (m_order.isIdempotent) {
        if (auto kept = m_pool.take(m_order.endpoint)) {
            ++m_metrics.connectionsReused;
            m_socket = std::move(*kept);
            sendRequest();
            return;
        }
    }
    connect();
}

void TargetAttempt::connect()
{
    const auto endpoint = asioEndpoint<tcp>(m_order.endpoint);
    if (!endpoint) {
        fail(AttemptFailure::ConnectRefused);
        return;
    }
    m_isConnecting = true;
    m_deadline->move(std::min(lastStart(m_order), Clock::now() + connectTimeout));
    m_socket.async_connect(*endpoint, [self = shared_from_this()](error_code error) {
        if (self->m_isOver)
            return;
        self->m_isConnecting = false;
        if (error) {
            self->fail(error == asio::error::connection_refused ? AttemptFailure::ConnectRefused
                                                                : AttemptFailure::ConnectTimeout);
            return;
        }
        error_code ignored;
        self->m_socket.set_option(tcp::no_delay(true), ignored);
        self->sendRequest();
    });
}

void TargetAttempt::sendRequest()
{
    // This thread may have been paused since the core decided: the lease may be another node's by
    // now, and a request sent on it would be one too many for the target.
    if (Clock::now() > lastStart(m_order)) {
        fail(AttemptFailure::Reset);
        return;
    }
    // Set before the first byte is handed over: a write that fails may have sent some of it, and
    // "not run" must never be said of such a request.
    m_sentAny = true;
    expectWithin(m_order.idleTimeout);
    const std::array<asio::const_buffer, 2> bytes {
        asio::buffer(m_request.head), asio::buffer(m_request.body.data(), m_request.body.size())};
    asio::async_write(m_socket, bytes, [self = shared_from_this()](error_code error, std::size_t) {
        if (self->m_isOver)
            return;
        if (error) {
            self->fail(AttemptFailure::Reset);
            return;
        }
        self->readHead();
    });
}

void TargetAttempt::readHead()
{
    m_parser.emplace();
    m_parser->header_limit(headLimit);
    // Not "none": this release of Beast takes a missing limit for zero where a length is given.
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_parser->skip(m_request.isHead);
    m_buffer.reserve(readBytes);
    expectWithin(m_order.idleTimeout);
    http::async_read_header(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](error_code error, std::size_t) { self->onHead(error); });
}

void TargetAttempt::onHead(error_code error)
{
    if (m_isOver)
        return;
    if (error) {
        fail(failureOf(error));
        return;
    }
    const AnswerHead &head = m_parser->get().base();
    if (isInterim(head.result_int())) {
        readHead();
        return;
    }
    const auto attemptId = head.find(beastView(fields::attemptId));
    const bool isOther = attemptId != head.end() && view(attemptId->value()) != m_request.attemptId;
    // Another coding than chunks would stay in the body, with nothing to tell of it.
    const auto coding = head.find(http::field::transfer_encoding);
    const bool isCoded = coding != head.end() && !beast::iequals(coding->value(), "chunked");
    if (isOther || isCoded || head.result_int() == 101) {
        fail(AttemptFailure::BadAnswer);
        return;
    }
    // Without a length the end of the connection would be the end of the answer, and one cut short
    // could be taken for whole.
    if (m_parser->need_eof() && !m_parser->is_done()) {
        fail(AttemptFailure::BadAnswer);
        return;
    }
    m_isEnd = m_parser->is_done();
    if (m_isEnd && m_buffer.size() > 0) {
        fail(AttemptFailure::BadAnswer);
        return;
    }
    const auto owner = m_owner; // The owner may let go of this attempt meanwhile.
    if (const auto failure = owner->acceptHead(head, !m_isEnd)) {
        fail(*failure);
        return;
    }
    if (!m_isEnd) {
        m_piece.resize(pieceBytes);
        readBody();
        return;
    }
    if (const auto failure = owner->acceptBody({}, true))
        fail(*failure);
}

void TargetAttempt::readBody()
{
    expectWithin(m_order.idleTimeout);
    error_code error;
    const std::size_t size = parseBody(error);
    if (error) {
        fail(failureOf(error));
        return;
    }
    m_isEnd = m_parser->is_done();
    if (size > 0 || m_isEnd) {
        onPiece(size);
        return;
    }
    m_socket.async_read_some(m_buffer.prepare(readBytes),
                             [self = shared_from_this()](error_code readError, std::size_t read) {
                                 self->onRead(readError, read);
                             });
}

std::size_t TargetAttempt::parseBody(error_code &error)
{
    // Beast's own read operations wait for the next chunk's head before they hand out a chunk,
    // which would hold back each token of a stream until the next one.
    auto &body = m_parser->get().body();
    body.data = m_piece.data();
    body.size = m_piece.size();
    body.more = true;
    while (m_buffer.size() > 0 && body.size > 0 && !m_parser->is_done() && !error)
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
    if (error == http::error::need_more || error == http::error::need_buffer)
        error = {};
    return m_piece.size() - body.size;
}

void TargetAttempt::onRead(error_code error, std::size_t size)
{
    if (m_isOver)
        return;
    m_buffer.commit(size);
    if (error == asio::error::eof)
        m_parser->put_eof(error); // Says what is missing; no answer without a length comes here.
    if (error) {
        fail(failureOf(error));
        return;
    }
    readBody();
}

void TargetAttempt::onPiece(std::size_t size)
{
    // Bytes beyond the announced end: the connection is out of step, and so may be this answer.
    if (m_isEnd && m_buffer.size() > 0) {
        fail(AttemptFailure::BadAnswer);
        return;
    }
    // A slow caller's time is not the target's silence.
    m_deadline->move(m_attemptEnd);
    const auto owner = m_owner; // The owner may let go of this attempt meanwhile.
    if (const auto failure = owner->acceptBody({m_piece.data(), size}, m_isEnd))
        fail(*failure);
}

void TargetAttempt::resume()
{
    if (m_isOver)
        return;
    if (m_isEnd) {
        finish();
        return;
    }
    readBody();
}

void TargetAttempt::finish()
{
    m_isOver = true;
    m_deadline->stop();
    if (m_parser->keep_alive())
        m_pool.put(m_order.endpoint, std::move(m_socket));
    close();
}

void TargetAttempt::fail(AttemptFailure failure)
{
    if (m_isOver)
        return;
    ++m_metrics.attemptsFailed;
    const auto owner = m_owner;
    close();
    owner->attemptFailed(failure, m_sentAny);
}

void TargetAttempt::abort()
{
    if (!m_isOver)
        close();
}

void TargetAttempt::close()
{
    m_isOver = true;
    m_deadline->stop();
    error_code ignored;
    m_socket.close(ignored);
    m_owner.reset();
}

void TargetAttempt::expectWithin(Duration limit)
{
    m_deadline->move(std::min(m_attemptEnd, Clock::now() + limit));
}

void TargetAttempt::onOverdue()
{
    fail(m_isConnecting ? AttemptFailure::ConnectTimeout : AttemptFailure::Timeout);
}

} // namespace berylridge
