// What the decision core wants done: the shell carries each out and reports back by events.
#pragma once

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

/// Whether a request whose outcome is unknown may be sent again.
enum class ResendPolicy : std::uint8_t { Forbidden, Allowed };

/// Send the request to the target and stream the answer to the caller. Answered by AttemptHead and
/// AttemptDone, or by AttemptFailed.
struct Dispatch
{
    RequestHandle handle = 0;
    AttemptNumber attempt = 0;
    TargetId target;
    Endpoint endpoint;
    TimePoint notAfter {}; ///< When no byte has left by then, end the attempt as not sent.
    Duration attemptTimeout {0};
    Duration connectTimeout = std::chrono::seconds(2);
    Duration firstByteTimeout {0}; ///< Until the answer's head; idleTimeout where it is zero.
    Duration idleTimeout {0};      ///< Between pieces of the answer.
    bool isResumed = false;        ///< Continue the stream after what the caller already has.
    bool storesResponse
        = false;           ///< Hand the answer back in AttemptDone, for resendPolicy of its key.
    WorkspaceId workspace; ///< Whose request it is; the target is told.
    ResendPolicy resendPolicy = ResendPolicy::Forbidden;
    /// Idle connections that this node may keep to the target.
    std::uint32_t keptConnections = 64;
    /// What is left of the caller's time; the target is told. Zero where the caller named none.
    Duration timeLeft {0};
};

/// Stop an attempt; nothing more of it reaches the caller.
struct AbortAttempt
{
    RequestHandle handle = 0;
    AttemptNumber attempt = 0;
};

/// Answer the caller now with problem details (RFC 9457). Where part of an answer was already sent,
/// the connection is cut instead, so that the caller can't take it for whole.
struct Refuse
{
    RequestHandle handle = 0;
    unsigned status = 503;
    Verdict verdict = Verdict::NotRun;
    std::string title; ///< For people; says what happened.
    std::string type;  ///< Last part of the problem type URI, as in "queue-full".
    std::optional<Duration> retryAfter;
};

/// Answer the caller with the kept answer of an earlier request with the same key.
struct SendStoredResponse
{
    RequestHandle handle = 0;
    unsigned status = 200;
    std::vector<KeyHeader> headers;
    std::string body;
};

/// Answer the caller with the failure that the target itself gave and that the shell holds
/// (AttemptFailed::hasHeldResponse).
struct RelayHeldResponse
{
    RequestHandle handle = 0;
    AttemptNumber attempt = 0;
};

/// By datagram where it fits into one, else by call.
struct SendToNode
{
    NodeId to;
    Endpoint endpoint;
    std::variant<FleetMessage, KeyMessage, BalancerMessage> message;
};

/// Try to connect to a silent node. Answered by ProbeEnded.
struct ProbeNode
{
    NodeId node;
    Endpoint endpoint;
    Incarnation incarnation = 0;
};

/// Ask a target for its load. Answered by TargetLoadReport or TargetPollFailed.
struct PollTarget
{
    TargetId target;
    Endpoint endpoint;
    std::uint64_t poll
        = 0; ///< Given back with the answer, to tell it from that of an earlier poll.
};

/// Begin or cease to watch the platform's documents and VM list.
struct WatchPlatform
{
    bool isOn = false;
};

/// Whether the balancer should send callers here.
struct Readiness
{
    bool isReady = false;
};

/// A planned stop is over: nothing runs, the process may end.
struct Stopped
{
};

struct Log
{
    LogRecord record;
};

struct Audit
{
    AuditEntry entry;
};

using Action = std::variant<Dispatch, AbortAttempt, Refuse, SendStoredResponse, RelayHeldResponse,
                            SendToNode, ProbeNode, PollTarget, WatchPlatform, Readiness, Stopped,
                            Log, Audit>;

/// Actions in the order in which they are to be carried out.
using Actions = std::vector<Action>;

} // namespace berylridge
