// Selects the target for a request: the one where it is expected to start first. The cost of
// reading a shared part that another target has cached counts more than the same time of waiting.
//
// Designed for busy targets and a few hundred long shared parts, a few of them hot. A part stays on
// the target that has it cached until waiting there costs more than reading it once more elsewhere.
// So a hot part spreads over more targets, and the copies expire when they are no longer used.
#pragma once

#include "berylridge/Policy/PromptCacheDirectory.h"
#include "berylridge/Policy/TargetLoads.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace berylridge {

/// A target that may be selected.
struct PlacementCandidate
{
    TargetLoad load;                 ///< Load over the whole fleet.
    std::uint32_t slots = 1;         ///< Requests that it runs concurrently.
    std::uint32_t cachedTokens = 0;  ///< Cached tokens of the request's prompt.
    double tokensPerMs = 100;        ///< Prompt tokens that it reads per ms.
    double cacheLifetimeSeconds = 0; ///< How long it caches a part that is not used again.
    double failureRatio = 0;         ///< Ratio of recent attempts that failed.
    bool isOtherZone = false;
    bool isZoneSilent = false;  ///< All nodes of its zone have stopped responding.
    std::uint64_t affinity = 0; ///< Rendezvous weight for the prompt's first part.
};

struct PlacementRequest
{
    std::uint32_t inputTokens = 0; ///< 0 for requests without a prompt.
    std::vector<SharedPart> parts; ///< Shared parts of the prompt, in its order.
    double serviceMs = 30;         ///< Typical duration of a request without a prompt.
};

struct PlacementChoice
{
    std::size_t index = 0;
    double waitMs = 0;        ///< Expected wait before the target starts the request.
    double readMs = 0;        ///< Expected time to read the parts that are not cached.
    std::uint32_t tokens = 0; ///< Tokens that the target has to read for the request.
};

/// Returns the candidate with the lowest cost, or nothing if there is none.
std::optional<PlacementChoice> choosePlacement(std::span<const PlacementCandidate> candidates,
                                               const PlacementRequest &request);

} // namespace berylridge
