// What the decision core is told: each event carries values only, no socket and no thread.
#pragma once

#include "berylridge/Catalog/Catalog.h"
#include "berylridge/Catalog/TargetRecord.h"
#include "berylridge/Config/Documents.h"
#include "berylridge/Config/Vms.h"
#include "berylridge/Fleet/BalancerMessages.h"
#include "berylridge/Fleet/Messages.h"
#include "berylridge/Idempotency/Messages.h"
#include "berylridge/Policy/NodeLoad.h"
#include "berylridge/Router/Prompt.h"
#include "berylridge/Support/Endpoint.h"
#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace berylridge {

/// The shell's number for one caller's request; never given twice by a process.
using RequestHandle = std::uint64_t;
/// Counts the attempts of one request, from 1.
using AttemptNumber = std::uint32_t;

/// A caller's request has been read whole.
struct RequestArrived
{
    RequestHandle handle = 0;
    std::string requestId; ///< From X-Request-Id, else made by the shell.
    ServiceId service;
    std::string credential; ///< The workspace's key, from the Authorization header.
    std::string method;
    std::string path; ///< Below the service's prefix, with the query.
    std::optional<std::string> idempotencyKey;
    std::uint64_t bodyHash = 0;
    std::uint64_t bodyBytes = 0;
    std::optional<double> costHint;       ///< Seconds of a slot, as the caller guesses.
    std::optional<Duration> maxQueueWait; ///< How long the caller is willing to wait in the queue.

    // For callers whose service follows from a route of the catalog; the service is empty then.
    std::string host;                 ///< Of the Host field, without a port.
    std::optional<Duration> deadline; ///< How long the caller waits for the whole answer.
    std::optional<Prompt> prompt;
};

/// A caller asks for an idempotency key (POST /v1/idempotency-keys): this process alone admits it,
/// so a zone that is cut off can serve it. Answered by SendStoredResponse with status 201, or by
/// Refuse.
struct KeyIssueRequested
{
    RequestHandle handle = 0;
    std::string requestId;
    std::string credential;
};

/// The caller closed its connection before its answer was whole.
struct CallerGone
{
    RequestHandle handle = 0;
};

/// Why an attempt ended without a whole answer.
enum class AttemptFailure : std::uint8_t {
    ConnectRefused, ///< The target's port was closed: that boot of it is gone.
    ConnectTimeout,
    Reset,             ///< The connection broke.
    Timeout,           ///< No byte for the idle timeout, or the attempt's time ran out.
    InvalidResponse,   ///< Not HTTP, not the request's own id, or longer than announced.
    TruncatedResponse, ///< Fewer bytes than announced, or a stream without its end.
    NotRun,            ///< The target says that it has not run the request and won't.
    OtherTarget,       ///< Another target answers at this address; the request has not run.
    TargetError,       ///< The target ran the request and answered with a failure of its own.
};

/// The target's answer head came, with the request's own id.
struct AttemptHead
{
    RequestHandle handle = 0;
    AttemptNumber attempt = 0;
    unsigned status = 0;
    std::string bootId; ///< From the target's answer; empty when it doesn't tell.
};

/// The answer has reached its end and is whole.
struct AttemptDone
{
    RequestHandle handle = 0;
    AttemptNumber attempt = 0;
    unsigned status = 0;
    std::string bootId;
    std::uint64_t bodyBytes = 0;
    /// The answer, kept where the request carried an idempotency key and it is small enough.
    std::vector<KeyHeader> storedHeaders;
    std::optional<std::string> storedBody;
};

struct AttemptFailed
{
    RequestHandle handle = 0;
    AttemptNumber attempt = 0;
    AttemptFailure failure = AttemptFailure::Reset;
    bool sentAny = true;      ///< Whether a byte of the request may have left for the target.
    bool answerBegun = false; ///< Whether the caller has already been sent part of the answer.
    bool hasHeldResponse
        = false; ///< The target's own failure is kept and can be passed on (RelayHeldResponse).
    std::optional<Duration> coldFor {}; ///< How long the target says that it stays cold.
};

/// A target's own load report, asked for by PollTarget.
struct TargetLoadReport
{
    TargetId target;
    std::string bootId;
    std::uint32_t running = 0;
    std::uint64_t completed = 0; ///< Since its boot.
    Duration age {0};            ///< How old the target says the numbers are.
    std::uint64_t poll = 0;      ///< Of the PollTarget that it answers.
};

struct TargetPollFailed
{
    TargetId target;
    AttemptFailure failure = AttemptFailure::ConnectRefused;
    std::uint64_t poll = 0;
};

/// A message from another node, already authenticated.
struct NodeMessage
{
    NodeId from;
    Incarnation incarnation = 0;
    std::variant<FleetMessage, KeyMessage, BalancerMessage> message;
};

/// A probe of a silent node ended: its port refused (that incarnation is gone) or it stayed silent.
struct ProbeEnded
{
    NodeId node;
    Incarnation incarnation = 0; ///< The one that was probed.
    bool isRefused = false;
};

/// A document came from the platform. A relayed one comes as a NodeMessage.
struct DocumentArrived
{
    DocumentText document;
};

struct VmListArrived
{
    VmList list;
};

/// How late a traffic thread's timer ran: what each caller's bytes wait at this node.
struct TrafficThreadReport
{
    Duration lag;
    // Since the thread's last report:
    std::uint64_t connections = 0;  ///< That were accepted.
    std::uint64_t leftUnread = 0;   ///< Requests whose caller had left before they were read.
    std::vector<ShedCount> shed {}; ///< Requests that it turned away itself.
};

/// The platform did not answer, or answers again.
struct PlatformReachability
{
    bool isReachable = false;
};

/// Routes, services and workspaces from the platform. A relayed catalog comes as a NodeMessage.
struct CatalogArrived
{
    std::shared_ptr<const Catalog> catalog;
};

/// Targets and zones as the platform lists them. Relayed ones come as a NodeMessage.
struct DirectoryArrived
{
    DirectoryUpdate news;
};

/// The settings name other nodes to greet.
struct SeedsChanged
{
    std::vector<Endpoint> seeds;
};

/// A planned stop: SIGTERM or an operator's call.
struct LeaveOrdered
{
    std::string who;
};

/// An operator takes back a LeaveOrdered that has not ended in a stop.
struct ReturnOrdered
{
    std::string who;
};

/// Nothing but time has passed; sent when RouterCore::nextTimer() is due.
struct TimerDue
{
};

using Event = std::variant<RequestArrived, KeyIssueRequested, CallerGone, AttemptHead, AttemptDone,
                           AttemptFailed, TargetLoadReport, TargetPollFailed, NodeMessage,
                           ProbeEnded, DocumentArrived, VmListArrived, PlatformReachability,
                           CatalogArrived, DirectoryArrived, SeedsChanged, LeaveOrdered,
                           ReturnOrdered, TrafficThreadReport, TimerDue>;

} // namespace berylridge
