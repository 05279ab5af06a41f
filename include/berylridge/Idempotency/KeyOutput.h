// The output of the idempotency component: messages to other nodes and decisions on callers'
// requests.
#pragma once

#include "berylridge/Idempotency/Messages.h"
#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"
#include "berylridge/Support/Verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace berylridge {

/// Identifies the request that a decision is about. The router core assigns it.
using KeyRequestId = std::uint64_t;

/// The request may be dispatched: no other process may run its key.
struct KeyAdmitted
{
    KeyRequestId request = 0;
    std::string key;
};

/// The request is refused immediately.
struct KeyRefused
{
    KeyRequestId request = 0;
    std::string key;
    unsigned status = 503;
    /// Tells whether the operation named by the key may have run.
    Verdict verdict = Verdict::MayHaveRun;
    std::string type; ///< The last segment of the problem type URI.
    std::string title;
    std::optional<Duration> retryAfter;
};

/// The request is answered with the stored response of the earlier request with the same key.
struct KeyReplayed
{
    KeyRequestId request = 0;
    std::string key;
    unsigned status = 200;
    std::vector<KeyHeader> headers;
    std::string body;
};

using KeyDecision = std::variant<KeyAdmitted, KeyRefused, KeyReplayed>;

struct OutgoingKeyMessage
{
    NodeId to;
    KeyMessage message;
};

struct KeyOutput
{
    std::vector<OutgoingKeyMessage> sends;
    std::vector<KeyDecision> decisions;
};

} // namespace berylridge
