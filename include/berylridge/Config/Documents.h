// The documents that operators publish: one per service and one for the fleet.
#pragma once

#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace berylridge {

/// Version of a document. Versions only rise; 0 means that there is no document.
using DocumentVersion = std::uint64_t;

/// A document in the form in which it is sent. It keeps the original text, so that every node
/// checks the same bytes.
struct DocumentText
{
    std::string name; ///< "fleet" or "service/<name>".
    DocumentVersion version = 0;
    std::string text; ///< JSON.
};

enum class ServiceKind : std::uint8_t {
    ModelEngine, ///< Streams tokens, and can resume and cancel streams.
    Plain,       ///< Sends a single response; some of its requests must not be repeated.
};

/// States whether requests with a method and path prefix are idempotent and may be repeated. The
/// longest matching prefix applies; without a matching rule the method decides (RFC 9110, section
/// 9.2.2).
struct RouteRule
{
    std::string method;
    std::string pathPrefix;
    bool isIdempotent = false;
};

/// A workspace's share of a service.
struct WorkspaceShare
{
    WorkspaceId workspace;
    double weight = 1.0;           ///< Positive; shares are proportional to it.
    std::string credentialDigest;  ///< credentialDigest() of the key that its callers send.
    std::uint32_t queueLimit = 64; ///< Maximum number of requests that wait on one node.
};

struct TargetSpec
{
    TargetId target;
    ZoneId zone;
    std::string address; ///< IP address.
    std::uint16_t port = 0;
    bool isLeaving = false;     ///< Receives no new requests; running ones are completed.
    bool checksFencing = false; ///< Whether it rejects requests with an outdated fencing number.
};

struct ServiceDocument
{
    ServiceId service;
    DocumentVersion version = 0;
    ServiceKind kind = ServiceKind::Plain;
    std::uint32_t slots = 8;     ///< Concurrent requests that a warm target can process.
    std::uint32_t coldSlots = 1; ///< Concurrent requests that a newly started target can process.
    std::uint32_t warmAfter
        = 8; ///< Responses that a target completes after a boot until it is warm.
    Duration queueTimeout = std::chrono::seconds(10);    ///< Maximum time in the queue.
    Duration attemptTimeout = std::chrono::seconds(120); ///< Maximum duration of one attempt.
    Duration idleTimeout = std::chrono::seconds(20); ///< Maximum gap between parts of a response.
    double retryBudget = 0.1; ///< Retries allowed per first attempt, over a sliding window.
    std::uint64_t bodyLimit = 4 << 20; ///< Maximum size of a request body in bytes.
    std::vector<RouteRule> routes;
    std::vector<WorkspaceShare> workspaces;
    std::vector<TargetSpec> targets;
};

struct FleetDocument
{
    DocumentVersion version = 0;
    std::vector<ZoneId> zonesOut; ///< Zones that operators have taken out of service.
};

} // namespace berylridge
