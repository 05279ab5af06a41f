// Injects faults into the responses of a target stand-in. Tests select the fault by POST /control.
#pragma once

#include "HttpServer.h"

#include <cstdint>
#include <json/json.h>
#include <optional>
#include <string>

namespace berylridge::standin {

/// Fault to inject into a response.
enum class Fault : std::uint8_t {
    None,
    Hang,                 ///< Sends no response and keeps the connection open.
    ResetBeforeExecution, ///< Resets the connection without executing the request.
    ResetDuringResponse,  ///< Executes the request, then resets before or during the response.
    DelayedResponse,      ///< Delays the response by lateMs.
    WrongAttemptId,       ///< Responds with another attempt's id.
    ExcessBytes,          ///< Sends more bytes than Content-Length announces.
    ServerError           ///< Executes the request and responds with 500.
};

/// Holds the active faults, as set by
/// {"order": "hang", "count": 2, "lateMs": 500, "marker": "..."}.
class FaultInjector
{
public:
    /// Applies a control request and responds to it. "order": "none" disables fault injection.
    void handleControlRequest(const std::shared_ptr<Exchange> &exchange);
    /// Returns the fault to inject into the response to this request, and decrements the remaining
    /// count. The request's own X-Standin-Order header takes precedence over the active fault.
    Fault nextFault(const Exchange &exchange);
    /// Returns true if the body contains the marker that crashes the target.
    bool hasCrashMarker(std::string_view body) const;

    Duration responseDelay() const { return m_responseDelay; }

private:
    Fault m_fault = Fault::None;
    std::uint64_t m_count = 0;
    Duration m_responseDelay = std::chrono::seconds(1);
    std::string m_marker;
};

/// Sets the headers of every target's response: the attempt id and the boot id.
void setTargetHeaders(Exchange &exchange, const std::string &bootId, Fault fault);

} // namespace berylridge::standin
