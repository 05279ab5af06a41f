// Idempotency keys as callers should make them: UUIDv7 (RFC 9562), which tells the key's age.
#pragma once

#include "berylridge/Support/Random.h"
#include "berylridge/Support/Time.h"

#include <string>

namespace berylridge {

/// 48 bits of milliseconds, then version, variant and random bits.
std::string uuidV7(WallTime now, RandomEngine &random);

} // namespace berylridge
