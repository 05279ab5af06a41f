// What tests order a target stand-in to do wrongly with the next requests (POST /control).
#pragma once

#include "HttpServer.h"

#include <cstdint>
#include <json/json.h>
#include <optional>
#include <string>

namespace berylridge::standin {

/// How the next answers go wrong.
enum class Misbehaviour : std::uint8_t {
    None,
    Hang,       ///< Never answers, but keeps the connection.
    CutBefore,  ///< Resets the connection before anything is done.
    CutAnswer,  ///< Does the work and resets before or in the middle of the answer.
    Late,       ///< Answers only after lateMs.
    Crossed,    ///< Answers with another attempt's id.
    OverLong,   ///< Sends more bytes than announced.
    ServerError ///< Does the work and answers 500.
};

/// The orders in force: {"order": "hang", "count": 2, "lateMs": 500, "marker": "..."}.
class Orders
{
public:
    /// Takes an order in; answers the exchange. "order": "none" ends all orders.
    void take(const std::shared_ptr<Exchange> &exchange);
    /// How the answer to this request is to go wrong; counts an order down. The request's own
    /// X-Standin-Order goes before the orders in force.
    Misbehaviour next(const Exchange &exchange);
    /// Whether the body carries the marker that crashes the target.
    bool isDeadly(std::string_view body) const;

    Duration lateBy() const { return m_lateBy; }

private:
    Misbehaviour m_misbehaviour = Misbehaviour::None;
    std::uint64_t m_count = 0;
    Duration m_lateBy = std::chrono::seconds(1);
    std::string m_marker;
};

/// Puts the headers that every target's answer carries: the attempt's id and the boot id.
void setTargetHeaders(Exchange &exchange, const std::string &bootId, Misbehaviour misbehaviour);

} // namespace berylridge::standin
