// Encodes and decodes base64 (RFC 4648) with libsodium, for datagrams inside JSON.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace berylridge {

std::string encodeBase64(std::string_view bytes);
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace berylridge
