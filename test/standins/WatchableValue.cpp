#include "WatchableValue.h"

#include "JsonText.h"

#include <algorithm>

namespace berylridge::standin {

namespace {

constexpr std::uint64_t maxWaitSeconds = 300;

} // namespace

WatchableValue::WatchableValue(boost::asio::io_context &io, std::string member)
    : m_io(io)
    , m_member(std::move(member))
    , m_history {Json::Value(Json::arrayValue)}
{
}

std::uint64_t WatchableValue::servedRevision() const
{
    return m_staleRevision != 0 ? m_staleRevision : m_history.size() - 1;
}

void WatchableValue::set(Json::Value value)
{
    m_history.push_back(std::move(value));
    respondToWaiters();
}

void WatchableValue::serveStaleRevision(std::uint64_t revision)
{
    const std::uint64_t last = m_history.size() - 1;
    m_staleRevision = revision == 0 ? last : std::min(revision, last);
}

void WatchableValue::serveLatestRevision()
{
    m_staleRevision = 0;
    respondToWaiters();
}

void WatchableValue::respond(const std::shared_ptr<Exchange> &exchange)
{
    const auto since = exchange->queryNumber("since", 0);
    const auto wait = std::min(exchange->queryNumber("wait", 0), maxWaitSeconds);
    if (servedRevision() > since)
        return send(exchange);
    if (wait == 0)
        return exchange->respond(304, "application/json", "");
    m_waiters.push_back({exchange, since});
    runAfter(m_io, std::chrono::seconds(wait), [this, exchange] {
        std::erase_if(m_waiters, [&](const Waiter &w) { return w.exchange == exchange; });
        exchange->respond(304, "application/json", "");
    });
}

void WatchableValue::send(const std::shared_ptr<Exchange> &exchange) const
{
    const auto revision = servedRevision();
    Json::Value response;
    response["revision"] = static_cast<Json::UInt64>(revision);
    response[m_member] = m_history[revision];
    exchange->respond(200, "application/json", toText(response));
}

void WatchableValue::respondToWaiters()
{
    const auto ready = std::partition(m_waiters.begin(), m_waiters.end(), [this](const Waiter &w) {
        return servedRevision() <= w.since;
    });
    const std::vector<Waiter> readyWaiters(ready, m_waiters.end());
    m_waiters.erase(ready, m_waiters.end());
    for (const auto &waiter : readyWaiters)
        send(waiter.exchange);
}

} // namespace berylridge::standin
