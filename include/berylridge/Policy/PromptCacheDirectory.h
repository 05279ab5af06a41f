// Estimates which targets have which shared parts of prompts cached, from the requests that the
// fleet has sent.
//
// Designed for many requests over a few hundred long shared parts. All targets together can cache
// these several times over, the targets of one zone hardly once. Without placement by cache
// contents, each part is read again and again, and that alone overloads the fleet.
//
// A target evicts the least recently used part when its cache is full. So the age of a part is
// counted in the tokens that have entered the cache since, not in time: under load a part is
// evicted within seconds, at low load it stays.
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
/// Identifies a sequence of parts from the prompt's start. A cached part is useful only if all
/// parts before it are cached too.
using PrefixKey = std::uint32_t;

/// A prompt with the key of each of its prefixes.
struct PrefixChain
{
    struct Link
    {
        PrefixKey key = 0;
        std::uint32_t tokens = 0; ///< Tokens of this part alone.
    };
    std::vector<Link> links;
    std::uint32_t inputTokens = 0;
    std::uint32_t outputTokens = 0;
};

PrefixChain prefixChainOf(const Prompt &prompt);

/// Returns the ids of the parts that the prompt may share with others: all but the last, each once
/// and in ascending order.
std::vector<std::uint64_t> sharedPartIds(const Prompt &prompt);

/// Returns how many of the chain's links are shared. The last link is unique to the request, unless
/// it is the only one.
std::size_t sharedLinkCount(const PrefixChain &chain);

/// A part that a prompt shares with others, and its use in the fleet.
struct SharedPart
{
    std::uint32_t tokens = 0;
    double usesPerSecond = 0; ///< Uses by requests of all nodes.
    std::size_t copies = 0;   ///< Targets that have it cached with all parts before it.
};

/// This class is not thread-safe.
class PromptCacheDirectory
{
public:
    /// Bounds this node's own memory use; targets rarely cache an unused part for this long.
    static constexpr Duration maxCacheLifetime = std::chrono::seconds(60);
    /// Most parts are used once within several seconds.
    static constexpr double useSmoothingSeconds = 10;

    /// Records that some node of the fleet sent a request with this prefix to the target.
    void onPromptSent(PrefixKey key, TargetKey target, TimePoint now);
    /// Records that a target reads the prefix for a request that onPromptSent() will report later.
    void onCopyStarted(PrefixKey key, TargetKey target, TimePoint now);
    /// Records that requests of any node added this many tokens to the target's cache.
    void onTokensWritten(TargetKey target, std::uint64_t tokens, TimePoint now);
    /// Sets the size of the target's cache in tokens; 0 if it is unknown.
    void setCapacity(TargetKey target, std::uint64_t tokens) { m_caches[target].capacity = tokens; }
    /// Removes the target's cached parts, since it lost its cache or is gone.
    void forgetTarget(TargetKey target);
    void expire(TimePoint now);

    /// Returns the tokens at the start of the prompt that the target has cached.
    std::uint32_t cachedTokens(const PrefixChain &chain, TargetKey target) const;
    /// Returns the prompt's shared parts in its order.
    std::vector<SharedPart> sharedParts(const PrefixChain &chain, TimePoint now) const;
    /// Returns how long the target caches a part that is not used again, at the present fill rate.
    double cacheLifetimeSeconds(TargetKey target, TimePoint now) const;

private:
    struct Copy
    {
        TargetKey target = 0;
        TimePoint usedAt;
        std::uint64_t tokensWrittenAtUse = 0; ///< The target's tokensWritten at usedAt.
    };
    struct TargetCache
    {
        std::uint64_t tokensWritten = 0; ///< Tokens added to the cache so far.
        std::uint64_t capacity = 0;
        Rate tokensWrittenPerSecond;
    };
    struct Part
    {
        std::vector<Copy> copies;
        Rate uses {useSmoothingSeconds};
    };

    bool isCached(const Copy &copy) const;
    void refreshCopy(Part &part, TargetKey target, TimePoint now);

    std::unordered_map<PrefixKey, Part> m_parts;
    std::unordered_map<TargetKey, TargetCache> m_caches;
};

} // namespace berylridge
