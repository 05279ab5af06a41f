#include "berylridge/Policy/Placement.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace berylridge {

namespace {

/// Reading a part again takes its target's time from others and pushes parts out of its memory. It
/// counts this many times as much as the same time of waiting, shared by the uses that the copy can
/// expect before its target gives it up: a part that is seldom used is not worth a second copy, a
/// hot one spreads at once.
constexpr double copyWeight = 60.0;
constexpr double leastCopyWeight = 3.0;
/// The same for what is read in any case. It makes up for differences between targets alone: a long
/// prompt goes where prompts have been read fastest of late, as it slows down a target that reads
/// another one by more than its tokens say.
constexpr double ownWeight = 30.0;
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

double weightOfCopy(const SharedPart &part, double keptSeconds)
{
    const double sharers = static_cast<double>(part.holders) + 1;
    const double uses = part.usesPerSecond * keptSeconds / sharers;
    return std::max(copyWeight / std::max(uses, 1.0), leastCopyWeight);
}

/// The reading of what the target doesn't keep, in ms, weighed. A part that no target keeps has to
/// be read anyway.
double weighedReadMs(const PlacementCandidate &candidate, const PlacementNeed &need)
{
    double weighed = 0;
    std::uint32_t passed = 0;
    for (const SharedPart &part : need.parts) {
        passed += part.tokens;
        if (passed <= candidate.keptTokens)
            continue;
        const double weight
            = part.holders > 0 ? weightOfCopy(part, candidate.keptSeconds) : leastCopyWeight;
        weighed += weight * part.tokens;
    }
    const std::uint32_t known = std::max(passed, candidate.keptTokens);
    weighed += ownWeight * (need.inputTokens - std::min(need.inputTokens, known));
    return weighed / candidate.tokensPerMs;
}

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
        cost.total = cost.choice.waitMs + weighedReadMs(candidate, need) + used * crowdMs;
        const bool isNew = need.parts.empty() || need.parts.front().holders == 0;
        if (isNew && !isFavourite)
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
