// Hashing for placement and fingerprints (XXH3) and keyed digests for credentials (BLAKE2b).
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace berylridge {

/// A fast 64-bit hash (XXH3). Equal on every node and release; not for secrets.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// The lower half of hash64(), for names in messages where a rare collision costs little.
std::uint32_t hash32(std::string_view text);

/// Rendezvous weight of a node for a subject: the highest weight over the nodes wins.
std::uint64_t rendezvousWeight(std::string_view subject, std::string_view node);

/// BLAKE2b-256 as lower-case hex: how workspace credentials stand in documents.
std::string credentialDigest(std::string_view credential);

/// Whether a credential has this digest. Takes the same time for any wrong one.
bool matchesDigest(std::string_view credential, std::string_view digest);

/// Bytes of the authenticator that ends each datagram.
inline constexpr std::size_t authenticatorSize = 16;

/// Keyed BLAKE2b of the bytes, written to out.
void computeAuthenticator(std::string_view key, std::span<const std::byte> bytes,
                          std::span<std::byte, authenticatorSize> out);

/// Compares in constant time.
bool isAuthentic(std::string_view key, std::span<const std::byte> bytes,
                 std::span<const std::byte, authenticatorSize> given);

} // namespace berylridge
