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
    using Done = std::function<void(HttpReply)>;

    static constexpr std::uint64_t answerLimit = 64 << 20;
    static constexpr std::size_t queueLimit = 64;

    HttpClient(asio::io_context &context, Endpoint endpoint);

    void get(std::string_view target, Duration timeout, Done done);
    void post(std::string_view target, std::string body, Duration timeout, Done done);

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
        Done done;
        bool isRepeated = false;
    };

    void enqueue(http::verb method, std::string_view target, std::string body, Duration timeout,
                 Done done);
    void begin();
    void connect();
    void send();
    void receive();
    /// An operation on the connection has ended: what comes next, unless it failed.
    void goOn(const std::shared_ptr<Connection> &connection, error_code error,
              void (HttpClient::*next)());
    void drop();
    void onFailure(AttemptFailure failure);
    void onAnswer();
    void complete(HttpReply reply);

    asio::io_context &m_context;
    const Endpoint m_endpoint;
    std::shared_ptr<Connection> m_connection; ///< Null where there is none.
    bool m_isKept = false;                    ///< The connection has served a call before.
    std::deque<Call> m_calls;
};

} // namespace berylridge
