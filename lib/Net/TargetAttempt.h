// One attempt at a target: connects, sends the request, reads the answer piece by piece.
#pragma once

#include "Asio.h"
#include "ConnectionPool.h"
#include "Deadline.h"

#include "berylridge/Net/Metrics.h"
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

using AnswerHead = http::response_header<>;

/// What an attempt tells the request that it serves, on the same thread.
class AttemptOwner
{
public:
    virtual ~AttemptOwner() = default;

    /// The head came, with the request's own id. A failure ends the attempt.
    virtual std::optional<AttemptFailure> acceptHead(const AnswerHead &head, bool hasBody) = 0;

    /// The next piece of the body; nothing more is read until TargetAttempt::resume(), which is the
    /// back-pressure of a slow caller. The answer is whole where isEnd. A failure ends the attempt.
    virtual std::optional<AttemptFailure> acceptBody(std::string_view bytes, bool isEnd) = 0;

    /// The attempt is over without a whole answer.
    virtual void attemptFailed(AttemptFailure failure, bool sentAny) = 0;
};

/// The bytes of a request as they go to a target.
struct TargetRequest
{
    std::string head;
    std::string_view body; ///< Of the caller's request, which outlives the attempt.
    std::string attemptId;
    bool isHead = false; ///< The HEAD method: its answer has no body.
};

class TargetAttempt : public std::enable_shared_from_this<TargetAttempt>
{
public:
    TargetAttempt(asio::io_context &context, ConnectionPool &pool, Metrics &metrics,
                  std::shared_ptr<AttemptOwner> owner, const Dispatch &order,
                  TargetRequest request);

    void start();
    /// The piece from acceptBody() has been passed on.
    void resume();
    /// Closes the target's connection, which cancels; the owner hears nothing more.
    void abort();

    AttemptNumber number() const { return m_order.attempt; }

private:
    using Clock = Deadline::Clock;

    void connect();
    void sendRequest();
    void readHead();
    void onHead(error_code error);
    void readBody();
    std::size_t parseBody(error_code &error);
    void onRead(error_code error, std::size_t size);
    void onPiece(std::size_t size);
    void finish();
    void fail(AttemptFailure failure);
    void close();
    void expectWithin(Duration limit);
    void onOverdue();

    ConnectionPool &m_pool;
    Metrics &m_metrics;
    std::shared_ptr<AttemptOwner> m_owner;
    Dispatch m_order;
    TargetRequest m_request;
    tcp::socket m_socket;
    std::shared_ptr<Deadline> m_deadline;
    Clock::time_point m_attemptEnd;
    beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    std::vector<char> m_piece;
    bool m_isConnecting = false;
    bool m_sentAny = false;
    bool m_isEnd = false;
    bool m_isOver = false;
};

} // namespace berylridge
