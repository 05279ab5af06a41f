// Which targets keep which shared parts of prompts, as far as the fleet's own sendings tell.
//
// Load it answers: many requests over a few hundred long shared parts, which all targets together
// keep several times over and one zone's targets hardly. Sent anywhere, each part is read again and
// again, and the reading alone overloads the fleet.
//
// A target gives up what was used least recently when its cache is full. So age is counted in the
// tokens that have tokensRead its cache since, not in time: under load a part is gone in seconds,
// on a calm day it stays.
#pragma once

#include "berylridge/Policy/Rate.h"
#include "berylridge/Router/Prompt.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace berylridge {

/// hash32() of a target's id.
using TargetKey = std::uint32_t;
/// Names a chain of parts: a kept part is of use only where all parts before it are kept too.
using PrefixKey = std::uint32_t;

/// A prompt with the name of each of its chains.
struct PrefixChain
{
    struct Link
    {
        PrefixKey key = 0;
        std::uint32_t tokens = 0; ///< Of this part alone.
    };
    std::vector<Link> links;
    std::uint32_t inputTokens = 0;
    std::uint32_t outputTokens = 0;
};

PrefixChain prefixChainOf(const Prompt &prompt);

/// How many of the chain's links are shared: the last one is the request's own, where there are
/// others.
std::size_t sharedLinkCount(const PrefixChain &chain);

/// A part that a prompt shares with others, as the fleet uses it.
struct SharedPart
{
    std::uint32_t tokens = 0;
    double usesPerSecond = 0; ///< By all nodes' requests.
    std::size_t copies = 0;   ///< Targets that keep it with all parts before it.
};

/// Not safe for use by two threads at once.
class PromptCacheDirectory
{
public:
    /// Bounds this node's own cache; targets seldom keep an unused part for so long.
    static constexpr Duration maxCacheLifetime = std::chrono::seconds(60);
    /// Most parts are used once in some seconds.
    static constexpr double useSmoothingSeconds = 10;

    /// A request with this chain was sent to the target by some node of the fleet.
    void onPromptSent(PrefixKey key, TargetKey target, TimePoint now);
    /// So many tokens have tokensRead the target's cache, by any node's requests.
    void onTokensRead(TargetKey target, std::uint64_t tokens, TimePoint now);
    /// Tokens that the target's cache holds; 0 where nobody says.
    void setCapacity(TargetKey target, std::uint64_t tokens) { m_caches[target].capacity = tokens; }
    /// The target has lost its cache or is gone.
    void forgetTarget(TargetKey target);
    void expire(TimePoint now);

    /// Tokens at the prompt's begin that the target keeps.
    std::uint32_t cachedTokens(const PrefixChain &chain, TargetKey target) const;
    /// The prompt's shared parts, in its order.
    std::vector<SharedPart> sharedParts(const PrefixChain &chain, TimePoint now) const;
    /// How long the target keeps a part that isn't used again, as its cache fills now.
    double cacheLifetimeSeconds(TargetKey target, TimePoint now) const;

private:
    struct Copy
    {
        TargetKey target = 0;
        TimePoint usedAt;
        std::uint64_t tokensReadAtUse = 0; ///< Of its target's cache.
    };
    struct TargetCache
    {
        std::uint64_t tokensRead = 0; ///< Tokens so far.
        std::uint64_t capacity = 0;
        Rate tokensReadPerSecond;
    };
    struct Part
    {
        std::vector<Copy> copies;
        Rate uses {useSmoothingSeconds};
    };

    bool isCached(const Copy &copy) const;

    std::unordered_map<PrefixKey, Part> m_parts;
    std::unordered_map<TargetKey, TargetCache> m_caches;
};

} // namespace berylridge
