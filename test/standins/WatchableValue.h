// A value with a revision that callers read or wait on, as the platform's service offers it.
#pragma once

#include "HttpServer.h"

#include <cstdint>
#include <deque>
#include <json/json.h>
#include <memory>
#include <vector>

namespace berylridge::standin {

class WatchableValue
{
public:
    /// The respond's member that holds the value, as in "documents".
    WatchableValue(boost::asio::io_context &io, std::string member);

    const Json::Value &value() const { return m_history.back(); }
    /// Puts a new value under the next revision and wakes who waits, unless stale.
    void set(Json::Value value);

    /// Answers at once where there is a revision above ?since, else waits up to ?wait seconds.
    void respond(const std::shared_ptr<Exchange> &exchange);

    /// Shows an old revision, whatever is set, until shown fresh again. 0 means the last one.
    void serveStaleRevision(std::uint64_t revision);
    void serveLatestRevision();

private:
    std::uint64_t servedRevision() const;
    void send(const std::shared_ptr<Exchange> &exchange) const;
    void respondToWaiters();

    boost::asio::io_context &m_io;
    std::string m_member;
    std::deque<Json::Value> m_history; ///< The value of revision r is at r.
    std::uint64_t m_staleRevision = 0; ///< 0 while fresh.
    struct Waiter
    {
        std::shared_ptr<Exchange> exchange;
        std::uint64_t since;
    };
    std::vector<Waiter> m_waiters;
};

} // namespace berylridge::standin
