#include "Exchange.h"

#include "CallerRequest.h"
#include "CallerSession.h"
#include "TrafficThread.h"
#include "WireText.h"

#include <boost/beast/http/chunk_encode.hpp>
#include <utility>

namespace berylridge {

namespace {

constexpr std::string_view eventStreamType = "text/event-stream";

bool isEventStream(const AnswerHead &head, bool hasBody)
{
    const std::string_view type = view(head[http::field::content_type]);
    return hasBody && head.result_int() == 200 && type.size() >= eventStreamType.size()
        && beast::iequals(beastView(type.substr(0, eventStreamType.size())),
                          beastView(eventStreamType))
        && head.count(http::field::content_encoding) == 0;
}

/// Whether an answer may be held until it is whole; one without a length ends with its connection.
bool isSmall(const AnswerHead &head)
{
    const auto length = head.find(http::field::content_length);
    if (length == head.end())
        return true;
    return length->value().size() < std::to_string(Exchange::keptLimit).size();
}

template <typename Buffers>
void appendBuffers(const Buffers &buffers, std::string &out)
{
    for (const asio::const_buffer buffer : beast::buffers_range_ref(buffers))
        out.append(static_cast<const char *>(buffer.data()), buffer.size());
}

} // namespace

Exchange::Exchange(TrafficThread &thread, std::shared_ptr<CallerSession> session,
                   const RequestArrived &arrived, StringRequest request)
    : m_thread(thread)
    , m_session(std::move(session))
    , m_handle(arrived.handle)
    , m_requestId(arrived.requestId)
    , m_path(arrived.path)
    , m_callersLastId(std::string(view(request[beastView(fields::lastEventId)])))
    , m_request(std::move(request))
    , m_keepsConnection(m_request.keep_alive() && thread.keepsConnections())
    , m_arrival(std::chrono::steady_clock::now())
{
}

void Exchange::dispatch(const Dispatch &order)
{
    if (m_attempt)
        m_attempt->abort();
    m_attempt.reset();
    m_held.reset();
    m_order = order;
    if (m_isBegun && !m_stream) {
        // Only an event stream can go on elsewhere; anything else would be glued from two answers.
        attemptFailed(AttemptFailure::InvalidResponse, false);
        return;
    }
    if (m_stream)
        m_stream->beginAttempt();
    m_attempt = std::make_shared<TargetAttempt>(m_thread.context(), m_thread.pool(),
                                                m_thread.metrics(), m_thread.protocol().rules,
                                                shared_from_this(), order, targetRequest(order));
    const auto attempt = m_attempt; // start() may fail at once and let go of it.
    attempt->start();
}

std::string Exchange::attemptId() const
{
    return m_thread.options().idPrefix + std::to_string(m_handle) + "."
        + std::to_string(m_order.attempt);
}

TargetRequest Exchange::targetRequest(const Dispatch &order) const
{
    const WireProtocolHandle &protocol = m_thread.protocol();
    RequestHead head;
    head.version(11);
    head.method_string(m_request.method_string());
    head.target(beastView(m_path));
    const std::string_view connection = view(m_request[http::field::connection]);
    for (const auto &field : m_request) {
        const std::string_view name = view(field.name_string());
        const bool isLength = field.name() == http::field::content_length;
        if (!isLength && !isHopByHop(name, connection) && protocol.passesRequestField(name))
            head.insert(field.name_string(), field.value());
    }
    TargetRequest request;
    request.isHead = m_request.method() == http::verb::head;
    request.body = m_request.body();
    const std::string id = attemptId();
    const std::string &lastId = m_isBegun ? m_stream->lastId() : m_callersLastId;
    protocol.completeRequestHead(m_request, order, {m_requestId, id, lastId}, head);
    const bool hasLength = m_request.has_content_length() || !m_request.body().empty();
    if (hasLength)
        head.set(http::field::content_length, std::to_string(m_request.body().size()));
    appendWireText(head, true, request.head);
    return request;
}

AnswerFacts Exchange::inspect(const AnswerHead &head) const
{
    const std::string id = attemptId();
    return m_thread.protocol().readAnswer(head, {m_requestId, id, {}});
}

std::optional<AttemptFailure> Exchange::acceptHead(const AnswerHead &head, bool hasBody)
{
    AnswerFacts facts = inspect(head);
    m_bootId = std::move(facts.bootId);
    m_coldFor = facts.coldFor;
    const bool isStream = isEventStream(head, hasBody);
    if (facts.failure) {
        m_held.emplace().failure = facts.failure;
        m_held->isPassable = facts.isPassable;
        if (!m_isBegun)
            buildHead(head, hasBody);
        return std::nullopt;
    }
    if (m_isBegun && !isStream)
        return AttemptFailure::InvalidResponse;
    if (!m_isBegun) {
        m_stream.reset();
        m_bodyBytes = 0;
        const WireRules &rules = m_thread.protocol().rules;
        if (isStream)
            m_stream.emplace(rules.streamsEndWithMark).setLastId(m_callersLastId);
        if (!isStream && rules.buffersSmallAnswers && isSmall(head))
            m_held.emplace();
        if (m_order.storesResponse)
            m_kept.emplace();
        buildHead(head, hasBody);
    }
    m_thread.report(AttemptHead {m_handle, m_order.attempt, m_head.result_int(), m_bootId});
    return std::nullopt;
}

void Exchange::buildHead(const AnswerHead &head, bool hasBody)
{
    m_head = {};
    m_head.version(11);
    m_head.result(head.result_int());
    m_head.reason(head.reason());
    const std::string_view connection = view(head[http::field::connection]);
    for (const auto &field : head) {
        const std::string_view name = view(field.name_string());
        const bool isLength = field.name() == http::field::content_length;
        // A stream that is resumed elsewhere has another length than the first replica announced.
        if (isHopByHop(name, connection) || !m_thread.protocol().passesAnswerField(name)
            || (isLength && m_stream))
            continue;
        m_head.insert(field.name_string(), field.value());
    }
    m_thread.protocol().completeAnswerHead(m_requestId, m_head);
    const bool isChunked = hasBody && m_head.count(http::field::content_length) == 0;
    if (isChunked)
        m_head.set(http::field::transfer_encoding, "chunked");
    if (!isKept())
        m_head.set(http::field::connection, "close");
}

void Exchange::hold(std::string_view bytes, bool isEnd)
{
    const auto attempt = m_attempt;
    m_held->body.append(bytes);
    m_held->isWhole = isEnd;
    if (m_held->body.size() > keptLimit && !m_held->failure) {
        const std::string held = std::move(m_held->body);
        m_held.reset();
        passOn(held, isEnd);
        return;
    }
    if (!isEnd) {
        attempt->resume();
        return;
    }
    if (!m_held->failure) {
        const std::string held = std::move(m_held->body);
        m_held.reset();
        passOn(held, true);
        return;
    }
    m_attempt.reset();
    attempt->resume(); // Gives the connection back.
    reportHeldFailure();
}

void Exchange::reportHeldFailure()
{
    // A failure that is too large to be kept, or was itself cut short, can't be passed on.
    const bool hasHeldResponse
        = m_held->isWhole && m_held->isPassable && !m_isBegun && m_held->body.size() <= keptLimit;
    m_thread.report(AttemptFailed {m_handle, m_order.attempt, *m_held->failure, true, m_isBegun,
                                   hasHeldResponse, m_coldFor});
    if (!m_session)
        m_thread.end(m_handle);
}

void Exchange::passAnswer(const RelayHeldResponse &order)
{
    if (!m_held || m_order.attempt != order.attempt)
        return;
    const std::string body = std::move(m_held->body);
    m_held.reset();
    m_stream.reset();
    finish(takeIn(body, true));
}

std::optional<AttemptFailure> Exchange::acceptBody(std::string_view bytes, bool isEnd)
{
    if (m_held) {
        hold(bytes, isEnd);
        return std::nullopt;
    }
    if (!m_stream) {
        passOn(bytes, isEnd);
        return std::nullopt;
    }
    std::string events;
    const bool isUsable = m_stream->feed(bytes, events);
    const bool isCut = isEnd && !m_stream->isDone();
    if (isUsable && !isCut) {
        passOn(events, isEnd);
        return std::nullopt;
    }
    // Whole events before the fault are passed on: a resumed stream begins after them.
    if (m_session && !events.empty())
        m_session->write(takeIn(events, false), [] {});
    return isUsable ? AttemptFailure::TruncatedResponse : AttemptFailure::InvalidResponse;
}

std::string Exchange::takeIn(std::string_view bytes, bool isEnd)
{
    keep(bytes);
    m_bodyBytes += bytes.size();
    std::string out;
    if (!m_session)
        return out;
    if (!std::exchange(m_isBegun, true)) {
        countFirstByte();
        appendWireText(m_head, true, out);
    }
    appendBody(bytes, isEnd, out);
    return out;
}

void Exchange::passOn(std::string_view bytes, bool isEnd)
{
    const auto attempt = m_attempt;
    if (bytes.empty() && !isEnd) {
        attempt->resume();
        return;
    }
    std::string out = takeIn(bytes, isEnd);
    if (isEnd) {
        finish(std::move(out));
        attempt->resume();
        return;
    }
    if (!m_session) {
        attempt->resume();
        return;
    }
    m_awaitsWrite = true;
    m_session->write(std::move(out), [self = shared_from_this(), attempt] {
        if (self->m_attempt != attempt)
            return;
        self->m_awaitsWrite = false;
        attempt->resume();
    });
}

void Exchange::finish(std::string lastBytes)
{
    const auto session = m_session;
    const bool isConnectionKept = isKept() && m_head.keep_alive();
    reportDone();
    end(Verdict::Ran);
    if (session)
        session->write(std::move(lastBytes),
                       [session, isConnectionKept] { session->endExchange(isConnectionKept); });
}

void Exchange::appendBody(std::string_view bytes, bool isEnd, std::string &out)
{
    if (!m_head.chunked()) {
        out.append(bytes);
        return;
    }
    if (!bytes.empty())
        appendBuffers(http::make_chunk(asio::buffer(bytes.data(), bytes.size())), out);
    if (isEnd)
        appendBuffers(http::make_chunk_last(), out);
}

void Exchange::keep(std::string_view bytes)
{
    if (!m_kept)
        return;
    if (m_kept->size() + bytes.size() > keptLimit)
        m_kept.reset();
    else
        m_kept->append(bytes);
}

void Exchange::reportDone()
{
    AttemptDone done {m_handle, m_order.attempt, m_head.result_int(), m_bootId, m_bodyBytes, {},
                      {}};
    if (m_kept) {
        for (const auto &field : m_head) {
            const std::string_view name = view(field.name_string());
            const bool isOwn = !m_thread.protocol().passesAnswerField(name) || isHopByHop(name, {});
            if (!isOwn && field.name() != http::field::content_length)
                done.storedHeaders.push_back({std::string(name), std::string(view(field.value()))});
        }
        done.storedBody = std::move(m_kept);
        m_kept.reset();
    }
    m_thread.report(std::move(done));
}

void Exchange::attemptFailed(AttemptFailure failure, bool sentAny)
{
    m_attempt.reset();
    m_awaitsWrite = false;
    if (m_held && m_held->failure) {
        reportHeldFailure(); // The head said enough, though its body never came.
        return;
    }
    m_held.reset();
    m_thread.report(AttemptFailed {m_handle, m_order.attempt, failure, sentAny, m_isBegun});
    if (!m_session)
        m_thread.end(m_handle);
}

void Exchange::abort(AttemptNumber attempt)
{
    if (!m_attempt || m_attempt->number() != attempt)
        return;
    m_attempt->abort();
    m_attempt.reset();
    if (!m_session)
        m_thread.end(m_handle);
}

void Exchange::refuse(const Refuse &order)
{
    m_thread.metrics().addRefusal(order.type);
    if (m_session && m_isBegun) {
        const auto session = std::exchange(m_session, nullptr);
        end(order.verdict);
        session->cut();
        return;
    }
    answer(m_thread.protocol().problemAnswer(problemOf(order), m_requestId), order.verdict);
}

void Exchange::answerKept(const SendStoredResponse &order)
{
    StringResponse response;
    response.version(11);
    response.result(order.status);
    for (const KeyHeader &header : order.headers)
        response.insert(header.name, header.value);
    CallerAnswerHead own;
    m_thread.protocol().completeAnswerHead(m_requestId, own);
    for (const auto &field : own)
        response.set(field.name_string(), field.value());
    response.body() = order.body;
    response.prepare_payload();
    answer(std::move(response), Verdict::Ran);
}

void Exchange::answer(StringResponse response, Verdict verdict)
{
    const auto session = m_session;
    const bool isConnectionKept = isKept();
    end(verdict);
    if (!session)
        return;
    countFirstByte();
    response.keep_alive(isConnectionKept);
    if (m_request.method() == http::verb::head)
        response.body().clear();
    session->write(wireText(response),
                   [session, isConnectionKept] { session->endExchange(isConnectionKept); });
}

void Exchange::callerGone()
{
    if (!m_session)
        return;
    m_session.reset();
    ++m_thread.metrics().callersGone;
    m_thread.report(CallerGone {m_handle});
    if (!m_attempt) {
        m_thread.end(m_handle);
        return;
    }
    if (std::exchange(m_awaitsWrite, false))
        m_attempt->resume();
}

void Exchange::countFirstByte()
{
    m_thread.metrics().firstByte.add(
        std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - m_arrival));
}

void Exchange::end(Verdict verdict)
{
    if (verdict != Verdict::Ran && m_attempt)
        m_attempt->abort();
    m_attempt.reset();
    m_session.reset();
    ++m_thread.metrics().requestsByVerdict[static_cast<std::size_t>(verdict)];
    m_thread.metrics().whole.add(
        std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - m_arrival));
    m_thread.end(m_handle);
}

bool Exchange::isKept() const
{
    return m_keepsConnection && !m_thread.isLeaving();
}

} // namespace berylridge
