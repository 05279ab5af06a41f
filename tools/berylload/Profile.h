// Profile of a load run: the settings of berylload, read from JSON with comments.
#pragma once

#include "berylridge/Support/Endpoint.h"
#include "berylridge/Support/Expected.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace berylridge {

/// The load that the callers of one workspace generate.
struct WorkspaceLoadSpec
{
    std::string name;
    std::string key;                 ///< The callers' credential.
    double weight = 1;               ///< As in the service documents; only the report uses it.
    double streams = 0;              ///< Mean rate per second, Poisson.
    double lookups = 0;              ///< Mean rate per second, Poisson.
    double purchases = 0;            ///< Mean rate per second, Poisson.
    std::uint32_t lookupCallers = 0; ///< Each sends its next lookup after the response.
    std::uint32_t fewestTokens = 8;
    std::uint32_t mostTokens = 64;
    std::vector<std::uint32_t> routers; ///< Indices of the routers to use; empty means all.
};

struct Profile
{
    std::vector<Endpoint> routers;
    std::vector<Endpoint> engines;  ///< Model engine stand-ins: report shares and utilisation.
    std::vector<Endpoint> services; ///< Plain service stand-ins: report executions.
    std::string streamService = "assistant";
    std::string plainService = "catalogue";
    double seconds = 10;
    std::uint64_t seed = 1;
    Duration timeout = std::chrono::seconds(30);
    Duration purchaseTimeout = std::chrono::seconds(3);
    std::uint32_t purchaseAttempts = 4; ///< All with the same key, each through another router.
    bool isDirect = false;              ///< Sends to engines and services without routers.
    std::vector<WorkspaceLoadSpec> workspaces;
};

/// Reads a profile. The reason of a failure lists every error, one a line.
Expected<Profile> readProfile(const std::string &file);

} // namespace berylridge
