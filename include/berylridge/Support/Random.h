// The only source of randomness of the decision core. The code that creates the core supplies the
// seed, so that a run can be reproduced.
#pragma once

#include "berylridge/Support/Time.h"

#include <cstdint>
#include <random>

namespace berylridge {

using RandomEngine = std::mt19937_64;

/// Returns a uniformly distributed number in [0, 1).
inline double uniform(RandomEngine &engine)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(engine);
}

/// Lengthens a retry delay by a random amount of up to a half, so that callers that were rejected
/// at the same time do not retry at the same time.
inline Duration addRetryJitter(Duration base, RandomEngine &engine)
{
    constexpr double jitterFraction = 0.5;
    return base + fromSeconds(toSeconds(base) * jitterFraction * uniform(engine));
}

} // namespace berylridge
