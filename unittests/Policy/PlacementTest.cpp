#include "berylridge/Policy/Placement.h"
#include "berylridge/Policy/PromptCacheDirectory.h"
#include "berylridge/Policy/TargetLoads.h"
#include "berylridge/Support/Random.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

constexpr TargetKey first = 1;
constexpr TargetKey second = 2;

Prompt promptOf(std::uint64_t shared, std::uint64_t own)
{
    return {"m", {{shared, 13000}, {own, 4000}}, 17000, 100};
}

PlacementCandidate candidateWith(std::uint64_t tokens, std::uint32_t cachedTokens)
{
    PlacementCandidate candidate;
    candidate.cacheLifetimeSeconds = 10;
    candidate.load.tokens = tokens;
    candidate.slots = 128;
    candidate.cachedTokens = cachedTokens;
    return candidate;
}

/// Returns a request with one shared part of 13,000 tokens.
PlacementRequest requestOf(double usesPerSecond, std::size_t copies)
{
    PlacementRequest request;
    request.inputTokens = 17000;
    request.parts = {{13000, usesPerSecond, copies}};
    return request;
}

} // namespace

// Guards against a cached shared part being read again on another target just because its target is
// busy. Reading takes longer than waiting, and takes the other target's time from its own requests.
TEST(Placement, PrefersWaitingForACachedPart)
{
    const std::vector<PlacementCandidate> candidates {candidateWith(20000, 13000),
                                                      candidateWith(0, 0)};
    const auto choice = choosePlacement(candidates, requestOf(1, 1));
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->index, 0U);
    EXPECT_EQ(choice->tokens, 4000U);
}

// Guards against a single hot part overloading its target. A fifth of the traffic uses the part, so
// the queue grows until reading it once more elsewhere is cheaper.
TEST(Placement, CopiesAHotPartWhenItsTargetIsFull)
{
    const std::vector<PlacementCandidate> candidates {candidateWith(100000, 13000),
                                                      candidateWith(0, 0)};
    const auto choice = choosePlacement(candidates, requestOf(20, 1));
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->index, 1U);
}

// Guards against useless copies. With hundreds of long parts, each used once in several seconds,
// and a cache that is replaced as fast, a copy would be evicted before its next use. It would only
// take time and cache from other parts, which then are read again too.
TEST(Placement, DoesNotCopyARarelyUsedPart)
{
    std::vector<PlacementCandidate> candidates {candidateWith(100000, 13000), candidateWith(0, 0)};
    EXPECT_EQ(choosePlacement(candidates, requestOf(0.1, 1))->index, 0U);
    // A cache that holds the copy for a minute justifies it.
    candidates[1].cacheLifetimeSeconds = 60;
    EXPECT_EQ(choosePlacement(candidates, requestOf(0.5, 1))->index, 1U);
}

// A target with long prompts to read is slower than its token count shows. The next long prompt
// goes to the target that has read faster lately; a short one does not wait for that.
TEST(Placement, SendsLongPromptsToFasterTargets)
{
    std::vector<PlacementCandidate> candidates {candidateWith(0, 0), candidateWith(10000, 0)};
    candidates[0].tokensPerMs = 80;
    candidates[1].tokensPerMs = 100;
    PlacementRequest request;
    request.inputTokens = 20000;
    EXPECT_EQ(choosePlacement(candidates, request)->index, 1U);
    request.inputTokens = 500;
    EXPECT_EQ(choosePlacement(candidates, request)->index, 0U);
}

// Guards against copies of hot parts evicting all other parts: each copy raises the cost of the
// next.
TEST(Placement, EachCopyRaisesTheCostOfTheNext)
{
    const std::vector<PlacementCandidate> candidates {candidateWith(90000, 13000),
                                                      candidateWith(0, 0)};
    EXPECT_EQ(choosePlacement(candidates, requestOf(2, 1))->index, 1U);
    EXPECT_EQ(choosePlacement(candidates, requestOf(2, 4))->index, 0U);
}

// Two nodes place the same new part at the same time. Both must select the same target, otherwise
// two targets read it.
TEST(Placement, SendsANewPartToTheRendezvousTarget)
{
    std::vector<PlacementCandidate> candidates {candidateWith(1000, 0), candidateWith(0, 0)};
    candidates[0].affinity = 9;
    candidates[1].affinity = 5;
    EXPECT_EQ(choosePlacement(candidates, requestOf(0, 0))->index, 0U);
}

