// What nodes say to each other, apart from the idempotency component's own messages. Encoded by
// MessagePack as arrays: a newer release appends fields, an older one skips what it doesn't know.
#pragma once

#include "berylridge/Support/Id.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

namespace berylridge {

/// A workspace's use of a service: flowId() of both names.
using FlowId = std::uint64_t;
/// A target's name in messages: hash64() of it.
using TargetHash = std::uint64_t;
/// The targets of one service in one availability zone that have one owner (Policy/Pool.h).
using PoolId = std::uint64_t;
/// Unique over the owners of a pool and their restarts.
using LeaseId = std::uint64_t;

/// Says that the sender lives, and which versions of documents it has in force. Sent each heartbeat
/// period to the zone's nodes and to one counterpart in each other zone.
struct Heartbeat
{
    std::uint64_t sequence = 0;
    std::string zone;
    std::uint8_t nodeState = 0;        ///< Fleet/Membership.h, NodeState.
    std::uint64_t documentsDigest = 0; ///< Of all names and versions; differs when any differs.
    std::uint64_t platformAgeMs = 0;   ///< Since the sender's zone last heard the platform.
    std::uint64_t vmListRevision = 0;
    std::string address; ///< Where the sender is reached: the VM list may not have it yet.
    std::uint16_t port = 0;
    std::uint64_t zoneDigest = 0;            ///< Of the sender's view of its own zone.
    std::uint64_t counterpartZoneDigest = 0; ///< Of what the sender holds of the receiver's zone.
    MSGPACK_DEFINE(sequence, zone, nodeState, documentsDigest, platformAgeMs, vmListRevision,
                   address, port, zoneDigest, counterpartZoneDigest)
};

/// Name and version of a document in force.
struct DocumentVersionEntry
{
    std::string name;
    std::uint64_t version = 0;
    MSGPACK_DEFINE(name, version)
};

/// One member of the sender's zone.
struct ZoneMember
{
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint8_t state = 0; ///< Chart/MemberLife.h, MemberState.
    std::string address;
    std::uint16_t port = 0;
    MSGPACK_DEFINE(node, incarnation, state, address, port)
};

/// Who lives in the sender's zone, for nodes of other zones, which do not hear them all. Sent when
/// the receiver's heartbeat shows that it holds another view.
struct ZoneView
{
    std::string zone;
    std::vector<ZoneMember> members;
    MSGPACK_DEFINE(zone, members)
};

/// Asks for documents newer than the given heads.
struct DocumentsRequest
{
    std::vector<DocumentVersionEntry> have;
    std::uint64_t vmListRevision = 0; ///< A newer list is sent too.
    MSGPACK_DEFINE(have, vmListRevision)
};

struct DocumentMessage
{
    std::string name;
    std::uint64_t version = 0;
    std::string text;
    MSGPACK_DEFINE(name, version, text)
};

/// Documents that the receiver lacks, or that were just published. Travels by call when too large
/// for a datagram.
struct DocumentsReply
{
    std::vector<DocumentMessage> documents;
    MSGPACK_DEFINE(documents)
};

/// One VM in a VmListMessage.
struct VmMessage
{
    std::string node;
    std::string zone;
    std::string address;
    std::uint16_t port = 0;
    bool isLeaving = false;
    MSGPACK_DEFINE(node, zone, address, port, isLeaving)
};

/// The VM list as a reader of the zone got it from the platform.
struct VmListMessage
{
    std::uint64_t revision = 0;
    std::vector<VmMessage> vms;
    MSGPACK_DEFINE(revision, vms)
};

/// Requests of one flow that wait at the sender.
struct FlowDemand
{
    FlowId flow = 0;
    std::uint32_t waiting = 0;
    std::uint32_t oldestMs = 0; ///< How long the oldest has waited.
    std::uint32_t costMs = 0;   ///< Expected slot time of the next one.
    MSGPACK_DEFINE(flow, waiting, oldestMs, costMs)
};

/// A lease that the sender holds.
struct HeldLease
{
    LeaseId lease = 0;
    TargetHash target = 0;
    FlowId flow = 0;
    std::uint32_t usedMs = 0; ///< Since it was granted.
    MSGPACK_DEFINE(lease, target, flow, usedMs)
};

/// From a holder to a pool's owner: all that waits for the service and all that it holds of the
/// pool. Whole each time, so that a lost one heals with the next, and a new owner learns what is
/// held.
struct PoolDemand
{
    PoolId pool = 0;
    std::uint64_t sequence = 0;
    std::int64_t sentAt = 0;     ///< The sender's clock in microseconds; grants demandSentAt it.
    std::uint64_t owner = 0;     ///< The incarnation of the owner that lastGrant speaks of.
    std::uint64_t lastGrant = 0; ///< The highest grant number that was received from it.
    std::vector<FlowDemand> demand;
    std::vector<HeldLease> held;
    bool hasHeldList = true; ///< False where only demand is told: held is empty and says nothing.
    MSGPACK_DEFINE(pool, sequence, sentAt, owner, lastGrant, demand, held, hasHeldList)
};

struct GrantedLease
{
    LeaseId lease = 0;
    TargetHash target = 0;
    FlowId flow = 0;
    MSGPACK_DEFINE(lease, target, flow)
};

/// From a pool's owner to a holder: each lease lets it run the flow's requests at the target, one
/// at a time. A request may begin until demandSentAt + term on the holder's clock, and while the
/// lease's requests have together used less than the quantum.
struct PoolGrant
{
    PoolId pool = 0;
    std::uint64_t number = 0;      ///< Rises by one per grant to this holder.
    std::int64_t demandSentAt = 0; ///< sentAt of the demand that this answers.
    std::uint32_t termMs = 0;
    std::uint32_t quantumMs = 0;
    std::vector<GrantedLease> leases;
    MSGPACK_DEFINE(pool, number, demandSentAt, termMs, quantumMs, leases)
};

struct ReturnedLease
{
    LeaseId lease = 0;
    std::uint32_t usedMs = 0;    ///< Slot time that the flow's requests took.
    std::uint32_t completed = 0; ///< Whole answers.
    bool isUnfit = false;        ///< Requests of the flow wait, but none may run at this target.
    MSGPACK_DEFINE(lease, usedMs, completed, isUnfit)
};

/// From a holder: these leases are free again.
struct PoolReturn
{
    PoolId pool = 0;
    std::vector<ReturnedLease> leases;
    std::string bootId;         ///< Of the target that completed them, as its answers said.
    std::uint64_t sequence = 0; ///< Shared with PoolDemand: demand sent earlier is out of date.
    MSGPACK_DEFINE(pool, leases, bootId, sequence)
};

/// From any node to the target's owner: what it met at the target.
struct TargetObservation
{
    PoolId pool = 0;
    TargetHash target = 0;
    std::uint8_t sign = 0; ///< Chart/TargetLife.h, TargetSign.
    std::string bootId;    ///< Empty when unknown.
    MSGPACK_DEFINE(pool, target, sign, bootId)
};

/// One flow in a PoolUsage.
struct FlowUsage
{
    FlowId flow = 0;
    std::uint64_t servedMs = 0; ///< Slot time since the sender began to own the pool.
    MSGPACK_DEFINE(flow, servedMs)
};

/// From a pool's owner to owners of the service's other pools: what the pool's flows have received.
/// Cumulative, so that a lost one heals with the next.
struct PoolUsage
{
    std::string service;
    PoolId pool = 0;
    std::uint64_t epoch = 0; ///< Differs for each time that a node begins to own a pool.
    std::vector<FlowUsage> flows;
    MSGPACK_DEFINE(service, pool, epoch, flows)
};

/// One lease in a PoolHandover.
struct HandoverLease
{
    LeaseId lease = 0;
    std::string node;
    std::uint64_t incarnation = 0;
    TargetHash target = 0;
    FlowId flow = 0;
    MSGPACK_DEFINE(lease, node, incarnation, target, flow)
};

/// One flow in a PoolHandover.
struct HandoverFlow
{
    FlowId flow = 0;
    double virtualTime = 0;
    MSGPACK_DEFINE(flow, virtualTime)
};

/// From a pool's owner to its successor, when ownership moves while both live: everything that was
/// given out. The sender grants nothing of the pool any more.
struct PoolHandover
{
    PoolId pool = 0;
    std::vector<HandoverLease> leases;
    std::vector<HandoverFlow> flows;
    MSGPACK_DEFINE(pool, leases, flows)
};

/// A request that crashed a target: its fingerprint, and which boot of which target it was.
struct CrashReport
{
    std::uint64_t fingerprint = 0;
    std::uint64_t boot = 0; ///< Hash of target and boot id, so that each crash counts once.
    MSGPACK_DEFINE(fingerprint, boot)
};

/// The sender leaves: it owns nothing from now on.
struct Goodbye
{
    std::uint64_t sequence = 0;
    MSGPACK_DEFINE(sequence)
};

using FleetMessage = std::variant<Heartbeat, ZoneView, DocumentsRequest, DocumentsReply,
                                  VmListMessage, PoolDemand, PoolGrant, PoolReturn,
                                  TargetObservation, PoolUsage, CrashReport, Goodbye, PoolHandover>;

} // namespace berylridge
