#include "Orders.h"

#include "JsonText.h"

#include <array>
#include <utility>

namespace berylridge::standin {

namespace {

std::optional<Misbehaviour> misbehaviourNamed(std::string_view name)
{
    constexpr std::array<std::pair<std::string_view, Misbehaviour>, 8> names {{
        {"none", Misbehaviour::None},
        {"hang", Misbehaviour::Hang},
        {"cut-before", Misbehaviour::CutBefore},
        {"cut-answer", Misbehaviour::CutAnswer},
        {"late", Misbehaviour::Late},
        {"crossed", Misbehaviour::Crossed},
        {"over-long", Misbehaviour::OverLong},
        {"server-error", Misbehaviour::ServerError},
    }};
    for (const auto &[known, value] : names) {
        if (known == name)
            return value;
    }
    return std::nullopt;
}

} // namespace

void Orders::take(const std::shared_ptr<Exchange> &exchange)
{
    const auto order = parseJson(exchange->request().body());
    if (!order || !order->isObject())
        return exchange->answer(400, "text/plain", "not a JSON object\n");
    if (order->isMember("order")) {
        const auto misbehaviour = misbehaviourNamed((*order)["order"].asString());
        if (!misbehaviour)
            return exchange->answer(400, "text/plain", "unknown order\n");
        m_misbehaviour = *misbehaviour;
        m_count = order->get("count", 1).asUInt64();
    }
    if (order->isMember("lateMs"))
        m_lateBy = std::chrono::milliseconds((*order)["lateMs"].asUInt64());
    if (order->isMember("marker"))
        m_marker = (*order)["marker"].asString();
    exchange->answer(200, "application/json", "{}");
}

Misbehaviour Orders::next(const Exchange &exchange)
{
    if (const auto own = misbehaviourNamed(exchange.header("X-Standin-Order")))
        return *own;
    if (m_count == 0)
        return Misbehaviour::None;
    --m_count;
    return m_misbehaviour;
}

bool Orders::isDeadly(std::string_view body) const
{
    return !m_marker.empty() && body.find(m_marker) != std::string_view::npos;
}

void setTargetHeaders(Exchange &exchange, const std::string &bootId, Misbehaviour misbehaviour)
{
    const std::string attempt = exchange.header("X-Attempt-Id");
    const bool isCrossed = misbehaviour == Misbehaviour::Crossed;
    if (!attempt.empty() || isCrossed)
        exchange.setHeader("X-Attempt-Id", isCrossed ? "another-" + attempt : attempt);
    exchange.setHeader("X-Boot-Id", bootId);
}

} // namespace berylridge::standin
