// What a load run sends: the settings of berylload, read from JSON with comments.
#pragma once

#include "berylridge/Support/Endpoint.h"
#include "berylridge/Support/Expected.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace berylridge {

/// One workspace's callers.
struct WorkspaceLoadSpec
{
    std::string name;
    std::string key;                 ///< Their credential.
    double weight = 1;               ///< As published; used for the report only.
    double streams = 0;              ///< A second; Poisson.
    double lookups = 0;              ///< A second; Poisson.
    double purchases = 0;            ///< A second; Poisson.
    std::uint32_t lookupCallers = 0; ///< Each sends its next lookup once it has its answer.
    std::uint32_t fewestTokens = 8;
    std::uint32_t mostTokens = 64;
    std::vector<std::uint32_t> routers; ///< Indices of those that it uses; empty means all.
};

struct Profile
{
    std::vector<Endpoint> routers;
    std::vector<Endpoint> engines;  ///< Model engine stand-ins: read for shares and utilisation.
    std::vector<Endpoint> services; ///< Plain service stand-ins: read for executions.
    std::string streamService = "assistant";
    std::string plainService = "catalogue";
    double seconds = 10;
    std::uint64_t seed = 1;
    Duration timeout = std::chrono::seconds(30);
    Duration purchaseTimeout = std::chrono::seconds(3);
    std::uint32_t purchaseAttempts = 4; ///< With the same key, each through another router.
    bool isDirect = false;              ///< Straight to engines and services; routers are not used.
    std::vector<WorkspaceLoadSpec> workspaces;
};

/// Reads a profile; the reason lists every error.
Expected<Profile> readProfile(const std::string &file);

} // namespace berylridge
