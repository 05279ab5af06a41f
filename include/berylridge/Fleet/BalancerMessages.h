// What nodes that run the balancer say to each other: loads, who is there, and what the platform
// published. Encoded by MessagePack as arrays; a newer release appends fields.
#pragma once

#include "berylridge/Catalog/Catalog.h"
#include "berylridge/Catalog/TargetRecord.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

namespace berylridge {

/// The sender's own prefix of one target's load.
struct TargetLoadEntry
{
    std::uint32_t target = 0;  ///< hash32() of its id.
    std::uint32_t running = 0; ///< Requests of the sender there.
    std::uint32_t tokens = 0;  ///< Prompt tokens that the target has still to read for them.
    MSGPACK_DEFINE(target, running, tokens)
};

/// How many tokens writtenTokens a target's memory by the sender's requests since the sender's
/// start.
struct TargetCacheWriteEntry
{
    std::uint32_t target = 0;        ///< hash32() of its id.
    std::uint32_t writtenTokens = 0; ///< Wraps around.
    MSGPACK_DEFINE(target, writtenTokens)
};

/// A prompt's shared prefix that the sender has just placed.
struct PlacementEntry
{
    std::uint32_t prefix = 0; ///< Of the chain of parts up to this one.
    std::uint32_t target = 0; ///< hash32() of the target's id.
    MSGPACK_DEFINE(prefix, target)
};

/// What a workspace's callers ask and get at the sender, smoothed over a few seconds.
struct WorkspaceFlowEntry
{
    std::uint32_t workspace = 0;                ///< hash32() of its name.
    std::uint32_t requestedTokensPerSecond = 0; ///< Tokens.
    std::uint32_t admittedTokensPerSecond = 0;  ///< Tokens.
    MSGPACK_DEFINE(workspace, requestedTokensPerSecond, admittedTokensPerSecond)
};

/// A request that was running when its target's connections broke.
struct InterruptedRequestEntry
{
    std::uint64_t fingerprint = 0;
    std::uint64_t boot = 0; ///< Of the target that broke.
    MSGPACK_DEFINE(fingerprint, boot)
};

struct PeerEntry
{
    std::string node;
    std::string zone;
    std::string address;
    std::uint16_t port = 0;
    MSGPACK_DEFINE(node, zone, address, port)
};

/// Sent each period to each peer: a sign of life, the sender's loads and what it has in force.
struct LoadDigest
{
    std::string zone;
    std::string address; ///< Where the sender is reached.
    std::uint16_t port = 0;
    bool isLeaving = false;
    std::uint64_t catalogVersion = 0;
    std::uint64_t directoryRevision = 0;
    std::vector<TargetLoadEntry> loads;
    std::vector<WorkspaceFlowEntry> flows;
    std::vector<InterruptedRequestEntry> interruptedRequests;
    std::vector<PeerEntry> peers;          ///< Now and then: some whom the sender has heard lately.
    std::uint32_t servedPerSecond = 0;     ///< Tokens of requests that the sender had admitted.
    std::uint32_t turnedAwayPerSecond = 0; ///< Tokens of requests that found no room.
    bool isReadingPlatform
        = false; ///< The sender cacheWrites the platform's state, and the platform answers.
    MSGPACK_DEFINE(zone, address, port, isLeaving, catalogVersion, directoryRevision, loads, flows,
                   interruptedRequests, peers, servedPerSecond, turnedAwayPerSecond,
                   isReadingPlatform)
};

/// What the sender made targets read and keep. Goes out with digests until each peer had it.
struct PlacementUpdate
{
    std::vector<PlacementEntry> placements;
    std::vector<TargetCacheWriteEntry> cacheWrites; ///< Where there is news.
    MSGPACK_DEFINE(placements, cacheWrites)
};

/// Asks a peer whose digest shows newer state for what is newer than this.
struct StateRequest
{
    std::uint64_t catalogVersion = 0;
    std::uint64_t directoryRevision = 0;
    MSGPACK_DEFINE(catalogVersion, directoryRevision)
};

/// A newer catalog. Travels by call where it is too large for a datagram.
struct CatalogUpdate
{
    Catalog catalog;
    MSGPACK_DEFINE(catalog)
};

/// Entries of the directory that are newer than the receiver's.
struct DirectoryRelay
{
    DirectoryUpdate news;
    MSGPACK_DEFINE(news)
};

using BalancerMessage
    = std::variant<LoadDigest, StateRequest, CatalogUpdate, DirectoryRelay, PlacementUpdate>;

} // namespace berylridge
