// What the idempotency component wants done: messages to nodes and decisions on callers' requests.
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

/// The core's number for the request that a decision is about.
using KeyRequestId = std::uint64_t;

/// The request may be dispatched: no other process may run its key.
struct KeyAdmitted
{
    KeyRequestId request = 0;
    std::string key;
};

/// The request is answered with a refusal, now.
struct KeyRefused
{
    KeyRequestId request = 0;
    std::string key;
    unsigned status = 503;
    Verdict verdict = Verdict::MayHaveRun; ///< Of the operation that the key names.
    std::string type;                      ///< Last part of the problem type URI.
    std::string title;
    std::optional<Duration> retryAfter;
};

/// The request is answered with the kept answer of the run of its key.
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
