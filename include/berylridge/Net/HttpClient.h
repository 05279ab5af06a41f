// Calls to one HTTP server, one after another on a kept connection: load polls, platform, nodes.
#pragma once

#include "berylridge/Net/Asio.h"

#include "berylridge/Router/Events.h"
#include "berylridge/Support/Time.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace berylridge {

struct HttpReply
{
    std::optional<AttemptFailure> failure; ///< Why there is no answer.
    unsigned status = 0;
    std::string body;
};

/// For calls that may be repeated: one that fails on a kept connection is sent once more on a new
/// one. Lives on one thread.
class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
    using CompletionHandler = std::function<void(HttpReply)>;

    static constexpr std::uint64_t maxResponseBytes = 64 << 20;
    static constexpr std::size_t queueLimit = 64;

    HttpClient(asio::io_context &context, Endpoint endpoint);

    void get(std::string_view target, Duration timeout, CompletionHandler done);
    void post(std::string_view target, std::string body, Duration timeout, CompletionHandler done);

    /// Calls that are waiting or under way.
    std::size_t pending() const { return m_calls.size(); }
    /// Drops all calls; none is answered.
    void close();

private:
    /// What operations under way refer to. They own it: one whose answer has already come when the
    /// connection is given up still touches it after that.
    struct Connection;

    struct Call
    {
        std::shared_ptr<const StringRequest> request; ///< Shared with the write under way.
        Duration timeout;
        CompletionHandler done;
        bool isRetried = false;
    };

    void enqueue(http::verb method, std::string_view target, std::string body, Duration timeout,
                 CompletionHandler done);
    void startCall();
    void connect();
    void send();
    void receive();
    /// An operation on the connection has ended: what comes next, unless it failed.
    void onOperationDone(const std::shared_ptr<Connection> &connection, error_code error,
                         void (HttpClient::*next)());
    void closeConnection();
    void onFailure(AttemptFailure failure);
    void onResponse();
    void complete(HttpReply reply);

    asio::io_context &m_context;
    const Endpoint m_endpoint;
    std::shared_ptr<Connection> m_connection; ///< Null where there is none.
    bool m_hasServedCall = false;             ///< The connection has served a call before.
    std::deque<Call> m_calls;
};

} // namespace berylridge
