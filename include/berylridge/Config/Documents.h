// What operators publish, as the code uses it: one document per service and one for the fleet.
#pragma once

#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace berylridge {

/// Versions of a document only rise; 0 means none.
using DocumentVersion = std::uint64_t;

/// A document as it travels: the text is kept, so that every node checks the same bytes.
struct DocumentText
{
    std::string name; ///< "fleet" or "service/<name>".
    DocumentVersion version = 0;
    std::string text; ///< JSON.
};

enum class ServiceKind : std::uint8_t {
    ModelEngine, ///< Streams tokens; resumes and cancels streams.
    Plain,       ///< Answers once; some of its calls may not be repeated.
};

/// Says of a method and path prefix whether its requests may be repeated. The longest prefix wins;
/// without a rule the method decides (RFC 9110, section 9.2.2).
struct RouteRule
{
    std::string method;
    std::string pathPrefix;
    bool isIdempotent = false;
};

/// A workspace's part in a service.
struct WorkspaceShare
{
    WorkspaceId workspace;
    double weight = 1.0;           ///< Positive; shares are in proportion to it.
    std::string credentialDigest;  ///< credentialDigest() of the key that its callers send.
    std::uint32_t queueLimit = 64; ///< Requests that may wait on one node.
};

struct TargetSpec
{
    TargetId target;
    ZoneId zone;
    std::string address; ///< IP number.
    std::uint16_t port = 0;
    bool isLeaving = false;     ///< Gets no new work; what runs there ends.
    bool checksFencing = false; ///< Whether it refuses an order with an old fencing number.
};

struct ServiceDocument
{
    ServiceId service;
    DocumentVersion version = 0;
    ServiceKind kind = ServiceKind::Plain;
    std::uint32_t slots = 8;     ///< Requests that a warm target bears at once.
    std::uint32_t coldSlots = 1; ///< Requests that a target bears just after its start.
    std::uint32_t warmAfter = 8; ///< Answers completed since the boot until it counts as warm.
    Duration queueTimeout = std::chrono::seconds(10); ///< Longest wait before a request is refused.
    Duration attemptTimeout = std::chrono::seconds(120); ///< Longest time for one attempt.
    Duration idleTimeout = std::chrono::seconds(20); ///< Longest silence of a target that answers.
    double retryBudget = 0.1; ///< Retries allowed per first attempt, over a sliding window.
    std::uint64_t bodyLimit = 4 << 20; ///< Bytes.
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
