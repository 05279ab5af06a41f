// The messages that the idempotency component exchanges between nodes: admission of a key by
// witnesses, the stored response of a finished key, and the agreement on the set of witnesses.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

namespace berylridge {

/// Asks a witness to record that the sender runs the operation named by the key.
struct KeyClaim
{
    std::string key;          ///< Consists of service, workspace and the caller's key.
    std::uint64_t roster = 0; ///< The roster whose members receive the claim.
    std::uint64_t claim = 0;  ///< Increases with each claim of the sender.
    MSGPACK_DEFINE(key, roster, claim)
};

/// A witness's reply to a claim.
struct KeyVote
{
    std::string key;
    std::uint64_t roster = 0;
    std::uint64_t claim = 0;
    std::uint8_t vote = 0; ///< A value of Vote in Idempotency/Witness.h.
    std::string holder;    ///< The node that holds the key, if it is not the claimant.
    std::uint64_t holderIncarnation = 0;
    /// The claimant's incarnation to which this vote replies.
    std::uint64_t requesterIncarnation = 0;
    MSGPACK_DEFINE(key, roster, claim, vote, holder, holderIncarnation, requesterIncarnation)
};

/// States that the sender has not run the key under any of its claims up to this one and never
/// will.
struct KeyRelease
{
    std::string key;
    std::uint64_t claim = 0;
    MSGPACK_DEFINE(key, claim)
};

/// Asks the holder of a key for the key's state and stored response.
struct KeyQuery
{
    std::string key;
    std::uint64_t query = 0;
    MSGPACK_DEFINE(key, query)
};

struct KeyHeader
{
    std::string name;
    std::string value;
    MSGPACK_DEFINE(name, value)
};

/// The holder's reply about a key, with the stored response if there is one.
struct KeyState
{
    std::string key;
    std::uint64_t query = 0;
    std::uint8_t state = 0; ///< A value of KeyPhase in Idempotency/KeyPhase.h.
    std::uint32_t status = 0;
    std::vector<KeyHeader> headers;
    std::string body;
    /// The hash of the request body that the holder received.
    std::uint64_t bodyHash = 0;
    /// The requester's incarnation to which this message replies.
    std::uint64_t requesterIncarnation = 0;
    MSGPACK_DEFINE(key, query, state, status, headers, body, bodyHash, requesterIncarnation)
};

struct RosterMemberMessage
{
    std::string node;
    std::uint64_t incarnation = 0;
    MSGPACK_DEFINE(node, incarnation)
};

/// The set of witnesses for the keys created after startsAt.
struct RosterMessage
{
    std::string proposer;
    std::uint64_t proposerIncarnation = 0;
    std::uint64_t sequence = 0; ///< Counts the rosters of the proposer.
    std::int64_t startsAt = 0;  ///< Wall-clock time in milliseconds.
    bool isActive = false;      ///< False while the roster is only proposed.
    std::vector<RosterMemberMessage> members;
    /// The revision of the VM list that names all members.
    std::uint64_t listRevision = 0;
    MSGPACK_DEFINE(proposer, proposerIncarnation, sequence, startsAt, isActive, members,
                   listRevision)
};

/// Asks for consent to a roster.
struct RosterProposal
{
    RosterMessage roster;
    /// The live rosters that the proposer knows; it asks their members for consent too.
    std::vector<std::uint64_t> baseRosters;
    MSGPACK_DEFINE(roster, baseRosters)
};

/// Consent to a proposal, or a rejection with the rosters that the proposal did not take into
/// account.
struct RosterProposalReply
{
    std::uint64_t roster = 0;
    bool isGranted = false;
    std::vector<RosterMessage> known;
    MSGPACK_DEFINE(roster, isGranted, known)
};

/// Sent only by the proposer: the roster is active, or it never will be.
struct RosterDecision
{
    std::uint64_t roster = 0;
    bool isActive = false;
    MSGPACK_DEFINE(roster, isActive)
};

/// A periodic liveness message with the sender's latest active roster. The rosters themselves are
/// sent if the receiver's latest active roster differs. A proposed roster is sent to its proposer
/// to ask whether it became active.
struct RosterUpdate
{
    std::uint64_t latest = 0;
    std::vector<RosterMessage> rosters;
    /// Roster members that the sender has proof of having terminated.
    std::vector<RosterMemberMessage> terminated;
    MSGPACK_DEFINE(latest, rosters, terminated)
};

using KeyMessage = std::variant<KeyClaim, KeyVote, KeyRelease, KeyQuery, KeyState, RosterUpdate,
                                RosterProposal, RosterProposalReply, RosterDecision>;

} // namespace berylridge
