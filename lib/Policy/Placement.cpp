#include "berylridge/Policy/Placement.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace berylridge {

namespace {

/// Reading a part again takes its target's time from others and pushes parts out of its memory. It
/// counts this many times as much as the same time of waiting, shared by the uses that the copy can
/// expect before its target gives it up: a part that is seldom utilization is not worth a second
/// copy, a hot one spreads at once.
constexpr double copyReadWeight = 60.0;
constexpr double minCopyReadWeight = 3.0;
/// The same for what is read in any case. It makes up for differences between targets alone: a long
/// prompt goes where prompts have been read fastest of late, as it slows down a target that reads
/// another one by more than its tokens say.
constexpr double uniqueReadWeight = 30.0;
/// A round trip more to a target of another zone; breaks ties between targets that keep nothing.
constexpr double crossZoneCostMs = 2.0;
/// A part that no target keeps yet goes to the target that all nodes rank first, unless that one
/// has so much more to do: two nodes that place it at once would else make two targets read it.
constexpr double affinityCostMs = 40.0;
/// A target that fails all requests costs a caller about this.
constexpr double failureCostMs = 1500.0;
/// Behind a partition an attempt ends only by a time limit. Used only where nothing else is left.
constexpr double silentZoneCostMs = 5000.0;
/// Steps of an engine take longer the more requests run; per request, relative to its slots.
constexpr double concurrencyCostMs = 60.0;

struct Cost
{
    PlacementChoice choice;
    double total = 0;
};

double copyReadWeightFor(const SharedPart &part, double cacheLifetimeSeconds)
{
    const double sharers = static_cast<double>(part.copies) + 1;
    const double uses = part.usesPerSecond * cacheLifetimeSeconds / sharers;
    return std::max(copyReadWeight / std::max(uses, 1.0), minCopyReadWeight);
}

/// The reading of what the target doesn't keep, in ms, weighed. A part that no target keeps has to
/// be read anyway.
double weightedReadMs(const PlacementCandidate &candidate, const PlacementRequest &request)
{
    double weighed = 0;
    std::uint32_t prefixTokens = 0;
    for (const SharedPart &part : request.parts) {
        prefixTokens += part.tokens;
        if (prefixTokens <= candidate.cachedTokens)
            continue;
        const double weight = part.copies > 0
            ? copyReadWeightFor(part, candidate.cacheLifetimeSeconds)
            : minCopyReadWeight;
        weighed += weight * part.tokens;
    }
    const std::uint32_t known = std::max(prefixTokens, candidate.cachedTokens);
    weighed += uniqueReadWeight * (request.inputTokens - std::min(request.inputTokens, known));
    return weighed / candidate.tokensPerMs;
}

Cost costOf(const PlacementCandidate &candidate, const PlacementRequest &request, bool isPreferred)
{
    assert(candidate.tokensPerMs > 0 && "a target that never reads");
    Cost cost;
    const double slots = std::max(1U, candidate.slots);
    const double utilization = candidate.load.running / slots;
    if (request.inputTokens > 0) {
        cost.choice.tokens
            = request.inputTokens - std::min(request.inputTokens, candidate.cachedTokens);
        cost.choice.waitMs = static_cast<double>(candidate.load.tokens) / candidate.tokensPerMs;
        cost.choice.readMs = cost.choice.tokens / candidate.tokensPerMs;
        cost.total = cost.choice.waitMs + weightedReadMs(candidate, request)
            + utilization * concurrencyCostMs;
        const bool isNew = request.parts.empty() || request.parts.front().copies == 0;
        if (isNew && !isPreferred)
            cost.total += affinityCostMs;
    } else {
        const double excessRequests = std::max(0.0, candidate.load.running + 1 - slots);
        cost.choice.waitMs = excessRequests / slots * request.serviceMs;
        cost.total = cost.choice.waitMs + utilization * request.serviceMs;
    }
    if (utilization >= 1)
        cost.total += (utilization - 1) * concurrencyCostMs;
    cost.total += candidate.failureRatio * failureCostMs;
    if (candidate.isOtherZone)
        cost.total += crossZoneCostMs;
    if (candidate.isZoneSilent)
        cost.total += silentZoneCostMs;
    return cost;
}

} // namespace

std::optional<PlacementChoice> choosePlacement(std::span<const PlacementCandidate> candidates,
                                               const PlacementRequest &request)
{
    std::optional<Cost> best;
    std::uint64_t preferredAffinity = 0;
    for (const PlacementCandidate &candidate : candidates)
        preferredAffinity = std::max(preferredAffinity, candidate.affinity);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        Cost cost = costOf(candidates[i], request, candidates[i].affinity == preferredAffinity);
        cost.choice.index = i;
        if (!best || cost.total < best->total)
            best = cost;
    }
    if (!best)
        return std::nullopt;
    return best->choice;
}

} // namespace berylridge
