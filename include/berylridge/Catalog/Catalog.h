// Defines the configuration that operators publish: routes, services, workspaces and limits,
// versioned as one unit.
#pragma once

#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace berylridge {

/// Determines whether a request whose outcome is unknown may be sent again.
enum class RequestKind : std::uint8_t {
    Idempotent,    ///< May run more than once.
    NonIdempotent, ///< Runs at most once.
    Stream,        ///< Stream of events; runs at most once unless the route is resumable.
};

/// Assigns a share of a route's requests to a service.
struct WeightedService
{
    std::string service;
    double weight = 1; ///< Weight relative to the route's other services.
    MSGPACK_DEFINE(service, weight)
};

/// Determines which requests go to which services, and how they are handled.
struct RouteSpec
{
    std::string name;
    std::string host;
    std::string pathPrefix;      ///< Begins and ends with a slash.
    std::uint8_t kind = 0;       ///< Holds a RequestKind.
    std::uint32_t timeoutMs = 0; ///< Maximum time until a request is complete.
    /// Limit for the whole response, or for a stream's first event.
    std::uint32_t latencyTargetMs = 0;
    /// Maximum pause between events of a stream that is on time.
    std::uint32_t eventGapTargetMs = 0;
    std::uint32_t attempts = 1; ///< Maximum number of targets that one request is sent to.
    std::uint32_t priority = 0; ///< 0 is the highest.
    bool isPublic = false;      ///< Requests need no credential.
    bool hasPrompts = false;    ///< Requests describe their prompts.
    bool isResumable = false;   ///< An interrupted stream may continue at another target.
    std::vector<WeightedService> services;
    MSGPACK_DEFINE(name, host, pathPrefix, kind, timeoutMs, latencyTargetMs, eventGapTargetMs,
                   attempts, priority, isPublic, hasPrompts, isResumable, services)

    RequestKind requestKind() const { return static_cast<RequestKind>(kind); }
    /// Returns whether a request whose outcome is unknown may be sent to another target.
    bool isRetryable() const
    {
        return requestKind() == RequestKind::Idempotent
            || (requestKind() == RequestKind::Stream && isResumable);
    }
};

/// Describes a group of interchangeable targets.
struct ServiceSpec
{
    std::string name;
    /// Limit of each target for connections from all nodes; 0 if unknown.
    std::uint32_t connectionLimit = 0;
    std::uint32_t coldMs = 0; ///< Time for which a target stays cold after its start.
    /// Request rate that a cold target can handle; with 0, targets are never treated as cold.
    double coldRequestsPerSecond = 0;
    bool isEngine = false;          ///< Targets are model engines, which cache prompts in memory.
    std::uint32_t engineSlots = 0;  ///< Number of requests that an engine runs concurrently.
    std::uint64_t engineTokens = 0; ///< Number of tokens that an engine's memory holds.
    MSGPACK_DEFINE(name, connectionLimit, coldMs, coldRequestsPerSecond, isEngine, engineSlots,
                   engineTokens)
};

/// Describes a workspace and the credentials that identify its callers.
struct WorkspaceSpec
{
    std::string name;
    std::vector<std::string> credentials;
    MSGPACK_DEFINE(name, credentials)
};

/// Limits for what callers send and for their pauses. 0 means not given.
struct CallerLimitsSpec
{
    std::uint64_t headerBytes = 0;
    std::uint64_t bodyBytes = 0;
    std::uint32_t headerTimeoutMs = 0; ///< For sending a request's head.
    std::uint32_t idleTimeoutMs = 0;   ///< Between two requests on a connection.
    MSGPACK_DEFINE(headerBytes, bodyBytes, headerTimeoutMs, idleTimeoutMs)

    bool operator==(const CallerLimitsSpec &) const = default;
};

struct Catalog
{
    std::uint64_t version = 0; ///< Increases with each change.
    std::vector<RouteSpec> routes;
    std::vector<ServiceSpec> services;
    std::vector<WorkspaceSpec> workspaces; ///< Empty if callers need no credential.
    /// Tokens that all engines together read and generate per second; 0 if unknown.
    double tokensPerSecond = 0;
    CallerLimitsSpec callerLimits;
    MSGPACK_DEFINE(version, routes, services, workspaces, tokensPerSecond, callerLimits)
};

} // namespace berylridge
