// Fast hashes for placement and fingerprints (XXH3); digests of credentials and authenticators of
// messages (BLAKE2b).
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace berylridge {

/// Returns a fast 64-bit hash (XXH3). It is the same on every node and in every release, and is not
/// safe for secrets.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// Returns the lower 32 bits of hash64(), for names in messages where a rare collision does little
/// harm.
std::uint32_t hash32(std::string_view text);

/// Returns the hash in hex, as log lines show it.
std::string hexText(std::uint64_t hash);

/// Returns the weight of a node for a subject in rendezvous hashing. The node with the highest
/// weight is chosen.
std::uint64_t rendezvousWeight(std::string_view subject, std::string_view node);

/// Returns the BLAKE2b-256 digest of a credential in lower-case hex, the form in which documents
/// contain credentials.
std::string credentialDigest(std::string_view credential);

/// Returns whether a credential has this digest, in a time that does not depend on the credential's
/// digest.
bool matchesDigest(std::string_view credential, std::string_view digest);

/// Size in bytes of the authenticator at the end of each datagram.
inline constexpr std::size_t authenticatorSize = 16;

/// Writes the keyed BLAKE2b authenticator of the bytes to out.
void computeAuthenticator(std::string_view key, std::span<const std::byte> bytes,
                          std::span<std::byte, authenticatorSize> out);

/// Returns whether the authenticator matches the bytes. Compares in constant time.
bool isAuthentic(std::string_view key, std::span<const std::byte> bytes,
                 std::span<const std::byte, authenticatorSize> given);

} // namespace berylridge
