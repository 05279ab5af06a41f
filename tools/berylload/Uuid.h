// Generates idempotency keys as callers should: UUIDv7 (RFC 9562) contains the key's creation time.
#pragma once

#include "berylridge/Support/Random.h"
#include "berylridge/Support/Time.h"

#include <string>

namespace berylridge {

/// Returns 48 bits of milliseconds, then version, variant and random bits.
std::string uuidV7(WallTime now, RandomEngine &random);

} // namespace berylridge
