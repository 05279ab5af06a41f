// The witness role: records which incarnation of which node claimed a key first, and rejects the
// claims of all others.
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
    Held,        ///< Another incarnation holds the key.
    Abstain,     ///< This witness cannot know whether the key has been run before.
    OtherRoster, ///< The key belongs to another roster than the one that the claim names.
    /// The key's lifetime has ended, or its creation time is too far in the future.
    Expired,
    Full,  ///< The witness has reached its maximum number of records.
    Stale, ///< The claimant has made a later claim since; the witness does not reply.
};

/// The limits on a key's creation time, relative to the witness's own clock, within which the
/// witness votes.
struct KeyTimeLimits
{
    Duration lifetime {0};
    Duration futureTolerance {0};
    Duration maxClockSkew {0};
};

/// The content of a claim that a witness received.
struct ReceivedClaim
{
    NodeIncarnation claimant;
    RosterId roster = 0;
    std::uint64_t claim = 0;
};

struct VoteResult
{
    Vote vote = Vote::Abstain;
    NodeIncarnation holder; ///< Set if the vote is Held.
};

/// The roster id in claims for issued keys. The issuer is the only witness of such a key. No
/// roster has this id, because makeRoster() creates only odd ids.
inline constexpr RosterId issuerRosterId = 2;

class Witness
{
public:
    Witness(NodeIncarnation self, KeyTimeLimits limits, std::size_t maxRecords);

    /// Votes on a claim. The wall-clock time must not decrease between calls.
    VoteResult vote(const std::string &key, const ReceivedClaim &claim, const RosterChain &chain,
                    WallTime wall);
    /// Drops the claimant's record. The claimant has not run the key under any of its claims up to
    /// this one.
    void release(const std::string &key, const NodeIncarnation &claimant, std::uint64_t claim);

    /// Creates a key that only this incarnation admits.
    std::string issueKey(WallTime wall);

    /// Removes the records of expired keys.
    void prune(WallTime wall);

    std::size_t size() const { return m_records.size(); }
    std::string describe() const;

private:
    struct Record
    {
        NodeIncarnation holder;
        std::uint64_t claim = 0;
        WallTime expiresAt;
    };

    Vote eligibilityVote(const ParsedKey &parsedKey, RosterId claimedRoster,
                         const RosterChain &chain, WallTime wall) const;
    Vote issuedEligibility(const ParsedKey &parsedKey, RosterId claimedRoster) const;
    Vote opaqueEligibility(RosterId claimedRoster, const RosterChain &chain, WallTime wall) const;
    Vote memberEligibility(const Roster *roster, RosterId claimedRoster) const;
    WallTime expiryOf(const ParsedKey &parsedKey, WallTime wall) const;

    NodeIncarnation m_self;
    KeyTimeLimits m_limits;
    std::size_t m_maxRecords;
    std::uint64_t m_issuedCount = 0;
    std::unordered_map<std::string, Record> m_records;
};

} // namespace berylridge
