#include "berylridge/Policy/Placement.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace berylridge {

namespace {

/// Reading a part again takes its target's time from others and pushes parts out of its memory, so
/// it counts more than the same time of waiting, and the more the more targets keep the part
/// already: one copy must be, two let load be balanced, and each further one takes memory from
/// other parts.
constexpr double readAgainWeight = 3.0;
constexpr double readAgainPerHolder = 3.0;
/// A round trip more to a target of another zone; breaks ties between targets that keep nothing.
constexpr double otherZoneMs = 2.0;
/// A part that no target keeps yet goes to the target that all nodes rank first, unless that one
/// has so much more to do: two nodes that place it at once would else make two targets read it.
constexpr double affinityMs = 40.0;
/// A target that fails all requests costs a caller about this.
constexpr double failureMs = 1500.0;
/// Behind a partition an attempt ends only by a time limit. Used only where nothing else is left.
constexpr double silentZoneMs = 5000.0;
/// Steps of an engine take longer the more requests run; per request, relative to its slots.
constexpr double crowdMs = 60.0;

struct Cost
{
    PlacementChoice choice;
    double total = 0;
};

Cost costOf(const PlacementCandidate &candidate, const PlacementNeed &need, bool isFavourite)
{
    assert(candidate.tokensPerMs > 0 && "a target that never reads");
    Cost cost;
    const double slots = std::max(1U, candidate.slots);
    const double used = candidate.load.running / slots;
    if (need.inputTokens > 0) {
        cost.choice.tokens = need.inputTokens - std::min(need.inputTokens, candidate.keptTokens);
        cost.choice.waitMs = static_cast<double>(candidate.load.tokens) / candidate.tokensPerMs;
        cost.choice.readMs = cost.choice.tokens / candidate.tokensPerMs;
        const double weight
            = readAgainWeight + readAgainPerHolder * static_cast<double>(need.holders);
        cost.total = cost.choice.waitMs + cost.choice.readMs * weight + used * crowdMs;
        if (need.holders == 0 && !isFavourite)
            cost.total += affinityMs;
    } else {
        const double over = std::max(0.0, candidate.load.running + 1 - slots);
        cost.choice.waitMs = over / slots * need.serviceMs;
        cost.total = cost.choice.waitMs + used * need.serviceMs;
    }
    if (used >= 1)
        cost.total += (used - 1) * crowdMs;
    cost.total += candidate.failureShare * failureMs;
    if (candidate.isOtherZone)
        cost.total += otherZoneMs;
    if (candidate.isZoneSilent)
        cost.total += silentZoneMs;
    return cost;
}

} // namespace

std::optional<PlacementChoice> choosePlacement(std::span<const PlacementCandidate> candidates,
                                               const PlacementNeed &need)
{
    std::optional<Cost> best;
    std::uint64_t favourite = 0;
    for (const PlacementCandidate &candidate : candidates)
        favourite = std::max(favourite, candidate.affinity);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        Cost cost = costOf(candidates[i], need, candidates[i].affinity == favourite);
        cost.choice.index = i;
        if (!best || cost.total < best->total)
            best = cost;
    }
    if (!best)
        return std::nullopt;
    return best->choice;
}

} // namespace berylridge
