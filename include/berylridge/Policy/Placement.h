// Which target gets a request: the one where it is expected to begin first, with the reading of
// shared parts that another target keeps counted dearer than waiting.
//
// Load it answers: all targets busy, a few hundred long shared parts, a few of them hot. A part
// stays where it is kept until waiting there costs more than reading it once more elsewhere, so a
// hot part spreads over more targets and shrinks back by itself.
#pragma once

#include "berylridge/Policy/PromptCacheDirectory.h"
#include "berylridge/Policy/TargetLoads.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace berylridge {

/// A target that may be used, as placement sees it.
struct PlacementCandidate
{
    TargetLoad load;                 ///< Over the whole fleet.
    std::uint32_t slots = 1;         ///< Requests that it runs at once.
    std::uint32_t cachedTokens = 0;  ///< Of the request's prompt.
    double tokensPerMs = 100;        ///< How fast it reads prompts.
    double cacheLifetimeSeconds = 0; ///< How long it keeps a part that isn't used again.
    double failureRatio = 0;         ///< Of recent attempts.
    bool isOtherZone = false;
    bool isZoneSilent = false;  ///< All nodes of its zone have fallen silent.
    std::uint64_t affinity = 0; ///< Rendezvous weight for the prompt's first part.
};

struct PlacementRequest
{
    std::uint32_t inputTokens = 0; ///< 0 for requests without a prompt.
    std::vector<SharedPart> parts; ///< Of the prompt, in its order, those that others use too.
    double serviceMs = 30;         ///< Typical time of a request without a prompt.
};

struct PlacementChoice
{
    std::size_t index = 0;
    double waitMs = 0;        ///< Expected before the target turns to the request.
    double readMs = 0;        ///< Expected for reading what it doesn't keep.
    std::uint32_t tokens = 0; ///< That the target has to read for it.
};

/// Nothing where there is no candidate.
std::optional<PlacementChoice> choosePlacement(std::span<const PlacementCandidate> candidates,
                                               const PlacementRequest &request);

} // namespace berylridge
