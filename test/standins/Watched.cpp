#include "Watched.h"

#include "JsonText.h"

#include <algorithm>

namespace berylridge::standin {

namespace {

constexpr std::uint64_t longestWait = 300; // seconds

} // namespace

Watched::Watched(boost::asio::io_context &io, std::string member)
    : m_io(io)
    , m_member(std::move(member))
    , m_history {Json::Value(Json::arrayValue)}
{
}

std::uint64_t Watched::shownRevision() const
{
    return m_staleRevision != 0 ? m_staleRevision : m_history.size() - 1;
}

void Watched::set(Json::Value value)
{
    m_history.push_back(std::move(value));
    wake();
}

void Watched::showStale(std::uint64_t revision)
{
    const std::uint64_t last = m_history.size() - 1;
    m_staleRevision = revision == 0 ? last : std::min(revision, last);
}

void Watched::showFresh()
{
    m_staleRevision = 0;
    wake();
}

void Watched::answer(const std::shared_ptr<Exchange> &exchange)
{
    const auto since = exchange->queryNumber("since", 0);
    const auto wait = std::min(exchange->queryNumber("wait", 0), longestWait);
    if (shownRevision() > since)
        return send(exchange);
    if (wait == 0)
        return exchange->answer(304, "application/json", "");
    m_waiters.push_back({exchange, since});
    runAfter(m_io, std::chrono::seconds(wait), [this, exchange] {
        std::erase_if(m_waiters, [&](const Waiter &w) { return w.exchange == exchange; });
        exchange->answer(304, "application/json", "");
    });
}

void Watched::send(const std::shared_ptr<Exchange> &exchange) const
{
    const auto revision = shownRevision();
    Json::Value answer;
    answer["revision"] = static_cast<Json::UInt64>(revision);
    answer[m_member] = m_history[revision];
    exchange->answer(200, "application/json", toText(answer));
}

void Watched::wake()
{
    const auto ready = std::partition(m_waiters.begin(), m_waiters.end(), [this](const Waiter &w) {
        return shownRevision() <= w.since;
    });
    const std::vector<Waiter> woken(ready, m_waiters.end());
    m_waiters.erase(ready, m_waiters.end());
    for (const auto &waiter : woken)
        send(waiter.exchange);
}

} // namespace berylridge::standin
