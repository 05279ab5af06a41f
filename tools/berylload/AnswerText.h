// Computes the response bodies of the target stand-ins from the request alone, so that a client can
// verify that a response is complete and belongs to its request.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace berylridge {

/// Data of the last event of a complete stream.
inline constexpr std::string_view streamEndMarker = "[DONE]";

/// Returns the data of the event with the index (from 1) in the response to a request body.
std::string streamToken(std::string_view requestBody, std::uint64_t index);

/// Formats a server-sent event: "id: N", "data: TEXT" and an empty line.
std::string formatStreamEvent(std::uint64_t index, std::string_view text);

/// Returns the complete stream of a number of tokens, including the end marker.
std::string completeStream(std::string_view requestBody, std::uint64_t tokens);

/// Returns the response body of a plain service to a lookup of a path.
std::string lookupResponse(std::string_view path);

/// Returns the response body of a plain service to a purchase.
std::string purchaseResponse(std::string_view requestBody);

} // namespace berylridge
