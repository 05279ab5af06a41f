// The witness role: records which run of which node claimedRoster for a key first, and denies it to
// others.
#pragma once

#include "berylridge/Idempotency/KeyFormat.h"
#include "berylridge/Idempotency/Roster.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace berylridge {

enum class Vote : std::uint8_t {
    Yes,
    Held,        ///< Another run holds the key.
    Abstain,     ///< This witness can't know whether the key was run before.
    OtherRoster, ///< The key belongs to another roster than the one the claimant named.
    Expired,     ///< The key is past its lifetime, or from the future.
    Full,        ///< No memory for another key.
    Stale,       ///< The claim is older than one that the claimant made since; not answered.
};

/// When a key's votes may be given, by the witness's own clock.
struct KeyTimeLimits
{
    Duration lifetime {0};
    Duration futureTolerance {0};
    Duration maxClockSkew {0};
};

/// A claim as a witness sees it.
struct ReceivedClaim
{
    NodeRun claimant;
    RosterId roster = 0;
    std::uint64_t claim = 0;
};

struct VoteResult
{
    Vote vote = Vote::Abstain;
    NodeRun holder; ///< With Held.
};

/// A roster's id in claims for issued keys, whose only witness is the issuer.
inline constexpr RosterId issuerRosterId = 2;

class Witness
{
public:
    Witness(NodeRun self, KeyTimeLimits limits, std::size_t maxRecords);

    /// The wall-clock time must not step back between calls.
    VoteResult vote(const std::string &key, const ReceivedClaim &claim, const RosterChain &chain,
                    WallTime wall);
    /// The claimant has not run the key under any of its claims up to this one.
    void release(const std::string &key, const NodeRun &claimant, std::uint64_t claim);

    /// Makes a key that this run alone admits.
    std::string issueKey(WallTime wall);

    /// Forgets records of keys past their lifetime.
    void prune(WallTime wall);

    std::size_t size() const { return m_records.size(); }
    std::string describe() const;

private:
    struct Record
    {
        NodeRun holder;
        std::uint64_t claim = 0;
        WallTime expiresAt;
    };

    Vote eligibilityVote(const ParsedKey &text, RosterId claimedRoster, const RosterChain &chain,
                         WallTime wall) const;
    Vote issuedEligibility(const ParsedKey &text, RosterId claimedRoster) const;
    Vote opaqueEligibility(RosterId claimedRoster, const RosterChain &chain, WallTime wall) const;
    Vote memberEligibility(const Roster *roster, RosterId claimedRoster) const;
    WallTime expiryOf(const ParsedKey &text, WallTime wall) const;

    NodeRun m_self;
    KeyTimeLimits m_limits;
    std::size_t m_maxRecords;
    std::uint64_t m_issuedCount = 0;
    std::unordered_map<std::string, Record> m_records;
};

} // namespace berylridge
