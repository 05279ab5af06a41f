// Messages between nodes that run the balancer: load digests, zone summaries, placements, and the
// state that the platform published. MessagePack encodes each structure as an array; newer releases
// append fields.
#pragma once

#include "berylridge/Catalog/Catalog.h"
#include "berylridge/Catalog/TargetRecord.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

namespace berylridge {

/// The load that the sender's own requests put on one target.
struct TargetLoadEntry
{
    std::uint32_t target = 0;  ///< hash32() of the target's id.
    std::uint32_t running = 0; ///< Requests of the sender that run there.
    std::uint32_t tokens = 0;  ///< Prompt tokens of these requests that the target has yet to read.
    MSGPACK_DEFINE(target, running, tokens)
};

/// Counts the tokens that the sender's requests have added to a target's cache since the sender
/// started.
struct TargetCacheWriteEntry
{
    std::uint32_t target = 0;        ///< hash32() of the target's id.
    std::uint32_t writtenTokens = 0; ///< Cumulative; wraps around.
    MSGPACK_DEFINE(target, writtenTokens)
};

/// A shared prompt prefix that the sender has just sent to a target.
struct PlacementEntry
{
    std::uint32_t prefix = 0; ///< Hash of the chain of prompt parts up to and including this one.
    std::uint32_t target = 0; ///< hash32() of the target's id.
    MSGPACK_DEFINE(prefix, target)
};

/// The token rates that a workspace's callers request and are admitted at the sender, smoothed over
/// a few seconds.
struct WorkspaceFlowEntry
{
    std::uint32_t workspace = 0; ///< hash32() of the workspace's name.
    std::uint32_t requestedTokensPerSecond = 0;
    std::uint32_t admittedTokensPerSecond = 0;
    MSGPACK_DEFINE(workspace, requestedTokensPerSecond, admittedTokensPerSecond)
};

/// A request that was running at a target when the target's connections broke, or a part of its
/// prompt.
struct InterruptionEntry
{
    /// The request's fingerprint, or the part's id. With 0 and `isCleared`, the boot has not
    /// crashed, which clears all subjects that were interrupted there up to `ageMs` ago.
    std::uint64_t subject = 0;
    std::uint64_t boot = 0; ///< Boot of the target whose connections broke.
    /// The subject has got a complete response since, or the target has not crashed.
    bool isCleared = false;
    std::uint32_t ageMs = 0; ///< Time since the interruption was observed.
    MSGPACK_DEFINE(subject, boot, isCleared, ageMs)
};

struct PeerEntry
{
    std::string node;
    std::string zone;
    std::string address;
    std::uint16_t port = 0;
    MSGPACK_DEFINE(node, zone, address, port)
};

/// When the platform last answered, and how long it has been up; see PlatformUptime.
struct PlatformStatus
{
    std::uint32_t answeredMs = 0; ///< Milliseconds since the last answer.
    /// Milliseconds since the end of the last outage or the first known answer, at least 1; 0 if no
    /// answer is known.
    std::uint32_t upMs = 0;
    /// Milliseconds for which a request of the sender has waited for an answer, in a relay a
    /// request of any node; 0 if none does. A reader always waits, for at least 1 ms.
    std::uint32_t waitingMs = 0;
    bool followsOutage = false; ///< Whether an outage is known to have ended `upMs` ago.
    MSGPACK_DEFINE(answeredMs, upMs, waitingMs, followsOutage)
};

/// Gossip message that a node sends to peers in each period. It serves as a heartbeat and carries
/// the sender's loads and the versions of the state that the sender uses.
struct LoadDigest
{
    std::string zone;
    std::string address; ///< Address at which other nodes reach the sender.
    std::uint16_t port = 0;
    bool isLeaving = false;
    std::uint64_t catalogVersion = 0;
    std::uint64_t directoryRevision = 0;
    std::vector<TargetLoadEntry> loads;
    std::vector<WorkspaceFlowEntry> flows;
    std::vector<InterruptionEntry> interruptedRequests;
    /// Included in some digests only: some of the nodes that the sender received messages from
    /// lately.
    std::vector<PeerEntry> peers;
    std::uint32_t servedPerSecond = 0;   ///< Tokens of requests that the sender admitted.
    std::uint32_t rejectedPerSecond = 0; ///< Tokens of requests rejected for lack of capacity.
    /// Whether the sender reads the platform's state and the platform responds.
    bool isReadingPlatform = false;
    /// Whether the sender's loads and flows are missing here. Where the receiver is in another zone
    /// of a large fleet, the summaries of the sender's zone contain them.
    bool isSummarized = false;
    /// Tokens of requests that started late, or that were rejected because no target had room.
    std::uint32_t missedPerSecond = 0;
    std::uint8_t rotation = 0;  ///< The sender's RotationState.
    PlatformStatus platform {}; ///< Of the sender's own reads.
    /// Whether the sender can tell which software versions were listed for as long as a stream may
    /// be taken up.
    bool keepsVersionHistory = false;
    MSGPACK_DEFINE(zone, address, port, isLeaving, catalogVersion, directoryRevision, loads, flows,
                   interruptedRequests, peers, servedPerSecond, rejectedPerSecond,
                   isReadingPlatform, isSummarized, missedPerSecond, rotation, platform,
                   keepsVersionHistory)
};

/// The load that the requests of all nodes of the sender's zone put on targets. Each node of a zone
/// sends it to some nodes of the other zones. A large summary is sent in several parts.
struct ZoneLoadSummary
{
    std::string zone;
    std::uint32_t nodes = 0; ///< Number of nodes whose loads are included.
    /// Covers the targets whose keys lie in this inclusive range; those without an entry have no
    /// load.
    std::uint32_t firstTarget = 0;
    std::uint32_t lastTarget = 0;
    std::vector<TargetLoadEntry> loads;
    MSGPACK_DEFINE(zone, nodes, firstTarget, lastTarget, loads)
};

/// The token rates at all nodes of the sender's zone, sent like ZoneLoadSummary.
struct ZoneFlowSummary
{
    std::string zone;
    std::uint32_t nodes = 0;               ///< Number of nodes whose rates are included.
    std::vector<WorkspaceFlowEntry> flows; ///< Only the workspaces with the highest demand.
    std::uint32_t servedPerSecond = 0;
    std::uint32_t rejectedPerSecond = 0;
    std::uint32_t missedPerSecond = 0;
    MSGPACK_DEFINE(zone, nodes, flows, servedPerSecond, rejectedPerSecond, missedPerSecond)
};

/// The prompt prefixes that the sender's requests added to targets' caches. It is sent along with
/// digests until each peer has received it.
struct PlacementUpdate
{
    std::vector<PlacementEntry> placements;
    std::vector<TargetCacheWriteEntry> cacheWrites; ///< Only targets whose count has changed.
    /// The same for the nodes of other zones, where a node receives only some of the sender's
    /// messages and the rest through its peers: the counts' increases.
    std::vector<TargetCacheWriteEntry> cacheWriteIncreases;
    MSGPACK_DEFINE(placements, cacheWrites, cacheWriteIncreases)
};

/// A request that a node has just sent to a target. Unlike the loads in digests, it is sent to the
/// other nodes at once: to the nodes of the own zone, and to one node of each other zone, which
/// relays it in its zone.
struct DispatchNotice
{
    std::string zone;         ///< Zone of the node that sent the request.
    std::uint32_t target = 0; ///< hash32() of the target's id.
    std::uint32_t tokens = 0; ///< Prompt tokens that the target has to read.
    std::uint32_t waitMs = 0; ///< Expected time before the target starts to process the request.
    std::uint32_t busyMs = 0; ///< Expected time that it then takes to read or to process it.
    /// The shared prompt prefixes that the target reads for it and caches.
    std::vector<std::uint32_t> prefixes;
    MSGPACK_DEFINE(zone, target, tokens, waitMs, busyMs, prefixes)
};

/// The software version that began a stream.
struct StreamOriginEntry
{
    /// hash64() of the request id of the attempt that brought the stream's first event.
    std::uint64_t stream = 0;
    std::uint32_t service = 0; ///< hash32() of the service's name.
    std::uint64_t version = 0; ///< VersionKey.
    std::uint32_t attempt
        = 0; ///< Of two entries of a stream, the one with the higher number holds.
    /// Whether it was recorded with the stream's first event; earlier releases recorded the head of
    /// a response.
    bool isOfFirstEvent = false;
    MSGPACK_DEFINE(stream, service, version, attempt, isOfFirstEvent)
};

/// Streams that began at the sender, for a node that keeps them in case the sender fails.
struct StreamOriginUpdate
{
    std::vector<StreamOriginEntry> streams;
    MSGPACK_DEFINE(streams)
};

/// Asks which software version began a stream.
struct StreamOriginQuery
{
    std::uint64_t stream = 0; ///< As in StreamOriginEntry.
    std::string service;      ///< Service of the stream, as far as the sender can tell.
    /// Whether the receiver may read the platform to find out that only one version was listed.
    bool mayReadPlatform = false;
    std::uint64_t route = 0;  ///< RouteKey of the route that selected the service.
    std::uint64_t lookup = 0; ///< Number that the answer repeats.
    MSGPACK_DEFINE(stream, service, mayReadPlatform, route, lookup)
};

struct StreamOriginAnswer
{
    StreamOriginEntry origin;
    bool isKnown = false;     ///< Whether the fields of `origin` other than `stream` are set.
    std::uint8_t basis = 0;   ///< OriginBasis.
    std::uint64_t lookup = 0; ///< As in the query.
    MSGPACK_DEFINE(origin, isKnown, basis, lookup)
};

/// Parts of prompts that targets were running when their connections broke. It is sent along with
/// digests until each peer has received it; entries of the parts that are quarantined are repeated.
struct InterruptedPartsUpdate
{
    std::vector<InterruptionEntry> parts;
    MSGPACK_DEFINE(parts)
};

/// Tells the other nodes that the sender lets one request with a quarantined part run, so that they
/// wait for its result. It is sent at once, in the same way as DispatchNotice.
struct RerunNotice
{
    std::string zone; ///< Zone of the node that runs the request.
    std::uint64_t part = 0;
    bool hasEnded = false; ///< The request has ended without crashing its target.
    MSGPACK_DEFINE(zone, part, hasEnded)
};

/// Asks a peer whose digest shows newer state for everything that is newer than these versions.
struct StateRequest
{
    std::uint64_t catalogVersion = 0;
    std::uint64_t directoryRevision = 0;
    MSGPACK_DEFINE(catalogVersion, directoryRevision)
};

/// A newer catalog. It is sent by call if it is too large for a datagram.
struct CatalogUpdate
{
    Catalog catalog;
    MSGPACK_DEFINE(catalog)
};

/// Directory entries that are newer than the receiver's.
struct DirectoryRelay
{
    DirectoryUpdate directoryUpdate;
    /// All that the sender knows, so that the receiver tells lapsed entries from departures.
    PlatformStatus platform {};
    MSGPACK_DEFINE(directoryUpdate, platform)
};

using BalancerMessage
    = std::variant<LoadDigest, StateRequest, CatalogUpdate, DirectoryRelay, PlacementUpdate,
                   ZoneLoadSummary, ZoneFlowSummary, DispatchNotice, StreamOriginUpdate,
                   StreamOriginQuery, StreamOriginAnswer, InterruptedPartsUpdate, RerunNotice>;

} // namespace berylridge
