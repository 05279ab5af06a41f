// Pools the keep-alive connections of one traffic thread to targets, only those without unread
// bytes.
#pragma once

#include "berylridge/Net/Asio.h"

#include "berylridge/Router/Actions.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace berylridge {

/// Returns how long the server announces to keep an idle connection (RFC 2068, section 19.7.1.1);
/// nothing if it announces no time, or in another form.
std::optional<std::chrono::seconds> announcedIdleTimeout(const http::fields &head);

/// Not thread-safe.
class ConnectionPool
{
public:
    using Clock = std::chrono::steady_clock;

    /// Below the usual idle timeouts of servers, so that they seldom close a connection first.
    static constexpr std::chrono::seconds maxIdleTime {4};
    /// For a request that must not be resent, if the target announces no idle timeout. Servers
    /// announce whole seconds, so a server whose timeout is below one second announces none.
    static constexpr std::chrono::milliseconds maxIdleTimeWithoutResend {250};
    /// Fractions of an announced idle timeout during which a connection is used. The rest is
    /// reserved for the request's way to the target.
    static constexpr double idleFractionWithoutResend = 0.5;
    static constexpr double idleFractionWithResend = 0.8;

    /// Returns a connection on which nothing has arrived since its last response, and which the
    /// target won't close as idle while the request is on its way. Returns the most recently used
    /// one: it is the safest, and the others can be closed when the load decreases.
    std::optional<tcp::socket> take(const Endpoint &endpoint, ResendPolicy resendPolicy,
                                    Clock::time_point now);

    /// Adds a connection. Must be called only after a complete response without trailing bytes.
    /// `announced` is the target's idle timeout; at most `limit` idle connections to the
    /// target stay in the pool.
    void put(const Endpoint &endpoint, tcp::socket socket,
             std::optional<std::chrono::seconds> announced, std::size_t limit,
             Clock::time_point now);

    /// Closes the pooled connections to the target. Called after one of them broke or stopped
    /// responding, because the others may be broken too; a new connection shows whether the target
    /// is reachable before anything is sent.
    void drop(const Endpoint &endpoint) { m_idle.erase(endpoint); }

    /// Closes connections whose idle time has expired.
    void closeIdle(Clock::time_point now);

    void clear() { m_idle.clear(); }

private:
    struct Idle
    {
        tcp::socket socket;
        Clock::time_point usableWithResendUntil;    ///< For requests that may be resent.
        Clock::time_point usableWithoutResendUntil; ///< For requests that must not be resent.
    };

    std::map<Endpoint, std::vector<Idle>> m_idle;
};

} // namespace berylridge
