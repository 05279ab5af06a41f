#include "Exchange.h"

#include "CallerRequest.h"
#include "CallerSession.h"
#include "HttpSerialization.h"
#include "TrafficThread.h"
#include "berylridge/Support/Hash.h"

#include <boost/beast/http/chunk_encode.hpp>
#include <utility>

namespace berylridge {

namespace {

constexpr std::string_view eventStreamType = "text/event-stream";
/// Memory of a string that grows, per byte of its size.
constexpr std::size_t growthFactor = 2;

bool isEventStream(const ResponseHead &head, bool hasBody)
{
    const std::string_view type = view(head[http::field::content_type]);
    return hasBody && head.result_int() == 200 && type.size() >= eventStreamType.size()
        && beast::iequals(beastView(type.substr(0, eventStreamType.size())),
                          beastView(eventStreamType))
        && head.count(http::field::content_encoding) == 0;
}

/// Returns whether a response may be held until it is complete. A response without a length ends
/// with its connection.
bool isBufferable(const ResponseHead &head)
{
    const auto length = head.find(http::field::content_length);
    if (length == head.end())
        return true;
    return length->value().size() < std::to_string(Exchange::maxStoredResponseBytes).size();
}

bool isUnframed(const ResponseHead &head, bool hasBody)
{
    return hasBody && head.count(http::field::content_length) == 0
        && head.count(http::field::transfer_encoding) == 0;
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
    , m_credential(hash32(arrived.credential))
    , m_hasPrompt(arrived.prompt.has_value())
    , m_callerLastEventId(std::string(view(request[beastView(fields::lastEventId)])))
    , m_request(std::move(request))
    , m_requestBytes(thread.callerMemory())
    , m_isKeepAliveAllowed(m_request.keep_alive() && thread.allowsKeepAlive())
    , m_arrival(std::chrono::steady_clock::now())
{
}

void Exchange::dispatch(const Dispatch &command)
{
    if (m_attempt)
        m_attempt->abort();
    m_attempt.reset();
    m_heldResponse.reset();
    if (m_dispatch.attempt == 0 && m_hasPrompt)
        m_thread.onAccepted(m_credential);
    m_dispatch = command;
    m_dispatchedAt = std::chrono::steady_clock::now();
    if (!m_session) {
        // The caller disconnected before the command arrived.
        onAttemptFailed(AttemptFailure::Reset, false, {});
        return;
    }
    if (!canContinueElsewhere()) {
        onAttemptFailed(AttemptFailure::InvalidResponse, false, {});
        return;
    }
    if (m_stream)
        m_stream->beginAttempt();
    updateHeldBytes();
    m_thread.metrics().streamsContinued += command.isResumed ? 1 : 0;
    if (!command.originBasis.empty())
        m_thread.metrics().countResumedStream(command.originBasis);
    m_attempt = std::make_shared<TargetAttempt>(
        m_thread.context(), m_thread.pool(), m_thread.metrics(), m_thread.protocol().traits,
        shared_from_this(), command, targetRequest(command));
    const auto attempt = m_attempt; // start() may fail immediately and reset m_attempt.
    attempt->start();
}

std::string Exchange::attemptId() const
{
    return m_thread.options().idPrefix + std::to_string(m_handle) + "."
        + std::to_string(m_dispatch.attempt);
}

TargetRequest Exchange::targetRequest(const Dispatch &command) const
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
        if (!isLength && !isHopByHop(name, connection) && protocol.forwardsRequestField(name))
            head.insert(field.name_string(), field.value());
    }
    TargetRequest request;
    request.isHead = m_request.method() == http::verb::head;
    request.body = m_request.body();
    const std::string id = attemptId();
    const std::string &lastId = m_isResponseStarted ? m_stream->lastId() : m_callerLastEventId;
    protocol.completeRequestHead(m_request, command, {m_requestId, id, lastId}, head);
    const bool hasLength = m_request.has_content_length() || !m_request.body().empty();
    if (hasLength)
        head.set(http::field::content_length, std::to_string(m_request.body().size()));
    appendSerializedHttp(head, true, request.head);
    return request;
}

ResponseInfo Exchange::inspect(const ResponseHead &head) const
{
    const std::string id = attemptId();
    return m_thread.protocol().readResponseHead(head, {m_requestId, id, {}});
}

bool Exchange::isTargetHeld() const
{
    return m_thread.targetHolds().contains(m_dispatch.target, m_dispatch.targetBoot,
                                           m_thread.options().now());
}

void Exchange::onTargetAdvice(unsigned status, const TargetAdvice &advice)
{
    m_thread.metrics().countTargetAdvice(advice);
    if (const auto hold = advice.holdTime())
        m_thread.targetHolds().add(m_dispatch.target, m_dispatch.targetBoot, *hold,
                                   m_thread.options().now());
    m_thread.report(TargetAdviceArrived {m_dispatch.target, m_dispatch.targetBoot, status, advice});
}

std::optional<AttemptFailure> Exchange::onResponseHead(const ResponseHead &head, bool hasBody)
{
    ResponseInfo facts = inspect(head);
    m_bootId = std::move(facts.bootId);
    m_endsWithConnection = isUnframed(head, hasBody);
    const bool isStream = isEventStream(head, hasBody);
    if (facts.failure) {
        m_heldResponse.emplace().failure = facts.failure;
        m_heldResponse->status = head.result_int();
        m_heldResponse->isRelayable = facts.isRelayable;
        if (!m_isResponseStarted)
            buildResponseHead(head, hasBody);
        return std::nullopt;
    }
    if (m_isResponseStarted && !isStream)
        return AttemptFailure::InvalidResponse;
    if (!m_isResponseStarted) {
        m_stream.reset();
        m_bodyBytes = 0;
        const WireProtocolTraits &traits = m_thread.protocol().traits;
        if (isStream)
            m_stream.emplace(traits.streamsEndWithDoneEvent).setLastId(m_callerLastEventId);
        if (!isStream && traits.buffersSmallResponses && isBufferable(head))
            m_heldResponse.emplace();
        if (m_dispatch.storesResponse)
            m_storedBody.emplace();
        buildResponseHead(head, hasBody);
    }
    recordEstimateError();
    m_thread.report(AttemptHead {m_handle, m_dispatch.attempt, m_head.result_int(), m_bootId});
    return std::nullopt;
}

void Exchange::buildResponseHead(const ResponseHead &head, bool hasBody)
{
    m_head = {};
    m_head.version(11);
    m_head.result(head.result_int());
    m_head.reason(head.reason());
    const std::string_view connection = view(head[http::field::connection]);
    for (const auto &field : head) {
        const std::string_view name = view(field.name_string());
        const bool isLength = field.name() == http::field::content_length;
        // A stream that is resumed elsewhere has another length than the one the first target
        // announced.
        if (isHopByHop(name, connection) || !m_thread.protocol().forwardsResponseField(name)
            || (isLength && m_stream))
            continue;
        m_head.insert(field.name_string(), field.value());
    }
    m_thread.protocol().completeResponseHead(m_requestId, m_head);
    const bool isChunked = hasBody && m_head.count(http::field::content_length) == 0;
    if (isChunked)
        m_head.set(http::field::transfer_encoding, "chunked");
}

std::size_t Exchange::countHeldBytes() const
{
    std::size_t bytes = m_stream ? m_stream->incompleteBytes() : 0;
    bytes += m_heldResponse ? m_heldResponse->body.size() : 0;
    bytes += m_storedBody ? m_storedBody->size() : 0;
    return growthFactor * bytes + m_unwrittenBytes;
}

/// Counts further bytes as held if the limit of the process allows them.
bool Exchange::canHold(std::size_t bytes)
{
    return m_heldBytes.resize(countHeldBytes() + growthFactor * bytes);
}

/// Writes to the caller's connection. The body bytes in the piece count as held until it is
/// written.
void Exchange::writePiece(std::string out, std::size_t bodyBytes, std::function<void()> written)
{
    m_unwrittenBytes += bodyBytes;
    updateHeldBytes();
    m_session->write(std::move(out),
                     [self = shared_from_this(), bodyBytes, written = std::move(written)] {
                         self->m_unwrittenBytes -= bodyBytes;
                         self->updateHeldBytes();
                         written();
                     });
}

void Exchange::bufferHeldBody(std::string_view bytes, bool isEnd, bool isHoldable)
{
    const auto attempt = m_attempt;
    m_heldResponse->body.append(bytes);
    m_heldResponse->isComplete = isEnd;
    if (!isHoldable && !m_heldResponse->failure) {
        const std::string heldBody = std::move(m_heldResponse->body);
        m_heldResponse.reset();
        relayBody(heldBody, isEnd);
        return;
    }
    if (!isEnd) {
        attempt->resume();
        return;
    }
    if (!m_heldResponse->failure) {
        const std::string heldBody = std::move(m_heldResponse->body);
        m_heldResponse.reset();
        relayBody(heldBody, true);
        return;
    }
    m_attempt.reset();
    attempt->resume(); // Returns the connection to the pool.
    reportHeldFailure();
}

void Exchange::reportHeldFailure()
{
    // An error response that is too large to be held, or was truncated itself, can't be relayed.
    const bool hasHeldResponse
        = m_heldResponse->isComplete && m_heldResponse->isRelayable && !m_isResponseStarted;
    m_thread.report(AttemptFailed {m_handle, m_dispatch.attempt, *m_heldResponse->failure, true,
                                   m_isResponseStarted, hasHeldResponse, m_heldResponse->status,
                                   Duration(0), canContinueElsewhere()});
    if (!m_session)
        m_thread.removeExchange(m_handle);
}

void Exchange::relayHeldResponse(const RelayHeldResponse &command)
{
    if (!m_heldResponse || m_dispatch.attempt != command.attempt)
        return;
    const std::string body = std::move(m_heldResponse->body);
    m_heldResponse.reset();
    m_stream.reset();
    finish(encodeForCaller(body, true));
}

/// Returns whether the connection ended after the head of a success. Without a length, a target
/// that ended there looks like an empty body.
bool Exchange::isBodyMissing(std::string_view bytes, bool isEnd) const
{
    const bool isSuccess = http::to_status_class(m_head.result()) == http::status_class::successful;
    const std::size_t received
        = m_bodyBytes + bytes.size() + (m_heldResponse ? m_heldResponse->body.size() : 0);
    return isEnd && m_endsWithConnection && isSuccess && received == 0;
}

std::optional<AttemptFailure> Exchange::onResponseBody(std::string_view bytes, bool isEnd)
{
    if (isBodyMissing(bytes, isEnd))
        return AttemptFailure::TruncatedResponse;
    if (m_heldResponse) {
        const bool isHoldable = m_heldResponse->body.size() + bytes.size() <= maxStoredResponseBytes
            && canHold(bytes.size());
        // An error above the limit can't be relayed, so the rest of its body is not read.
        if (m_heldResponse->failure && !isHoldable)
            return m_heldResponse->failure;
        bufferHeldBody(bytes, isEnd, isHoldable);
        return std::nullopt;
    }
    if (!m_stream) {
        relayBody(bytes, isEnd);
        return std::nullopt;
    }
    if (!canHold(bytes.size()))
        return AttemptFailure::InvalidResponse;
    std::string events;
    const bool isUsable = m_stream->feed(bytes, events);
    // Without a length, the end of a target before its first event looks like an empty stream.
    const bool isMissingEvents = m_endsWithConnection && !m_stream->hasEvents();
    const bool isCut = isEnd && (!m_stream->isDone() || isMissingEvents);
    if (isUsable && !isCut) {
        relayBody(events, isEnd);
        return std::nullopt;
    }
    // Relays the complete events before the fault, because a resumed stream starts after them.
    if (m_session && !events.empty())
        writePiece(encodeForCaller(events, false), events.size(), [] {});
    return isUsable ? AttemptFailure::TruncatedResponse : AttemptFailure::InvalidResponse;
}

std::string Exchange::encodeForCaller(std::string_view bytes, bool isEnd)
{
    storeBody(bytes);
    m_bodyBytes += bytes.size();
    std::string out;
    if (!m_session)
        return out;
    if (!std::exchange(m_isResponseStarted, true)) {
        recordFirstByteLatency();
        if (!shouldKeepAlive())
            m_head.set(http::field::connection, "close");
        appendSerializedHttp(m_head, true, out);
    }
    if (m_stream && m_stream->hasEvents() && !std::exchange(m_isFirstEventReported, true))
        m_thread.report(FirstEventRelayed {m_handle, m_dispatch.attempt});
    appendBody(bytes, isEnd, out);
    return out;
}

void Exchange::relayBody(std::string_view bytes, bool isEnd)
{
    const auto attempt = m_attempt;
    if (bytes.empty() && !isEnd) {
        attempt->resume();
        return;
    }
    std::string out = encodeForCaller(bytes, isEnd);
    if (isEnd) {
        finish(std::move(out));
        attempt->resume();
        return;
    }
    if (!m_session) {
        attempt->resume();
        return;
    }
    m_isAwaitingWrite = true;
    writePiece(std::move(out), bytes.size(), [this, attempt] {
        if (m_attempt != attempt)
            return;
        m_isAwaitingWrite = false;
        attempt->resume();
    });
}

void Exchange::finish(std::string lastBytes)
{
    const auto session = m_session;
    // The caller relies on what the head said, even if a planned stop has begun since.
    const bool isKeepAlive = m_head.keep_alive();
    reportAttemptDone();
    end(Verdict::Ran);
    if (session)
        session->write(std::move(lastBytes),
                       [session, isKeepAlive] { session->endExchange(isKeepAlive); });
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

void Exchange::storeBody(std::string_view bytes)
{
    if (!m_storedBody)
        return;
    if (m_storedBody->size() + bytes.size() > maxStoredResponseBytes || !canHold(bytes.size()))
        m_storedBody.reset();
    else
        m_storedBody->append(bytes);
}

void Exchange::reportAttemptDone()
{
    AttemptDone done {m_handle, m_dispatch.attempt, m_head.result_int(), m_bootId, m_bodyBytes, {},
                      {}};
    if (m_storedBody) {
        for (const auto &field : m_head) {
            const std::string_view name = view(field.name_string());
            const bool isRouterField
                = !m_thread.protocol().forwardsResponseField(name) || isHopByHop(name, {});
            if (!isRouterField && field.name() != http::field::content_length)
                done.storedHeaders.push_back({std::string(name), std::string(view(field.value()))});
        }
        done.storedBody = std::move(m_storedBody);
        m_storedBody.reset();
    }
    done.endedWithConnection = m_endsWithConnection;
    m_thread.metrics().responsesEndedWithConnection += m_endsWithConnection ? 1 : 0;
    m_thread.report(std::move(done));
}

void Exchange::onAttemptFailed(AttemptFailure failure, bool sentAny, Duration silentFor)
{
    m_attempt.reset();
    m_isAwaitingWrite = false;
    if (m_stream)
        m_stream->discardIncompleteEvent();
    updateHeldBytes();
    if (m_heldResponse && m_heldResponse->failure) {
        reportHeldFailure(); // The head was sufficient, although the body never arrived.
        return;
    }
    m_heldResponse.reset();
    m_thread.report(AttemptFailed {m_handle, m_dispatch.attempt, failure, sentAny,
                                   m_isResponseStarted, false, 0, silentFor,
                                   canContinueElsewhere()});
    if (!m_session)
        m_thread.removeExchange(m_handle);
}

void Exchange::onSilence(Duration silentFor)
{
    m_thread.report(AttemptSilent {m_handle, m_dispatch.attempt, m_isResponseStarted,
                                   canContinueElsewhere(), silentFor});
}

void Exchange::continueAttempt(const ContinueAttempt &command)
{
    const auto attempt = m_attempt; // Reading may end it.
    if (attempt && attempt->number() == command.attempt)
        attempt->continueAfterSilence(command.silenceLimit);
}

void Exchange::abort(AttemptNumber attempt)
{
    if (!m_attempt || m_attempt->number() != attempt)
        return;
    m_attempt->abort();
    m_attempt.reset();
    if (m_stream)
        m_stream->discardIncompleteEvent();
    updateHeldBytes();
    if (!m_session)
        m_thread.removeExchange(m_handle);
}

void Exchange::refuse(const Refuse &command)
{
    m_thread.metrics().countRejectedRequest(command.type);
    if (command.isOverShare)
        m_thread.onOverShare(m_credential, command.retryAfter);
    if (m_session && m_isResponseStarted) {
        const auto session = std::exchange(m_session, nullptr);
        end(command.verdict);
        session->abortConnection(command.type);
        return;
    }
    sendResponse(m_thread.protocol().buildProblemResponse(problemOf(command), m_requestId),
                 command.verdict);
}

void Exchange::reportCut(const std::string &reason)
{
    m_thread.metrics().countCutResponse(reason);
    m_thread.report(ResponseCut {m_requestId, reason, m_bodyBytes});
}

void Exchange::sendStoredResponse(const SendStoredResponse &command)
{
    StringResponse response;
    response.version(11);
    response.result(command.status);
    for (const KeyHeader &header : command.headers)
        response.insert(header.name, header.value);
    CallerResponseHead own;
    m_thread.protocol().completeResponseHead(m_requestId, own);
    for (const auto &field : own)
        response.set(field.name_string(), field.value());
    response.body() = command.body;
    response.prepare_payload();
    sendResponse(std::move(response), Verdict::Ran);
}

void Exchange::sendResponse(StringResponse response, Verdict verdict)
{
    const auto session = m_session;
    const bool isKeepAlive = shouldKeepAlive();
    end(verdict);
    if (!session)
        return;
    recordFirstByteLatency();
    response.keep_alive(isKeepAlive);
    if (m_request.method() == http::verb::head)
        response.body().clear();
    session->write(serializeHttp(response),
                   [session, isKeepAlive] { session->endExchange(isKeepAlive); });
}

void Exchange::onCallerDisconnected()
{
    if (!m_session)
        return;
    m_session.reset();
    m_unwrittenBytes = 0;
    updateHeldBytes();
    ++m_thread.metrics().callerDisconnects;
    m_thread.report(CallerGone {m_handle});
    if (!m_attempt) {
        m_thread.removeExchange(m_handle);
        return;
    }
    if (std::exchange(m_isAwaitingWrite, false))
        m_attempt->resume();
}

void Exchange::recordFirstByteLatency()
{
    m_thread.metrics().firstByteLatency.add(
        std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - m_arrival));
}

void Exchange::recordEstimateError()
{
    if (m_dispatch.expectedFirstByte <= Duration(0))
        return;
    const auto since
        = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - m_dispatchedAt);
    const Duration error = since - m_dispatch.expectedFirstByte;
    if (error >= Duration(0))
        m_thread.metrics().firstByteAfterEstimate.add(error);
    else
        m_thread.metrics().firstByteBeforeEstimate.add(-error);
}

void Exchange::end(Verdict verdict)
{
    if (verdict != Verdict::Ran && m_attempt)
        m_attempt->abort();
    m_attempt.reset();
    m_session.reset();
    ++m_thread.metrics().requestsByVerdict[static_cast<std::size_t>(verdict)];
    m_thread.metrics().requestLatency.add(
        std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - m_arrival));
    m_thread.removeExchange(m_handle);
}

bool Exchange::shouldKeepAlive() const
{
    return m_isKeepAliveAllowed && !m_thread.isLeaving();
}

} // namespace berylridge
