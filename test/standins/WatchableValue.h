// A value with revisions that callers read, or watch by long polling, as in the platform's service.
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
    /// The member is the response's JSON key of the value, as in "documents".
    WatchableValue(boost::asio::io_context &io, std::string member);

    const Json::Value &value() const { return m_history.back(); }
    /// Stores the value under the next revision and responds to waiting callers, unless a stale
    /// revision is served.
    void set(Json::Value value);

    /// Responds at once if the served revision is above ?since, else waits for one for up to ?wait
    /// seconds.
    void respond(const std::shared_ptr<Exchange> &exchange);

    /// Serves an old revision, regardless of newer values, until serveLatestRevision() is called.
    /// 0 means the latest revision at the time of the call.
    void serveStaleRevision(std::uint64_t revision);
    void serveLatestRevision();

private:
    std::uint64_t servedRevision() const;
    void send(const std::shared_ptr<Exchange> &exchange) const;
    void respondToWaiters();

    boost::asio::io_context &m_io;
    std::string m_member;
    std::deque<Json::Value> m_history; ///< The value of revision r is at index r.
    std::uint64_t m_staleRevision = 0; ///< 0 while the latest revision is served.
    struct Waiter
    {
        std::shared_ptr<Exchange> exchange;
        std::uint64_t since;
    };
    std::vector<Waiter> m_waiters;
};

} // namespace berylridge::standin
