// Defines the actions that a decision core returns. The shell executes them and reports their
// results as events (Events.h).
#pragma once

#include "berylridge/Catalog/Catalog.h"
#include "berylridge/Router/Events.h"
#include "berylridge/Support/Audit.h"
#include "berylridge/Support/Endpoint.h"
#include "berylridge/Support/LogEvent.h"
#include "berylridge/Support/Verdict.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace berylridge {

/// States whether a request whose outcome is unknown may be sent again.
enum class ResendPolicy : std::uint8_t { Forbidden, Allowed };

/// States what the shell does with an attempt whose target is silent for longer than
/// Dispatch::firstByteTimeout or idleTimeout.
enum class SilencePolicy : std::uint8_t {
    Fail,   ///< Ends the attempt and reports AttemptFailed.
    Report, ///< Reports AttemptSilent. The attempt goes on unless the core ends or replaces it.
};

/// Sends the request to the target and streams the response to the caller. Replaces an attempt of
/// the request that is still running. The shell reports AttemptHead and AttemptDone, or
/// AttemptFailed.
struct Dispatch
{
    RequestHandle handle = 0;
    AttemptNumber attempt = 0;
    TargetId target;
    std::uint64_t targetBoot = 0; ///< Boot of the target that the core chose.
    Endpoint endpoint;
    TimePoint notAfter {}; ///< The attempt fails as not sent if no byte has left by then.
    Duration attemptTimeout {0};
    Duration connectTimeout = std::chrono::seconds(2);
    Duration firstByteTimeout {0}; ///< Limit for the response head; zero means idleTimeout.
    Duration idleTimeout {0};      ///< Limit between two pieces of the response.
    SilencePolicy silencePolicy = SilencePolicy::Fail;
    bool isResumed = false; ///< Continues a stream after the part that the caller has.
    /// Name of what the version of a stream was found by; set on the first attempt of a request
    /// that continues a stream of the caller.
    std::string originBasis {};
    bool storesResponse
        = false;           ///< AttemptDone returns the response, to replay it for the same key.
    WorkspaceId workspace; ///< Owner of the request; sent to the target.
    ResendPolicy resendPolicy = ResendPolicy::Forbidden;
    /// Maximum number of idle connections that this node keeps open to the target.
    std::uint32_t idleConnectionLimit = 64;
    /// Time until the caller's deadline, sent to the target. Zero if the caller set no deadline.
    Duration timeLeft {0};
    /// Time to the response head that the core expects; zero if it has no estimate.
    Duration expectedFirstByte {0};
};

/// Lets an attempt go on whose silence was reported (AttemptSilent).
struct ContinueAttempt
{
    RequestHandle handle = 0;
    AttemptNumber attempt = 0;
    Duration silenceLimit {0}; ///< Time after which the shell reports the silence again.
};

/// Cancels an attempt. Nothing more of its response reaches the caller.
struct AbortAttempt
{
    RequestHandle handle = 0;
    AttemptNumber attempt = 0;
};

/// Answers the caller immediately with problem details (RFC 9457). If part of a response was
/// already sent, the connection is closed instead, so that the caller can't mistake it for a
/// complete one.
struct Refuse
{
    RequestHandle handle = 0;
    unsigned status = 503;
    Verdict verdict = Verdict::NotRun;
    std::string title; ///< Human-readable summary of the cause.
    std::string type;  ///< Last segment of the problem type URI, such as "queue-full".
    std::optional<Duration> retryAfter;
    bool isOverShare = false; ///< Rejected because its workspace is over its share.
};

/// Answers the caller with the stored response of an earlier request with the same idempotency key.
struct SendStoredResponse
{
    RequestHandle handle = 0;
    unsigned status = 200;
    std::vector<KeyHeader> headers;
    std::string body;
};

/// Relays the target's own error response, which the shell holds, to the caller
/// (AttemptFailed::hasHeldResponse).
struct RelayHeldResponse
{
    RequestHandle handle = 0;
    AttemptNumber attempt = 0;
};

/// Sends a message to another node: as a datagram if it fits into one, else as an RPC call.
struct SendToNode
{
    NodeId to;
    Endpoint endpoint;
    std::variant<FleetMessage, KeyMessage, BalancerMessage> message;
};

/// Probes a silent node by connecting to it. The shell reports ProbeEnded.
struct ProbeNode
{
    NodeId node;
    Endpoint endpoint;
    Incarnation incarnation = 0;
};

/// Polls a target for its load. The shell reports TargetLoadReport or TargetPollFailed.
struct PollTarget
{
    TargetId target;
    Endpoint endpoint;
    std::uint64_t poll
        = 0; ///< Returned with the result, to distinguish it from that of an earlier poll.
};

/// Starts or stops watching the platform's documents and VM list.
struct WatchPlatform
{
    bool isOn = false;
};

/// Reads the platform's revision, by a read that starts after this action. The shell reports
/// PlatformRevisionRead, or nothing if the platform doesn't answer.
struct ReadPlatformRevision
{
    std::uint64_t ticket = 0; ///< Increases with each action.
};

/// Sets whether the load balancer in front should send callers to this node.
struct Readiness
{
    bool isReady = false;
    /// Whether callers' open connections are kept while the node is not ready.
    bool keepsConnections = false;
};

/// Applies the operators' limits to the callers' next requests.
struct SetCallerLimits
{
    CallerLimitsSpec limits;
};

/// Reports the end of a planned stop: the core holds no request. The process may exit as soon as
/// callers' connections are closed.
struct Stopped
{
    /// Time for requests that the core does not know yet, and for responses that are still sent.
    Duration drainLimit = std::chrono::seconds(5);
};

struct Log
{
    LogRecord record;
};

struct Audit
{
    AuditEntry entry;
};

using Action = std::variant<Dispatch, ContinueAttempt, AbortAttempt, Refuse, SendStoredResponse,
                            RelayHeldResponse, SendToNode, ProbeNode, PollTarget, WatchPlatform,
                            ReadPlatformRevision, Readiness, SetCallerLimits, Stopped, Log, Audit>;

/// Lists actions in the order in which the shell must execute them.
using Actions = std::vector<Action>;

} // namespace berylridge
