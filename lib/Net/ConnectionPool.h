// Keep-alive connections of one traffic thread to targets, clean ones only.
#pragma once

#include "berylridge/Net/Asio.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace berylridge {

/// Not safe for use by two threads at once.
class ConnectionPool
{
public:
    /// Below the idle limits that servers usually have, so that they seldom close first.
    static constexpr std::chrono::seconds idleLimit {4};
    static constexpr std::size_t limitPerTarget = 64;

    /// A connection on which nothing has arrived since its last answer.
    std::optional<tcp::socket> take(const Endpoint &endpoint);

    /// Only after a whole answer, with no byte left over.
    void put(const Endpoint &endpoint, tcp::socket socket);

    /// Closes what has been idle for too long.
    void closeIdle();

    void clear() { m_idle.clear(); }

private:
    struct Idle
    {
        tcp::socket socket;
        std::chrono::steady_clock::time_point since;
    };

    std::map<Endpoint, std::vector<Idle>> m_idle;
};

} // namespace berylridge
