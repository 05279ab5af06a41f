// What the idempotency component says between nodes: admission of a key by witnesses, the kept
// answer of a finished key, and the agreement on who the witnesses are.
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
    std::string key;          ///< Scoped: service, workspace and the caller's key.
    std::uint64_t roster = 0; ///< The roster whose members the sender asks.
    std::uint64_t claim = 0;  ///< Rises with each claim of the sender.
    MSGPACK_DEFINE(key, roster, claim)
};

/// A witness's answer to a claim.
struct KeyVote
{
    std::string key;
    std::uint64_t roster = 0;
    std::uint64_t claim = 0;
    std::uint8_t vote = 0; ///< Idempotency/Witness.h, Vote.
    std::string holder;    ///< Who holds the key, where it is not the claimant.
    std::uint64_t holderIncarnation = 0;
    std::uint64_t requesterIncarnation = 0; ///< The run whose claim this answers.
    MSGPACK_DEFINE(key, roster, claim, vote, holder, holderIncarnation, requesterIncarnation)
};

/// The sender has not run the key under any of its claims up to this one, and never will.
struct KeyRelease
{
    std::string key;
    std::uint64_t claim = 0;
    MSGPACK_DEFINE(key, claim)
};

/// Asks the holder of a key for its state or its kept answer.
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

/// The holder's word on a key, with the kept answer where there is one.
struct KeyState
{
    std::string key;
    std::uint64_t query = 0;
    std::uint8_t state = 0; ///< Idempotency/KeyLife.h, KeyPhase.
    std::uint32_t status = 0;
    std::vector<KeyHeader> headers;
    std::string body;
    std::uint64_t bodyHash = 0;             ///< Of the request that the holder took.
    std::uint64_t requesterIncarnation = 0; ///< The run whose query this answers.
    MSGPACK_DEFINE(key, query, state, status, headers, body, bodyHash, requesterIncarnation)
};

struct RosterMemberMessage
{
    std::string node;
    std::uint64_t incarnation = 0;
    MSGPACK_DEFINE(node, incarnation)
};

/// A set of witnesses for the keys made after a moment.
struct RosterMessage
{
    std::string proposer;
    std::uint64_t proposerIncarnation = 0;
    std::uint64_t sequence = 0; ///< Counts the proposer's rosters.
    std::int64_t startsAt = 0;  ///< Milliseconds of wall-clock time.
    bool isActive = false;      ///< False while only proposed.
    std::vector<RosterMemberMessage> members;
    std::uint64_t listRevision = 0; ///< Of the VM list that names all members.
    MSGPACK_DEFINE(proposer, proposerIncarnation, sequence, startsAt, isActive, members,
                   listRevision)
};

/// Asks for consent to a roster.
struct RosterProposal
{
    RosterMessage roster;
    std::vector<std::uint64_t>
        baseRosters; ///< The rosters whose members the proposer asks as well.
    MSGPACK_DEFINE(roster, baseRosters)
};

/// Consent, or a refusal with what the proposal left out.
struct RosterProposalReply
{
    std::uint64_t roster = 0;
    bool isGranted = false;
    std::vector<RosterMessage> known;
    MSGPACK_DEFINE(roster, isGranted, known)
};

/// From the proposer alone: the roster is active, or never will be.
struct RosterDecision
{
    std::uint64_t roster = 0;
    bool isActive = false;
    MSGPACK_DEFINE(roster, isActive)
};

/// A sign of life with the sender's latest active roster. The rosters themselves follow where the
/// receiver has another; proposed ones are sent to their proposer, to ask how they terminated.
struct RosterUpdate
{
    std::uint64_t latest = 0;
    std::vector<RosterMessage> rosters;
    std::vector<RosterMemberMessage> terminated; ///< Members that the sender has a proof against.
    MSGPACK_DEFINE(latest, rosters, terminated)
};

using KeyMessage = std::variant<KeyClaim, KeyVote, KeyRelease, KeyQuery, KeyState, RosterUpdate,
                                RosterProposal, RosterProposalReply, RosterDecision>;

} // namespace berylridge
