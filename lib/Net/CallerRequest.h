// Reads what the core must know out of a caller's HTTP request.
#pragma once

#include "berylridge/Net/Asio.h"
#include "berylridge/Net/Problem.h"

#include "berylridge/Router/Events.h"

#include <string>
#include <string_view>
#include <variant>

namespace berylridge {

/// Names of fields that stand in requests and answers on both sides.
namespace fields {
inline constexpr std::string_view requestId = "X-Request-Id";
inline constexpr std::string_view attemptId = "X-Attempt-Id";
inline constexpr std::string_view bootId = "X-Boot-Id";
inline constexpr std::string_view workspace = "X-Workspace";
inline constexpr std::string_view idempotencyKey = "Idempotency-Key";
inline constexpr std::string_view costHint = "X-Cost-Hint";
inline constexpr std::string_view lastEventId = "Last-Event-ID";
inline constexpr std::string_view verdict = "Berylridge-Verdict";
} // namespace fields

/// The event for a request that was read whole, without its handle; or why it is refused. The
/// service is empty where the caller asks for an idempotency key instead (POST
/// /v1/idempotency-keys). The id is used where the caller gave none.
std::variant<RequestArrived, Problem> readCallerRequest(const StringRequest &request,
                                                        std::string_view generatedId);

/// The workspace's key in the request's head; empty where there is none.
std::string credentialOf(const StringRequest &request);

/// The problem that stands for an error of the HTTP parser; nothing where the connection broke.
std::optional<Problem> problemOfParserError(const error_code &error);

/// Whether a field is meant for one connection only (RFC 9110, section 7.6.1).
bool isHopByHop(std::string_view field, std::string_view connection);

} // namespace berylridge