// A target passes its health check and fails half of its requests.
TEST(Placement, AvoidsAFailingTarget)
{
    std::vector<PlacementCandidate> candidates {candidateWith(0, 0), candidateWith(0, 0)};
    candidates[0].failureRatio = 0.5;
    candidates[1].load.running = 3;
    EXPECT_EQ(choosePlacement(candidates, {})->index, 1U);
}

// All nodes of a zone stopped responding at once, so its targets are behind a partition and each
// request sent there would wait for a timeout. They are used only if nothing else is left.
TEST(Placement, UsesASilentZoneOnlyAsLastResort)
{
    std::vector<PlacementCandidate> candidates {candidateWith(0, 13000), candidateWith(50000, 0)};
    candidates[0].isZoneSilent = true;
    EXPECT_EQ(choosePlacement(candidates, requestOf(1, 1))->index, 1U);
    candidates.pop_back();
    EXPECT_EQ(choosePlacement(candidates, requestOf(1, 1))->index, 0U);
}

TEST(Placement, ReturnsNothingWithoutCandidates)
{
    EXPECT_FALSE(choosePlacement({}, {}));
}

// Replays a busy minute: 180 shared parts over nine targets, placed by the directory or by the
// fewest waiting tokens. The tokens that are read show what cache-aware placement saves.
TEST(Placement, CacheAwarePlacementRereadsFewerTokens)
{
    const auto readWith = [](bool byPrompt) {
        ManualClock clock;
        RandomEngine random(7);
        PromptCacheDirectory prompts;
        TargetLoads loads;
        std::uint64_t read = 0;
        std::vector<std::pair<TargetKey, std::uint32_t>> running;
        for (int i = 0; i < 3000; ++i) {
            const PrefixChain chain = prefixChainOf(promptOf(random() % 180, 1000000 + random()));
            std::vector<PlacementCandidate> candidates;
            for (TargetKey key = 0; key < 9; ++key) {
                prompts.setCapacity(key, 1000000);
                PlacementCandidate candidate
                    = candidateWith(loads.total(key, clock.now()).tokens, 0);
                candidate.cacheLifetimeSeconds = prompts.cacheLifetimeSeconds(key, clock.now());
                if (byPrompt)
                    candidate.cachedTokens = prompts.cachedTokens(chain, key);
                candidates.push_back(candidate);
            }
            PlacementRequest request = requestOf(0, 1);
            if (byPrompt)
                request.parts = prompts.sharedParts(chain, clock.now());
            const auto choice = choosePlacement(candidates, request);
            const auto key = static_cast<TargetKey>(choice->index);
            const std::uint32_t tokens = chain.inputTokens - prompts.cachedTokens(chain, key);
            read += tokens;
            prompts.onTokensWritten(key, tokens, clock.now());
            prompts.onPromptSent(chain.links.front().key, key, clock.now());
            loads.begin(key, tokens);
            running.emplace_back(key, tokens);
            if (running.size() > 40) {
                loads.onPromptRead(running.front().first, running.front().second);
                loads.end(running.front().first);
                running.erase(running.begin());
            }
            clock.advance(5ms);
        }
        return read;
    };
    EXPECT_LT(readWith(true) * 3, readWith(false) * 2);
}

// A cached part is useful only if all parts before it are cached too.
TEST(PromptCacheDirectory, CountsCachedPartsFromTheStart)
{
    ManualClock clock;
    PromptCacheDirectory prompts;
    const PrefixChain chain = prefixChainOf({"m", {{1, 100}, {2, 200}, {3, 50}}, 350, 10});
    prompts.onPromptSent(chain.links[1].key, first, clock.now());
    EXPECT_EQ(prompts.cachedTokens(chain, first), 0U);
    prompts.onPromptSent(chain.links[0].key, first, clock.now());
    EXPECT_EQ(prompts.cachedTokens(chain, first), 300U);
    EXPECT_EQ(prompts.cachedTokens(chain, second), 0U);
    const PrefixChain otherModel = prefixChainOf({"n", {{1, 100}}, 100, 10});
    EXPECT_EQ(prompts.cachedTokens(otherModel, first), 0U);
}

