// Performs one attempt at a target: connects, sends the request and reads the response in pieces.
#pragma once

#include "ConnectionPool.h"
#include "Deadline.h"
#include "berylridge/Net/Asio.h"

#include "berylridge/Net/Metrics.h"
#include "berylridge/Net/ResponseParser.h"
#include "berylridge/Net/WireProtocol.h"
#include "berylridge/Router/Actions.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylridge {

/// Receives the results of an attempt, on the same thread, for the request that it serves.
class AttemptOwner
{
public:
    virtual ~AttemptOwner() = default;

    /// Returns whether the target has asked for no requests since the attempt was dispatched.
    virtual bool isTargetHeld() const = 0;

    /// Interprets a response head. Called before onResponseHead().
    virtual ResponseInfo inspect(const ResponseHead &head) const = 0;

    /// Called with the advice of a response to this request, whether it is usable or not.
    virtual void onTargetAdvice(unsigned status, const TargetAdvice &advice) = 0;

    /// Called when the response head of this request has arrived. A returned failure ends the
    /// attempt.
    virtual std::optional<AttemptFailure> onResponseHead(const ResponseHead &head, bool hasBody)
        = 0;

    /// Called with the next piece of the body. Nothing more is read until TargetAttempt::resume()
    /// is called, which applies the back-pressure of a slow caller. The response is complete if
    /// isEnd. A returned failure ends the attempt.
    virtual std::optional<AttemptFailure> onResponseBody(std::string_view bytes, bool isEnd) = 0;

    /// Called when the target has been silent for longer than the attempt's limit. Nothing more is
    /// read until TargetAttempt::continueAfterSilence().
    virtual void onSilence(Duration silentFor) = 0;

    /// Called when the attempt has ended without a complete response. silentFor is the time since
    /// the target's last byte, or since the attempt's start.
    virtual void onAttemptFailed(AttemptFailure failure, bool sentAny, Duration silentFor) = 0;
};

/// The bytes of a request as sent to a target.
struct TargetRequest
{
    std::string head;
    std::string_view body; ///< Points into the caller's request, which outlives the attempt.
    bool isHead = false;   ///< The method is HEAD, so the response has no body.
};

class TargetAttempt : public std::enable_shared_from_this<TargetAttempt>
{
public:
    TargetAttempt(asio::io_context &context, ConnectionPool &pool, Metrics &metrics,
                  WireProtocolTraits traits, std::shared_ptr<AttemptOwner> owner,
                  const Dispatch &dispatch, TargetRequest request);

    void start();
    /// Continues after the piece passed to onResponseBody() has been forwarded.
    void resume();
    /// Goes on after AttemptOwner::onSilence(). The owner is called again after another silence of
    /// this time.
    void continueAfterSilence(Duration limit);
    /// Closes the target's connection, which cancels the request. The owner receives no further
    /// calls.
    void abort();

    AttemptNumber number() const { return m_dispatch.attempt; }

private:
    using Clock = Deadline::Clock;

    bool failIfHeld();
    void connect();
    void sendRequest();
    void onRequestWritten(error_code error, std::size_t size);
    bool isRequestSent() const { return m_writeResult && !*m_writeResult; }
    void readHead();
    void onHead(error_code error);
    /// Returns whether the response's status and coding are among those that can be relayed.
    static bool isSupported(const ResponseHead &head);
    /// Returns whether the end of the response can be told from a truncation.
    bool hasSupportedEnd() const;
    void readBody();
    void skipStrayResponse();
    std::size_t parseBody(error_code &error);
    void onRead(error_code error, std::size_t size);
    error_code errorAtEndOfFile();
    void onBodyBytes(std::size_t size);
    void finish();
    void fail(AttemptFailure failure);
    void close();
    void setReadTimeout(Duration limit);
    void setDeadline(Clock::time_point due);
    void onTimeout();
    void onSilence();
    Duration silentFor() const;

    ConnectionPool &m_pool;
    Metrics &m_metrics;
    const WireProtocolTraits m_traits;
    std::shared_ptr<AttemptOwner> m_owner;
    Dispatch m_dispatch;
    TargetRequest m_request;
    tcp::socket m_socket;
    std::shared_ptr<Deadline> m_deadline;
    Clock::time_point m_attemptDeadline;
    Clock::time_point m_lastByteAt; ///< When the target last sent something, or the start.
    beast::flat_buffer m_buffer;
    std::optional<ResponseParser<http::buffer_body>> m_parser;
    std::vector<char> m_bodyBuffer;
    int m_interimResponses = 0;   ///< Number of the interim responses so far.
    std::size_t m_strayBytes = 0; ///< Body bytes of the responses to earlier requests.
    int m_strayResponses = 0;     ///< Number of the responses to earlier requests.
    bool m_isConnecting = false;
    bool m_sentAny = false;
    /// Why the request was not sent whole, or no error if the operating system has accepted all of
    /// it. Empty while it is being written.
    std::optional<error_code> m_writeResult;
    bool m_isAwaitingWriteResult
        = false; ///< The response has ended; the write, which is being ended, tells how.
    bool m_isReused = false; ///< The connection served an earlier request.
    bool m_isSkippingStrayResponse
        = false; ///< The response being read belongs to an earlier request.
    bool m_isResponseEnd = false;
    Duration m_readTimeout {0};            ///< Current limit for a silence of the target.
    bool m_wasSilent = false;              ///< A silence was reported.
    bool m_isSuspended = false;            ///< Waits for continueAfterSilence().
    std::function<void()> m_suspendedRead; ///< Handles what arrived meanwhile.
    bool m_isFinished = false;
};

} // namespace berylridge
