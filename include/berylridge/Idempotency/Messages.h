// What the idempotency component says between nodes: admission of a key by witnesses and the kept
// answer of a finished key.
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
    std::uint64_t roster = 0; ///< The roster version that the sender holds.
    std::uint64_t claim = 0;  ///< Tells this claim from the sender's others.
    MSGPACK_DEFINE(key, roster, claim)
};

/// A witness's answer to a claim.
struct KeyVote
{
    std::string key;
    std::uint64_t roster = 0;
    std::uint64_t claim = 0;
    std::uint8_t vote = 0; ///< Idempotency/Witness.h, Vote.
    std::string holder;    ///< Who holds the key, where it is not the asker.
    std::uint64_t holderIncarnation = 0;
    MSGPACK_DEFINE(key, roster, claim, vote, holder, holderIncarnation)
};

/// The holder gives up the key without having run it.
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
    MSGPACK_DEFINE(key, query, state, status, headers, body)
};

/// Tells another member which roster version the sender holds, and its members.
struct RosterNews
{
    std::uint64_t roster = 0;
    std::vector<std::string> members;
    MSGPACK_DEFINE(roster, members)
};

using KeyMessage = std::variant<KeyClaim, KeyVote, KeyRelease, KeyQuery, KeyState, RosterNews>;

} // namespace berylridge
