// Sends HTTP calls to one server, one at a time on a persistent connection. Used for load polls and
// for calls to the platform and to nodes.
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
    std::optional<AttemptFailure> failure; ///< Why there is no response.
    unsigned status = 0;
    std::string body;
};

/// Only for calls that can be repeated safely: a call that fails on a reused connection is sent
/// once more on a new one. Not thread-safe: runs on one thread.
class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
    using CompletionHandler = std::function<void(HttpReply)>;

    static constexpr std::uint64_t maxResponseBytes = 64 << 20;
    static constexpr std::size_t queueLimit = 64;

    /// Calls whose response has a larger body than the limit, in bytes, fail.
    HttpClient(asio::io_context &context, Endpoint endpoint,
               std::uint64_t responseLimit = maxResponseBytes);

    void get(std::string_view target, Duration timeout, CompletionHandler done);
    void post(std::string_view target, std::string body, Duration timeout, CompletionHandler done);

    /// Returns the number of calls that are queued or in progress.
    std::size_t pending() const { return m_calls.size(); }
    /// Cancels all calls without calling their handlers.
    void close();

private:
    /// The state that pending asynchronous operations use. They share its ownership, because an
    /// operation whose response has already arrived when the connection is closed still accesses it
    /// afterwards.
    struct Connection;

    struct Call
    {
        std::shared_ptr<const StringRequest> request; ///< Shared with the pending write.
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
    void receiveBody();
    /// Handles the end of an operation on the connection: calls next, or handles the error.
    void onOperationDone(const std::shared_ptr<Connection> &connection, error_code error,
                         void (HttpClient::*next)());
    void closeConnection();
    void onFailure(AttemptFailure failure);
    void onResponse();
    void complete(HttpReply reply);

    asio::io_context &m_context;
    const Endpoint m_endpoint;
    const std::uint64_t m_responseLimit;
    std::shared_ptr<Connection> m_connection; ///< Null if not connected.
    bool m_hasServedCall = false;             ///< Whether the connection has served a call before.
    std::deque<Call> m_calls;
};

} // namespace berylridge
