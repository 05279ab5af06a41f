// Reads the Retry-After field of targets' responses (RFC 9110, section 10.2.3).
#pragma once

#include "berylridge/Net/WireProtocol.h"
#include "berylridge/Support/Expected.h"
#include "berylridge/Support/Time.h"

#include <string_view>

namespace berylridge {

/// Longer values are reduced to this one, which any clock can add to the current time.
inline constexpr Duration maxParsedRetryAfter = std::chrono::hours(24);

/// Returns the delay in the field's text: a number of seconds, which may have a fraction. A date is
/// not accepted, since the clocks of two machines may differ.
Expected<Duration> parseRetryAfter(std::string_view text);

/// Adds the field to the advice if the response's status is 503 or 429. With other statuses it
/// doesn't ask for a pause. A value of zero asks for none either.
void readRetryAfter(const ResponseHead &head, TargetAdvice &advice);

} // namespace berylridge
