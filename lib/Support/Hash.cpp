#include "berylridge/Support/Hash.h"

#include <array>
#include <cassert>
#include <charconv>
#include <sodium.h>
#include <xxhash.h>

namespace berylridge {

namespace {

const unsigned char *asUnsigned(const void *bytes)
{
    return static_cast<const unsigned char *>(bytes);
}

} // namespace

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint32_t hash32(std::string_view text)
{
    return static_cast<std::uint32_t>(hash64(text));
}

std::uint64_t rendezvousWeight(std::string_view subject, std::string_view node)
{
    return hash64(subject, hash64(node));
}

std::string hexText(std::uint64_t hash)
{
    std::array<char, 16> digits {};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), hash, 16);
    return {digits.data(), end};
}

std::string credentialDigest(std::string_view credential)
{
    std::array<unsigned char, crypto_generichash_BYTES> digest {};
    crypto_generichash(digest.data(), digest.size(), asUnsigned(credential.data()),
                       credential.size(), nullptr, 0);
    std::string hex(digest.size() * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    hex.pop_back();
    return hex;
}

bool matchesDigest(std::string_view credential, std::string_view digest)
{
    const auto wanted = credentialDigest(credential);
    // A comparison that stops at the first wrong digit would reveal by its duration how many digits
    // of a guess are right. All digests have the same length, so this one takes the same time for
    // every credential.
    return wanted.size() == digest.size()
        && sodium_memcmp(wanted.data(), digest.data(), wanted.size()) == 0;
}

void computeAuthenticator(std::string_view key, std::span<const std::byte> bytes,
                          std::span<std::byte, authenticatorSize> out)
{
    assert(key.size() >= crypto_generichash_KEYBYTES_MIN && "fleet key too short");
    assert(key.size() <= crypto_generichash_KEYBYTES_MAX && "fleet key too long");
    std::array<unsigned char, authenticatorSize> tag {};
    crypto_generichash(tag.data(), tag.size(), asUnsigned(bytes.data()), bytes.size(),
                       asUnsigned(key.data()), key.size());
    for (std::size_t i = 0; i < tag.size(); ++i)
        out[i] = std::byte {tag[i]};
}

bool isAuthentic(std::string_view key, std::span<const std::byte> bytes,
                 std::span<const std::byte, authenticatorSize> given)
{
    std::array<std::byte, authenticatorSize> wanted {};
    computeAuthenticator(key, bytes, wanted);
    return sodium_memcmp(wanted.data(), given.data(), wanted.size()) == 0;
}

} // namespace berylridge
