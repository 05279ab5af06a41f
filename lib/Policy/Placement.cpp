#include "berylridge/Policy/Placement.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace berylridge {

namespace {

/// Reading a part that another target has cached takes the target's time from others and evicts
/// other parts from its cache. It counts this many times as much as the same time of waiting,
/// divided by the uses that the copy can expect before the target evicts it. So a rarely used part
/// is not worth a second copy, and a hot one spreads at once.
constexpr double copyReadWeight = 60.0;
constexpr double minCopyReadWeight = 3.0;
/// The same for tokens that have to be read in any case. It balances differences between targets
/// only: a long prompt goes to the target that has read prompts fastest lately, since it slows down
/// a target that reads another one by more than the token count shows.
constexpr double uniqueReadWeight = 30.0;
/// Additional round trip to a target in another zone; breaks ties between targets that have nothing
/// cached.
constexpr double crossZoneCostMs = 2.0;
/// A part that no target has cached goes to the target that all nodes rank first, unless its load
/// is higher by this much. Otherwise two nodes that place the part at the same time would make two
/// targets read it.
constexpr double affinityCostMs = 40.0;
/// Approximate cost to a caller of a target that fails all requests.
constexpr double failureCostMs = 1500.0;
/// Attempts across a partition end only by a timeout. Such targets are used only if nothing else is
/// left.
constexpr double silentZoneCostMs = 5000.0;
/// Cost when all slots are in use: each step of an engine takes longer the more requests run.
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

/// Returns the weighted time to read the uncached tokens, in ms. A part that no target has cached
/// has to be read anyway.
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
    assert(candidate.tokensPerMs > 0 && "the target's read rate must be positive");
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
