// The only source of randomness of the decision core: seeded by whoever builds it, so that a run
// can be repeated from its seed.
#pragma once

#include "berylridge/Support/Time.h"

#include <cstdint>
#include <random>

namespace berylridge {

using RandomEngine = std::mt19937_64;

/// A number in [0, 1).
inline double uniform(RandomEngine &engine)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(engine);
}

/// The time, or up to a half more: callers who are turned away together must not come back
/// together.
inline Duration addRetryJitter(Duration base, RandomEngine &engine)
{
    constexpr double jitterFraction = 0.5;
    return base + fromSeconds(toSeconds(base) * jitterFraction * uniform(engine));
}

} // namespace berylridge
