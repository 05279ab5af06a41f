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

/// A workspace's use of a service: a hash of both names (see Policy/Ledger.h).
using FlowId = std::uint64_t;

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
    MSGPACK_DEFINE(sequence, zone, nodeState, documentsDigest, platformAgeMs, vmListRevision)
};

/// Name and version of a document in force.
struct DocumentHead
{
    std::string name;
    std::uint64_t version = 0;
    MSGPACK_DEFINE(name, version)
};

/// Asks for the receiver's document heads; sent when digests differ.
struct HeadsRequest
{
    std::uint64_t documentsDigest = 0;
    MSGPACK_DEFINE(documentsDigest)
};

struct HeadsReply
{
    std::vector<DocumentHead> heads;
    bool isWhole = true; ///< False where only some fitted.
    MSGPACK_DEFINE(heads, isWhole)
};

/// Asks for documents newer than the given heads.
struct DocumentsRequest
{
    std::vector<DocumentHead> have;
    MSGPACK_DEFINE(have)
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

/// Waiting requests of the sender's flows that share a virtual time, lowest first.
struct DemandEntry
{
    double virtualTime = 0; ///< Of the flow's next request.
    double cost = 0;        ///< Virtual time that each of them is expected to add.
    std::uint32_t waiting = 0;
    MSGPACK_DEFINE(virtualTime, cost, waiting)
};

/// A lease that the sender holds.
struct HeldLease
{
    std::uint64_t lease = 0;
    bool isBusy = false; ///< A request runs on it.
    MSGPACK_DEFINE(lease, isBusy)
};

/// From a holder to the owner of targets: what it wants of a service and what it holds of the
/// owner's targets. Whole each time, so that a lost one heals with the next.
struct SlotDemand
{
    std::string service;
    std::uint64_t sequence = 0;
    std::int64_t sentAt = 0; ///< The sender's clock in microseconds; grants echo it.
    std::vector<DemandEntry> entries;
    MSGPACK_DEFINE(service, sequence, sentAt, entries)
};

/// What the sender holds of one target. Sent to the target's owner with demand and each tick while
/// anything is held.
struct SlotHoldings
{
    std::string target;
    std::uint64_t sequence = 0;
    std::int64_t sentAt = 0;
    std::vector<HeldLease> held;
    std::uint32_t completed = 0; ///< Answers completed there since the target's boot that was seen.
    std::string bootId;          ///< The target's boot that the sender last saw.
    MSGPACK_DEFINE(target, sequence, sentAt, held, completed, bootId)
};

/// From the owner to a holder: it may run one request at a time at the target for the term.
struct SlotGrant
{
    std::string target;
    std::uint64_t lease
        = 0; ///< Unique per owner incarnation; carries the owner's start in its high bits.
    std::int64_t echo
        = 0; ///< The holder's own clock, from the demand or holdings that this answers.
    std::int64_t termUs = 0; ///< Valid until echo + term on the holder's clock.
    MSGPACK_DEFINE(target, lease, echo, termUs)
};

/// From the owner: give idle leases of the target back now, others wait.
struct SlotRecall
{
    std::string target;
    std::uint32_t count = 0;
    MSGPACK_DEFINE(target, count)
};

/// From a holder: these leases are free again.
struct SlotReturn
{
    std::string target;
    std::vector<std::uint64_t> leases;
    MSGPACK_DEFINE(target, leases)
};

/// From any node to the target's owner: what it saw of the target.
struct TargetNews
{
    std::string target;
    std::string bootId;    ///< Empty when unknown.
    std::uint8_t kind = 0; ///< Policy/TargetLife.h, TargetSign.
    MSGPACK_DEFINE(target, bootId, kind)
};

/// One flow in a ServiceReport.
struct FlowService
{
    FlowId flow = 0;
    double cumulative = 0; ///< Virtual time charged by the sender since its start.
    double folded = 0;     ///< What of it the last published total already held.
    double known = 0;      ///< The last published total that the sender knows.
    MSGPACK_DEFINE(flow, cumulative, folded, known)
};

/// From a node to the flow's home in its zone.
struct ServiceReport
{
    std::vector<FlowService> flows;
    MSGPACK_DEFINE(flows)
};

/// One flow in a ServiceTotals.
struct FlowTotal
{
    FlowId flow = 0;
    double total = 0;  ///< Virtual time over the fleet, as far as the home knows.
    double folded = 0; ///< The receiver's own cumulative charge that the total holds.
    MSGPACK_DEFINE(flow, total, folded)
};

/// From a flow's home to the nodes that report it.
struct ServiceTotals
{
    std::vector<FlowTotal> flows;
    MSGPACK_DEFINE(flows)
};

/// One flow in a ZoneService.
struct FlowZone
{
    FlowId flow = 0;
    double cumulative
        = 0; ///< Virtual time charged in the sender's zone since the sender became home.
    double total = 0;
    MSGPACK_DEFINE(flow, cumulative, total)
};

/// From a flow's home to its homes in other zones.
struct ZoneService
{
    std::string zone;
    std::vector<FlowZone> flows;
    MSGPACK_DEFINE(zone, flows)
};

/// A request that crashed targets: its fingerprint and how many it crashed.
struct CrashNews
{
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;
    MSGPACK_DEFINE(fingerprint, crashes)
};

/// The sender leaves: it owns nothing from now on.
struct Goodbye
{
    std::uint64_t sequence = 0;
    MSGPACK_DEFINE(sequence)
};

using FleetMessage
    = std::variant<Heartbeat, HeadsRequest, HeadsReply, DocumentsRequest, DocumentsReply,
                   VmListMessage, SlotDemand, SlotHoldings, SlotGrant, SlotRecall, SlotReturn,
                   TargetNews, ServiceReport, ServiceTotals, ZoneService, CrashNews, Goodbye>;

} // namespace berylridge
