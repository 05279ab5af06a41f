// Messages between nodes, except those of the idempotency component. MessagePack encodes each
// structure as an array: newer releases append fields, and older ones skip fields that they do not
// know.
#pragma once

#include "berylridge/Support/Id.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

namespace berylridge {

/// Identifies a flow, that is, the requests of one workspace to one service: flowId() of both
/// names.
using FlowId = std::uint64_t;
/// Identifies a target in messages: hash64() of its name.
using TargetHash = std::uint64_t;
/// Identifies a pool: targets of one service in one availability zone that share one owner
/// (Policy/Pool.h).
using PoolId = std::uint64_t;
/// Identifies a lease; unique across all owners of a pool and their restarts.
using LeaseId = std::uint64_t;

/// Shows that the sender is alive and which document versions are active on it. A node sends it in
/// each heartbeat period to the nodes of its zone and to one counterpart in each other zone.
struct Heartbeat
{
    std::uint64_t sequence = 0;
    std::string zone;
    std::uint8_t nodeState = 0;        ///< A MemberState (Chart/MemberStateMachine.h).
    std::uint64_t documentsDigest = 0; ///< Hash of all document names and versions.
    std::uint64_t platformAgeMs
        = 0; ///< Time since the platform last responded to the sender's zone.
    std::uint64_t vmListRevision = 0;
    std::string address; ///< The sender's address, which the VM list may not contain yet.
    std::uint16_t port = 0;
    std::uint64_t zoneDigest = 0;            ///< Hash of the sender's view of its own zone.
    std::uint64_t counterpartZoneDigest = 0; ///< Hash of its view of the receiver's zone.
    MSGPACK_DEFINE(sequence, zone, nodeState, documentsDigest, platformAgeMs, vmListRevision,
                   address, port, zoneDigest, counterpartZoneDigest)
};

/// Name and version of an active document.
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
    std::uint8_t state = 0; ///< A MemberState (Chart/MemberStateMachine.h).
    std::string address;
    std::uint16_t port = 0;
    MSGPACK_DEFINE(node, incarnation, state, address, port)
};

/// The members of the sender's zone, for nodes of other zones, which do not receive heartbeats from
/// all of them. It is sent when the receiver's heartbeat shows that it has a different view.
struct ZoneView
{
    std::string zone;
    std::vector<ZoneMember> members;
    MSGPACK_DEFINE(zone, members)
};

/// Asks for documents that are newer than the given versions.
struct DocumentsRequest
{
    std::vector<DocumentVersionEntry> have;
    std::uint64_t vmListRevision = 0; ///< The reply includes the VM list if it is newer.
    MSGPACK_DEFINE(have, vmListRevision)
};

struct DocumentMessage
{
    std::string name;
    std::uint64_t version = 0;
    std::string text;
    MSGPACK_DEFINE(name, version, text)
};

/// Documents that the receiver lacks or that were just published. It is sent by call if it is too
/// large for a datagram.
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

/// The VM list as one of the zone's readers received it from the platform.
struct VmListMessage
{
    std::uint64_t revision = 0;
    std::vector<VmMessage> vms;
    MSGPACK_DEFINE(revision, vms)
};

/// Describes the requests of one flow that wait at the sender.
struct FlowDemand
{
    FlowId flow = 0;
    std::uint32_t waiting = 0;
    std::uint32_t oldestMs = 0; ///< Time that the oldest request has waited.
    std::uint32_t costMs = 0;   ///< Expected slot time of the next request.
    MSGPACK_DEFINE(flow, waiting, oldestMs, costMs)
};

/// A lease that the sender holds.
struct HeldLease
{
    LeaseId lease = 0;
    TargetHash target = 0;
    FlowId flow = 0;
    std::uint32_t usedMs = 0; ///< Slot time used since the lease was granted.
    MSGPACK_DEFINE(lease, target, flow, usedMs)
};

