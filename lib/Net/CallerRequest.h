// Parses a caller's HTTP request into the event that the core receives.
#pragma once

#include "berylridge/Net/Asio.h"
#include "berylridge/Net/Problem.h"

#include "berylridge/Router/Events.h"

#include <string>
#include <string_view>
#include <variant>

namespace berylridge {

/// Names of the header fields used in requests and responses, towards callers and targets.
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

/// Converts a completely received request into an event, without its handle, or into the problem
/// with which it is rejected. The service is empty if the caller requests an idempotency key
/// instead (POST /v1/idempotency-keys). `generatedId` becomes the request id if the caller sent
/// none.
std::variant<RequestArrived, Problem> readCallerRequest(const StringRequest &request,
                                                        std::string_view generatedId);

/// Returns the workspace's key from the request head; empty if there is none.
std::string credentialOf(const StringRequest &request);

/// Maps an error of the HTTP parser to a problem; returns nothing if the connection broke.
std::optional<Problem> problemOfParserError(const error_code &error);

/// Returns whether a field applies to a single connection only (RFC 9110, section 7.6.1).
bool isHopByHop(std::string_view field, std::string_view connection);

} // namespace berylridge
