// What operators put into force: routes, services, workspaces and limits, as one versioned whole.
#pragma once

#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace berylridge {

/// What may be done with a request whose outcome is unknown.
enum class RequestKind : std::uint8_t {
    Idempotent,    ///< May run more than once.
    NonIdempotent, ///< Runs once at most.
    Stream,        ///< A stream of events; runs once at most unless the route is resumable.
};

/// A service that gets part of a route's requests.
struct WeightedService
{
    std::string service;
    double weight = 1; ///< Relative to the other services of the route.
    MSGPACK_DEFINE(service, weight)
};

/// Which requests go to which services, and how they are treated.
struct RouteSpec
{
    std::string name;
    std::string host;
    std::string pathPrefix;             ///< Begins and ends with a slash.
    std::uint8_t kind = 0;              ///< A RequestKind.
    std::uint32_t timeoutMs = 0;        ///< Longest time that a request is kept without an end.
    std::uint32_t latencyTargetMs = 0;  ///< To the whole answer, or to a stream's first event.
    std::uint32_t eventGapTargetMs = 0; ///< Longest pause between events that still is on time.
    std::uint32_t attempts = 1;         ///< Targets that one request may be sent to.
    std::uint32_t priority = 0;         ///< 0 is the highest.
    bool isPublic = false;              ///< Needs no credential.
    bool hasPrompts = false;            ///< Its requests tell of their prompts.
    bool isResumable = false;           ///< A stream may go on at another target.
    std::vector<WeightedService> services;
    MSGPACK_DEFINE(name, host, pathPrefix, kind, timeoutMs, latencyTargetMs, eventGapTargetMs,
                   attempts, priority, isPublic, hasPrompts, isResumable, services)

    RequestKind requestKind() const { return static_cast<RequestKind>(kind); }
    /// Whether a request whose outcome is unknown may be sent to another target.
    bool isRetryable() const
    {
        return requestKind() == RequestKind::Idempotent
            || (requestKind() == RequestKind::Stream && isResumable);
    }
};

/// A group of targets that do the same work.
struct ServiceSpec
{
    std::string name;
    std::uint32_t connectionLimit = 0; ///< Of one target, over all nodes; 0 where none is known.
    std::uint32_t coldMs = 0;          ///< How long a target stays cold after its start.
    double coldRequestsPerSecond = 0;  ///< Requests a second that a cold target bears; 0: not cold.
    bool isEngine = false;             ///< A model engine, with memory for prompts.
    std::uint32_t engineSlots = 0;     ///< Requests that an engine runs at once.
    std::uint64_t engineTokens = 0;    ///< Tokens that an engine's memory holds.
    MSGPACK_DEFINE(name, connectionLimit, coldMs, coldRequestsPerSecond, isEngine, engineSlots,
                   engineTokens)
};

/// A workspace and the credentials by which its callers are known.
struct WorkspaceSpec
{
    std::string name;
    std::vector<std::string> credentials;
    MSGPACK_DEFINE(name, credentials)
};

struct Catalog
{
    std::uint64_t version = 0; ///< Rises with each change.
    std::vector<RouteSpec> routes;
    std::vector<ServiceSpec> services;
    std::vector<WorkspaceSpec> workspaces; ///< Empty where callers need no credential.
    double tokensPerSecond = 0; ///< What all engines read and generate together; 0: not known.
    MSGPACK_DEFINE(version, routes, services, workspaces, tokensPerSecond)
};

} // namespace berylridge
