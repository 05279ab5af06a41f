// The witness role: records which run of which node asked for a key first, and denies it to others.
#pragma once

#include "berylridge/Idempotency/KeyTime.h"
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
    OtherRoster, ///< The key belongs to another roster than the one the asker named.
    Expired,     ///< The key is past its lifetime, or from the future.
    Full,        ///< No memory for another key.
    Stale,       ///< The claim is older than one that the asker made since; not answered.
};

/// When a key's votes may be given, by the witness's own clock.
struct KeyLimits
{
    Duration lifetime {0};
    Duration futureTolerance {0};
    Duration clockSkew {0};
};

/// A claim as a witness sees it.
struct WitnessedClaim
{
    NodeRun asker;
    RosterId roster = 0;
    std::uint64_t claim = 0;
};

struct VoteResult
{
    Vote vote = Vote::Abstain;
    NodeRun holder; ///< With Held.
};

/// A roster's id in claims for issued keys, whose only witness is the issuer.
inline constexpr RosterId issuerRoster = 2;

class Witness
{
public:
    Witness(NodeRun self, KeyLimits limits, std::size_t recordLimit);

    /// The wall-clock time must not step back between calls.
    VoteResult vote(const std::string &key, const WitnessedClaim &claim, const RosterChain &chain,
                    WallTime wall);
    /// The asker has not run the key under any of its claims up to this one.
    void release(const std::string &key, const NodeRun &asker, std::uint64_t claim);

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

    Vote eligibility(const KeyText &text, RosterId asked, const RosterChain &chain,
                     WallTime wall) const;
    Vote issuedEligibility(const KeyText &text, RosterId asked) const;
    Vote opaqueEligibility(RosterId asked, const RosterChain &chain, WallTime wall) const;
    Vote memberEligibility(const Roster *roster, RosterId asked) const;
    WallTime expiryOf(const KeyText &text, WallTime wall) const;

    NodeRun m_self;
    KeyLimits m_limits;
    std::size_t m_recordLimit;
    std::uint64_t m_issued = 0;
    std::unordered_map<std::string, Record> m_records;
};

} // namespace berylridge
