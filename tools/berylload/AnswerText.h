// What the stand-ins answer, as a function of the request alone: lets a caller tell whether an
// answer is whole and its own.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace berylridge {

/// Stands in the last event of a whole stream.
inline constexpr std::string_view streamEndMarker = "[DONE]";

/// The text of a stream's event, counted from 1, for the request with this body.
std::string streamToken(std::string_view requestBody, std::uint64_t index);

/// The event as it travels: "id: N", "data: TEXT" and an empty line.
std::string formatStreamEvent(std::uint64_t index, std::string_view text);

/// The whole stream of a number of tokens, its end included.
std::string completeStream(std::string_view requestBody, std::uint64_t tokens);

/// A plain service's answer to a lookup of a path.
std::string lookupResponse(std::string_view path);

/// A plain service's answer to a purchase.
std::string purchaseResponse(std::string_view requestBody);

} // namespace berylridge