// Guards against parts being considered cached for a minute while the target's cache is replaced
// within seconds. Requests were then sent to targets that read the parts anew, a third of all
// reading.
TEST(PromptCacheDirectory, EvictsAPartWhenOtherTokensFillTheCache)
{
    ManualClock clock;
    PromptCacheDirectory prompts;
    const PrefixChain chain = prefixChainOf(promptOf(1, 2));
    prompts.setCapacity(first, 100000);
    prompts.onPromptSent(chain.links[0].key, first, clock.now());
    prompts.onTokensWritten(first, 60000, clock.now());
    EXPECT_EQ(prompts.cachedTokens(chain, first), 13000U);
    prompts.onTokensWritten(first, 20000, clock.now());
    EXPECT_EQ(prompts.cachedTokens(chain, first), 0U);
    EXPECT_EQ(prompts.sharedParts(chain, clock.now()).at(0).copies, 0U);
}

// The value of a copy depends on how often its part is used and on how fast its target's cache
// fills.
TEST(PromptCacheDirectory, ReportsUseRateAndCacheLifetime)
{
    ManualClock clock;
    PromptCacheDirectory prompts;
    const PrefixChain chain = prefixChainOf(promptOf(1, 2));
    prompts.setCapacity(first, 1000000);
    for (int i = 0; i < 400; ++i) {
        prompts.onPromptSent(chain.links[0].key, i % 2 == 0 ? first : second, clock.now());
        prompts.onTokensWritten(first, 5000, clock.now());
        clock.advance(100ms);
    }
    const std::vector<SharedPart> parts = prompts.sharedParts(chain, clock.now());
    ASSERT_EQ(parts.size(), 1U) << "the last part is unique to the request";
    EXPECT_EQ(parts[0].tokens, 13000U);
    EXPECT_EQ(parts[0].copies, 2U);
    EXPECT_NEAR(parts[0].usesPerSecond, 10, 1);
    EXPECT_NEAR(prompts.cacheLifetimeSeconds(first, clock.now()), 14, 2)
        << "0.7 of the cache at 50,000 tokens/s";
    EXPECT_EQ(prompts.cacheLifetimeSeconds(second, clock.now()), 60)
        << "the size of its cache is unknown";
}

TEST(PromptCacheDirectory, ForgetsTheCacheOfARestartedTarget)
{
    ManualClock clock;
    PromptCacheDirectory prompts;
    const PrefixChain chain = prefixChainOf(promptOf(1, 2));
    prompts.onPromptSent(chain.links[0].key, first, clock.now());
    prompts.onPromptSent(chain.links[0].key, second, clock.now());
    prompts.forgetTarget(first);
    EXPECT_EQ(prompts.cachedTokens(chain, first), 0U);
    EXPECT_EQ(prompts.sharedParts(chain, clock.now()).at(0).copies, 1U);
    clock.advance(PromptCacheDirectory::maxCacheLifetime + 1s);
    prompts.expire(clock.now());
    EXPECT_EQ(prompts.sharedParts(chain, clock.now()).at(0).copies, 0U);
}

// Guards against the last digest of a terminated node reserving a target's capacity forever.
TEST(TargetLoads, DropsTheLoadOfASilentNode)
{
    ManualClock clock;
    TargetLoads loads;
    loads.begin(first, 500);
    loads.onDigest(NodeId("b"), {{first, {3, 9000}}}, clock.now());
    EXPECT_EQ(loads.total(first, clock.now()).tokens, 9500U);
    loads.onDigest(NodeId("b"), {{first, {1, 2000}}}, clock.now());
    EXPECT_EQ(loads.total(first, clock.now()).running, 2U);
    clock.advance(TargetLoads::digestLifetime + 1ms);
    loads.expire(clock.now());
    EXPECT_EQ(loads.total(first, clock.now()).tokens, 500U);
    loads.onPromptRead(first, 500);
    loads.end(first);
    EXPECT_EQ(loads.total(first, clock.now()).running, 0U);
}

