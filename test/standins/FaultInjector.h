// What tests order a target stand-in to do wrongly with the nextFault requests (POST /control).
#pragma once

#include "HttpServer.h"

#include <cstdint>
#include <json/json.h>
#include <optional>
#include <string>

namespace berylridge::standin {

/// How the nextFault answers go wrong.
enum class Fault : std::uint8_t {
    None,
    Hang,                 ///< Never answers, but keeps the connection.
    ResetBeforeExecution, ///< Resets the connection before anything is done.
    ResetDuringResponse,  ///< Does the work and resets before or in the middle of the answer.
    DelayedResponse,      ///< Answers only after lateMs.
    WrongAttemptId,       ///< Answers with another attempt's id.
    ExcessBytes,          ///< Sends more bytes than announced.
    ServerError           ///< Does the work and answers 500.
};

/// The orders in force: {"order": "hang", "count": 2, "lateMs": 500, "marker": "..."}.
class FaultInjector
{
public:
    /// Takes an order in; answers the exchange. "order": "none" ends all orders.
    void handleControlRequest(const std::shared_ptr<Exchange> &exchange);
    /// How the answer to this request is to go wrong; counts an order down. The request's own
    /// X-Standin-Order goes before the orders in force.
    Fault nextFault(const Exchange &exchange);
    /// Whether the body carries the marker that crashes the target.
    bool hasCrashMarker(std::string_view body) const;

    Duration responseDelay() const { return m_responseDelay; }

private:
    Fault m_fault = Fault::None;
    std::uint64_t m_count = 0;
    Duration m_responseDelay = std::chrono::seconds(1);
    std::string m_marker;
};

/// Puts the headers that every target's answer carries: the attempt's id and the boot id.
void setTargetHeaders(Exchange &exchange, const std::string &bootId, Fault fault);

} // namespace berylridge::standin