/// Sent by a lease holder to a pool's owner. It lists all requests that wait for the service and
/// all leases of the pool that the sender holds. Each message is complete, so that the next one
/// makes up for a lost one and a new owner learns which leases are held.
struct PoolDemand
{
    PoolId pool = 0;
    std::uint64_t sequence = 0;
    std::int64_t sentAt = 0;     ///< Sender's clock in microseconds; PoolGrant returns it.
    std::uint64_t owner = 0;     ///< Incarnation of the owner that sent lastGrant.
    std::uint64_t lastGrant = 0; ///< Highest grant number that arrived from this owner.
    std::vector<FlowDemand> demand;
    std::vector<HeldLease> held;
    bool hasHeldList = true; ///< False if only demand is reported; held is then meaningless.
    MSGPACK_DEFINE(pool, sequence, sentAt, owner, lastGrant, demand, held, hasHeldList)
};

struct GrantedLease
{
    LeaseId lease = 0;
    TargetHash target = 0;
    FlowId flow = 0;
    MSGPACK_DEFINE(lease, target, flow)
};

/// Sent by a pool's owner to a lease holder. Each lease permits the holder to run the flow's
/// requests at the target, one at a time. A request may start until demandSentAt + termMs on the
/// holder's clock, as long as the lease's requests have together used less than quantumMs.
struct PoolGrant
{
    PoolId pool = 0;
    std::uint64_t number = 0;      ///< Rises by one with each grant to this holder.
    std::int64_t demandSentAt = 0; ///< sentAt of the PoolDemand to which this message replies.
    std::uint32_t termMs = 0;
    std::uint32_t quantumMs = 0;
    std::vector<GrantedLease> leases;
    MSGPACK_DEFINE(pool, number, demandSentAt, termMs, quantumMs, leases)
};

struct ReturnedLease
{
    LeaseId lease = 0;
    std::uint32_t usedMs = 0;    ///< Slot time that the flow's requests used.
    std::uint32_t completed = 0; ///< Number of complete responses.
    bool isUnfit = false;        ///< Requests of the flow wait, but none may run at this target.
    MSGPACK_DEFINE(lease, usedMs, completed, isUnfit)
};

/// Sent by a lease holder to a pool's owner: the holder has released these leases.
struct PoolReturn
{
    PoolId pool = 0;
    std::vector<ReturnedLease> leases;
    std::string bootId;         ///< Boot id that the completing target's responses contained.
    std::uint64_t sequence = 0; ///< Shared with PoolDemand: a lower-numbered demand is outdated.
    MSGPACK_DEFINE(pool, leases, bootId, sequence)
};

/// Sent by any node to a target's owner: an event that the sender observed at the target.
struct TargetObservation
{
    PoolId pool = 0;
    TargetHash target = 0;
    std::uint8_t signal = 0; ///< A TargetSignal (Chart/TargetStateMachine.h).
    std::string bootId;      ///< Empty if unknown.
    MSGPACK_DEFINE(pool, target, signal, bootId)
};

/// One flow in a PoolUsage.
struct FlowUsage
{
    FlowId flow = 0;
    std::uint64_t servedMs = 0; ///< Slot time used since the sender became the pool's owner.
    MSGPACK_DEFINE(flow, servedMs)
};

/// Sent by a pool's owner to the owners of the service's other pools: the slot time that the pool's
/// flows have used. The values are cumulative, so that the next message makes up for a lost one.
struct PoolUsage
{
    std::string service;
    PoolId pool = 0;
    std::uint64_t epoch = 0; ///< Differs each time that a node becomes a pool's owner.
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

/// Sent by a pool's owner to its successor if ownership moves while both are alive. It lists all
/// outstanding leases; the sender has stopped granting leases of the pool.
struct PoolHandover
{
    PoolId pool = 0;
    std::vector<HandoverLease> leases;
    std::vector<HandoverFlow> flows;
    MSGPACK_DEFINE(pool, leases, flows)
};

/// Reports a request that crashed a target: the request's fingerprint and the target's boot.
struct CrashReport
{
    std::uint64_t fingerprint = 0;
    std::uint64_t boot = 0; ///< Hash of target and boot id, by which each crash is counted once.
    MSGPACK_DEFINE(fingerprint, boot)
};

/// Announces that the sender leaves the fleet and owns no pools from now on.
struct Goodbye
{
    std::uint64_t sequence = 0;
    MSGPACK_DEFINE(sequence)
};

using FleetMessage = std::variant<Heartbeat, ZoneView, DocumentsRequest, DocumentsReply,
                                  VmListMessage, PoolDemand, PoolGrant, PoolReturn,
                                  TargetObservation, PoolUsage, CrashReport, Goodbye, PoolHandover>;

} // namespace berylridge