// A summary replaces the loads of its range. A target that is missing there has no load any more,
// and a target outside the range keeps its load.
TEST(TargetLoads, ZoneSummaryReplacesItsRangeOfTargets)
{
    ManualClock clock;
    TargetLoads loads;
    const std::vector<TargetLoads::RemoteEntry> both {{10, {3, 900}}, {20, {2, 500}}};
    loads.onZoneSummary("b", {0, 100}, both, clock.now());
    loads.begin(10, 100);
    EXPECT_EQ(loads.total(10, clock.now()).running, 4U);
    EXPECT_EQ(loads.total(10, clock.now()).tokens, 1000U);
    loads.onZoneSummary("b", {0, 15}, {}, clock.now());
    EXPECT_EQ(loads.total(10, clock.now()).running, 1U);
    EXPECT_EQ(loads.total(20, clock.now()).running, 2U);
    clock.advance(TargetLoads::digestLifetime + 1ms);
    loads.expire(clock.now());
    EXPECT_EQ(loads.total(20, clock.now()).running, 0U);
}

// A node of another zone that is part of that zone's summary must not be counted twice.
TEST(TargetLoads, ForgottenNodeHasNoLoad)
{
    ManualClock clock;
    TargetLoads loads;
    loads.onDigest(NodeId("b1"), {{10, {3, 900}}}, clock.now());
    loads.onDigest(NodeId("b2"), {{10, {1, 100}}}, clock.now());
    const auto sum
        = loads.sumOfNodes([](const NodeId &node) { return node == NodeId("b2"); }, clock.now());
    EXPECT_EQ(sum.nodes, 2U);
    EXPECT_EQ(sum.loads.at(10).running, 1U);
    loads.forgetNode(NodeId("b1"));
    EXPECT_EQ(loads.total(10, clock.now()).running, 1U);
}

// A notice that counted together with the digest that contains its request would make a target
// appear twice as busy as it is.
TEST(TargetLoads, NoticeCountsUntilTheNodesNextDigest)
{
    ManualClock clock;
    TargetLoads loads;
    loads.onDigest(NodeId("b"), {{first, {1, 1000}}}, clock.now());
    loads.onNotice(NodeId("b"), {first, 30000, 100ms, 300ms}, clock.now());
    loads.onNotice(NodeId("c"), {first, 2000, 100ms, 20ms}, clock.now());
    EXPECT_EQ(loads.total(first, clock.now()).tokens, 33000U);
    EXPECT_EQ(loads.total(first, clock.now()).running, 3U);
    loads.onDigest(NodeId("b"), {{first, {2, 31000}}}, clock.now());
    EXPECT_EQ(loads.total(first, clock.now()).tokens, 33000U);
    loads.forgetNode(NodeId("c"));
    EXPECT_EQ(loads.total(first, clock.now()).tokens, 31000U);
}

// A noticed request that counted until the next digest would keep requests away from a target that
// has long been idle again.
TEST(TargetLoads, NoticeShrinksWhileTheTargetReads)
{
    ManualClock clock;
    TargetLoads loads;
    loads.onNotice(NodeId("b"), {first, 30000, 100ms, 300ms}, clock.now());
    clock.advance(100ms);
    EXPECT_EQ(loads.total(first, clock.now()).tokens, 30000U);
    clock.advance(200ms);
    EXPECT_NEAR(static_cast<double>(loads.total(first, clock.now()).tokens), 10000, 1);
    clock.advance(100ms);
    EXPECT_EQ(loads.total(first, clock.now()).running, 0U);
}

// A summary of a zone contains the requests that its nodes reported to each other, and replaces
// those that they reported to the receiver.
TEST(TargetLoads, SummaryContainsAndReplacesNotices)
{
    ManualClock clock;
    TargetLoads sender;
    sender.onNotice(NodeId("b"), {first, 30000, 100ms, 300ms}, clock.now());
    sender.onZoneNotice("z", {first, 5000, 0ms, 50ms}, clock.now());
    const auto sum = sender.sumOfNodes([](const NodeId & /*node*/) { return true; }, clock.now());
    EXPECT_EQ(sum.loads.at(first).tokens, 30000U);

    TargetLoads receiver;
    receiver.onZoneNotice("y", {first, 30000, 100ms, 300ms}, clock.now());
    EXPECT_EQ(receiver.total(first, clock.now()).tokens, 30000U);
    const std::vector<TargetLoads::RemoteEntry> entries {{first, sum.loads.at(first)}};
    receiver.onZoneSummary("y", {0, 100}, entries, clock.now());
    EXPECT_EQ(receiver.total(first, clock.now()).tokens, 30000U);
}
