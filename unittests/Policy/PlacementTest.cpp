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

/// A prompt whose shared part is used so often, and cachedTokens by so many targets.
PlacementRequest requestOf(double usesPerSecond, std::size_t copies)
{
    PlacementRequest request;
    request.inputTokens = 17000;
    request.parts = {{13000, usesPerSecond, copies}};
    return request;
}

} // namespace

// A request whose shared part lies at a busy target waits there: reading the part again elsewhere
// takes longer, and takes that target's time from others.
TEST(Placement, PrefersWaitingForACachedPart)
{
    const std::vector<PlacementCandidate> candidates {candidateWith(20000, 13000),
                                                      candidateWith(0, 0)};
    const auto choice = choosePlacement(candidates, requestOf(1, 1));
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->index, 0U);
    EXPECT_EQ(choice->tokens, 4000U);
}

// One book gets a fifth of the traffic. Its target's queue grows until reading the book once more
// elsewhere is cheaper, and the load spreads.
TEST(Placement, CopiesAHotPartWhenItsTargetIsFull)
{
    const std::vector<PlacementCandidate> candidates {candidateWith(100000, 13000),
                                                      candidateWith(0, 0)};
    const auto choice = choosePlacement(candidates, requestOf(20, 1));
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->index, 1U);
}

// Hundreds of long parts, each used once in some seconds, and a memory that turns over as fast. The
// holder has a queue for a moment. A copy elsewhere would be given up before it is used again: it
// would only take reading time and memory from the other parts, which then are read again too.
TEST(Placement, DoesNotCopyARarelyUsedPart)
{
    std::vector<PlacementCandidate> candidates {candidateWith(100000, 13000), candidateWith(0, 0)};
    EXPECT_EQ(choosePlacement(candidates, requestOf(0.1, 1))->index, 0U);
    // A memory that keeps the copy for a minute makes up for it.
    candidates[1].cacheLifetimeSeconds = 60;
    EXPECT_EQ(choosePlacement(candidates, requestOf(0.5, 1))->index, 1U);
}

// A target has long prompts to read and is slower than its tokens say. The next long prompt goes
// where reading has been faster of late; a short one doesn't wait for that.
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

// With each copy the next one has to pay more: copies of hot parts would else push all others out.
TEST(Placement, EachCopyRaisesTheCostOfTheNext)
{
    const std::vector<PlacementCandidate> candidates {candidateWith(90000, 13000),
                                                      candidateWith(0, 0)};
    EXPECT_EQ(choosePlacement(candidates, requestOf(2, 1))->index, 1U);
    EXPECT_EQ(choosePlacement(candidates, requestOf(2, 4))->index, 0U);
}

// Two nodes place the same new part at once. Both must choose the same target, or two read it.
TEST(Placement, SendsANewPartToTheRendezvousTarget)
{
    std::vector<PlacementCandidate> candidates {candidateWith(1000, 0), candidateWith(0, 0)};
    candidates[0].affinity = 9;
    candidates[1].affinity = 5;
    EXPECT_EQ(choosePlacement(candidates, requestOf(0, 0))->index, 0U);
}

// A target answers its health check and fails half of its requests.
TEST(Placement, AvoidsAFailingTarget)
{
    std::vector<PlacementCandidate> candidates {candidateWith(0, 0), candidateWith(0, 0)};
    candidates[0].failureRatio = 0.5;
    candidates[1].load.running = 3;
    EXPECT_EQ(choosePlacement(candidates, {})->index, 1U);
}

// All nodes of a zone fell silent at once: its targets are behind a partition, and each request
// sent there would wait for a time limit. They are used only where nothing else is left.
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

// Replays a busy minute: 180 books over nine targets, with a choice by the directory against one by
// the fewest waiting tokens. The tokens that are read again show what placement by prompt saves.
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
                PlacementCandidate candidate = candidateWith(loads.total(key).tokens, 0);
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
            prompts.onTokensRead(key, tokens, clock.now());
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

// A part that lies behind another one is of use only where the first is cachedTokens too.
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

// Under load an engine's memory turns over in seconds. A node that took parts as cachedTokens for a
// minute sent requests to targets that read them anew: a third of all reading.
TEST(PromptCacheDirectory, EvictsAPartWhenOtherTokensFillTheCache)
{
    ManualClock clock;
    PromptCacheDirectory prompts;
    const PrefixChain chain = prefixChainOf(promptOf(1, 2));
    prompts.setCapacity(first, 100000);
    prompts.onPromptSent(chain.links[0].key, first, clock.now());
    prompts.onTokensRead(first, 60000, clock.now());
    EXPECT_EQ(prompts.cachedTokens(chain, first), 13000U);
    prompts.onTokensRead(first, 20000, clock.now());
    EXPECT_EQ(prompts.cachedTokens(chain, first), 0U);
    EXPECT_EQ(prompts.sharedParts(chain, clock.now()).at(0).copies, 0U);
}

// What a copy is worth follows from how often its part is used and how fast its memory fills.
TEST(PromptCacheDirectory, ReportsUseRateAndCacheLifetime)
{
    ManualClock clock;
    PromptCacheDirectory prompts;
    const PrefixChain chain = prefixChainOf(promptOf(1, 2));
    prompts.setCapacity(first, 1000000);
    for (int i = 0; i < 400; ++i) {
        prompts.onPromptSent(chain.links[0].key, i % 2 == 0 ? first : second, clock.now());
        prompts.onTokensRead(first, 5000, clock.now());
        clock.advance(100ms);
    }
    const std::vector<SharedPart> parts = prompts.sharedParts(chain, clock.now());
    ASSERT_EQ(parts.size(), 1U) << "the last part is the request's own";
    EXPECT_EQ(parts[0].tokens, 13000U);
    EXPECT_EQ(parts[0].copies, 2U);
    EXPECT_NEAR(parts[0].usesPerSecond, 10, 1);
    EXPECT_NEAR(prompts.cacheLifetimeSeconds(first, clock.now()), 14, 2)
        << "0.7 of the memory at 50,000/s";
    EXPECT_EQ(prompts.cacheLifetimeSeconds(second, clock.now()), 60)
        << "nobody says how large its memory is";
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

// A node dies with requests at a target. Its last word on them must not hold the target's room for
// ever.
TEST(TargetLoads, DropsTheLoadOfASilentNode)
{
    ManualClock clock;
    TargetLoads loads;
    loads.begin(first, 500);
    loads.onDigest(NodeId("b"), {{first, {3, 9000}}}, clock.now());
    EXPECT_EQ(loads.total(first).tokens, 9500U);
    loads.onDigest(NodeId("b"), {{first, {1, 2000}}}, clock.now());
    EXPECT_EQ(loads.total(first).running, 2U);
    clock.advance(TargetLoads::digestLifetime + 1ms);
    loads.expire(clock.now());
    EXPECT_EQ(loads.total(first).tokens, 500U);
    loads.onPromptRead(first, 500);
    loads.end(first);
    EXPECT_EQ(loads.total(first).running, 0U);
}
