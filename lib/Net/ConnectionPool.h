// Keep-alive connections of one traffic thread to targets, clean ones only.
#pragma once

#include "berylridge/Net/Asio.h"

#include "berylridge/Router/Actions.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace berylridge {

/// How long the server says that it keeps an idle connection (RFC 2068, 19.7.1.1); nothing where it
/// doesn't say, or says it in another form.
std::optional<std::chrono::seconds> announcedIdleTimeout(const http::fields &head);

/// Not safe for use by two threads at once.
class ConnectionPool
{
public:
    using Clock = std::chrono::steady_clock;

    /// Below the idle limits that servers usually have, so that they seldom close first.
    static constexpr std::chrono::seconds maxIdleTime {4};
    /// For a request that may run once, where the target tells no limit of its own: a limit that is
    /// announced in seconds is left out below one.
    static constexpr std::chrono::milliseconds maxIdleTimeWithoutResend {250};
    /// Parts of a announced limit that may pass; the rest is the request's way there.
    static constexpr double idleFractionWithoutResend = 0.5;
    static constexpr double idleFractionWithResend = 0.8;

    /// A connection on which nothing has arrived since its last answer, and which the target won't
    /// close as idle while the request is on its way. The one used last: it is the safest, and the
    /// others can be closed when the load falls.
    std::optional<tcp::socket> take(const Endpoint &endpoint, ResendPolicy resendPolicy,
                                    Clock::time_point now);

    /// Only after a whole answer, with no byte left over. `announced` is the target's idle limit;
    /// at most `limit` connections are kept to the target.
    void put(const Endpoint &endpoint, tcp::socket socket,
             std::optional<std::chrono::seconds> announced, std::size_t limit,
             Clock::time_point now);

    /// Closes what is kept to the target: a connection to it broke or fell silent, so the others
    /// are in doubt. A new one shows at once, with nothing sent, whether the target is there.
    void drop(const Endpoint &endpoint) { m_idle.erase(endpoint); }

    /// Closes what has been idle for too long.
    void closeIdle(Clock::time_point now);

    void clear() { m_idle.clear(); }

private:
    struct Idle
    {
        tcp::socket socket;
        Clock::time_point usableWithResendUntil;    ///< For requests that may be repeated.
        Clock::time_point usableWithoutResendUntil; ///< For requests that may run once.
    };

    std::map<Endpoint, std::vector<Idle>> m_idle;
};

} // namespace berylridge
