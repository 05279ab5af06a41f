// One attempt at a target: connects, sends the request, reads the answer piece by piece.
#pragma once

#include "ConnectionPool.h"
#include "Deadline.h"
#include "berylridge/Net/Asio.h"

#include "berylridge/Net/Metrics.h"
#include "berylridge/Net/WireProtocol.h"
#include "berylridge/Router/Actions.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylridge {

/// What an attempt tells the request that it serves, on the same thread.
class AttemptOwner
{
public:
    virtual ~AttemptOwner() = default;

    /// What a head says; asked before onResponseHead().
    virtual ResponseInfo inspect(const ResponseHead &head) const = 0;

    /// The request's own head came. A failure ends the attempt.
    virtual std::optional<AttemptFailure> onResponseHead(const ResponseHead &head, bool hasBody)
        = 0;

    /// The next piece of the body; nothing more is read until TargetAttempt::resume(), which is the
    /// back-pressure of a slow caller. The answer is whole where isEnd. A failure ends the attempt.
    virtual std::optional<AttemptFailure> onResponseBody(std::string_view bytes, bool isEnd) = 0;

    /// The attempt is over without a whole answer.
    virtual void onAttemptFailed(AttemptFailure failure, bool sentAny) = 0;
};

/// The bytes of a request as they go to a target.
struct TargetRequest
{
    std::string head;
    std::string_view body; ///< Of the caller's request, which outlives the attempt.
    bool isHead = false;   ///< The HEAD method: its answer has no body.
};

class TargetAttempt : public std::enable_shared_from_this<TargetAttempt>
{
public:
    TargetAttempt(asio::io_context &context, ConnectionPool &pool, Metrics &metrics,
                  WireProtocolTraits traits, std::shared_ptr<AttemptOwner> owner,
                  const Dispatch &dispatch, TargetRequest request);

    void start();
    /// The piece from onResponseBody() has been passed on.
    void resume();
    /// Closes the target's connection, which cancels; the owner hears nothing more.
    void abort();

    AttemptNumber number() const { return m_dispatch.attempt; }

private:
    using Clock = Deadline::Clock;

    void connect();
    void sendRequest();
    void readHead();
    void onHead(error_code error);
    bool hasSupportedFraming(const ResponseHead &head) const;
    void readBody();
    void skipStrayResponse();
    std::size_t parseBody(error_code &error);
    void onRead(error_code error, std::size_t size);
    void onBodyBytes(std::size_t size);
    void finish();
    void fail(AttemptFailure failure);
    void close();
    void setReadTimeout(Duration limit);
    void onTimeout();

    ConnectionPool &m_pool;
    Metrics &m_metrics;
    const WireProtocolTraits m_traits;
    std::shared_ptr<AttemptOwner> m_owner;
    Dispatch m_dispatch;
    TargetRequest m_request;
    tcp::socket m_socket;
    std::shared_ptr<Deadline> m_deadline;
    Clock::time_point m_attemptDeadline;
    beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    std::vector<char> m_bodyBuffer;
    bool m_isConnecting = false;
    bool m_sentAny = false;
    bool m_isRequestSent = false; ///< The operating system has taken the whole request.
    bool m_isReused = false;      ///< On a connection that served a request before.
    bool m_isSkippingStrayResponse
        = false; ///< The answer being read belongs to an earlier request.
    bool m_isResponseEnd = false;
    bool m_isFinished = false;
};

} // namespace berylridge
