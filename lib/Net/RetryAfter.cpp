#include "berylridge/Net/RetryAfter.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string>

namespace berylridge {

namespace {

/// Longer texts are shortened in the reason.
constexpr std::size_t maxQuotedBytes = 64;

Reason invalid(std::string_view text, const char *cause)
{
    return {"Retry-After '" + std::string(text.substr(0, maxQuotedBytes)) + "' " + cause};
}

} // namespace

Expected<Duration> parseRetryAfter(std::string_view text)
{
    double seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds,
                                              std::chars_format::fixed);
    // The value of a number that is out of range is unspecified, though its text is valid.
    const bool isTooLong = error == std::errc::result_out_of_range;
    if ((error != std::errc() && !isTooLong) || end != text.data() + text.size())
        return invalid(text, "is not a number of seconds");
    if (text.front() == '-')
        return invalid(text, "is negative");
    if (isTooLong)
        return maxParsedRetryAfter;
    if (!std::isfinite(seconds))
        return invalid(text, "is not finite");
    return fromSeconds(std::min(seconds, toSeconds(maxParsedRetryAfter)));
}

void readRetryAfter(const ResponseHead &head, TargetAdvice &advice)
{
    const auto found = head.find(http::field::retry_after);
    const unsigned status = head.result_int();
    if (found == head.end() || (status != 503 && status != 429))
        return;
    const Expected<Duration> delay = parseRetryAfter(view(found->value()));
    if (!delay)
        advice.invalidRetryAfter = delay.failureReason();
    else if (*delay > Duration(0))
        advice.retryAfter = *delay;
}

} // namespace berylridge
