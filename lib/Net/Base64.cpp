#include "berylridge/Net/Base64.h"

#include <sodium.h>

namespace berylridge {

std::string encodeBase64(std::string_view bytes)
{
    constexpr int variant = sodium_base64_VARIANT_ORIGINAL;
    std::string text(sodium_base64_encoded_len(bytes.size(), variant), '\0');
    sodium_bin2base64(text.data(), text.size(),
                      reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), variant);
    text.pop_back(); // Removes the terminating null character.
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    std::string bytes(text.size() * 3 / 4 + 3, '\0');
    std::size_t size = 0;
    const char *end = nullptr;
    const int result = sodium_base642bin(reinterpret_cast<unsigned char *>(bytes.data()),
                                         bytes.size(), text.data(), text.size(), nullptr, &size,
                                         &end, sodium_base64_VARIANT_ORIGINAL);
    if (result != 0 || end != text.data() + text.size())
        return std::nullopt;
    bytes.resize(size);
    return bytes;
}

} // namespace berylridge
