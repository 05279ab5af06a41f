// Settings of one berylridged process, which it reads once at start from a JSON file with comments.
#pragma once

#include "berylridge/Config/DocumentReader.h"
#include "berylridge/Config/Vms.h"
#include "berylridge/Support/Endpoint.h"
#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace berylridge {

struct Settings
{
    NodeId node;
    ZoneId zone;
    Endpoint callers;     ///< Listening endpoint for callers' HTTP requests.
    Endpoint peers;       ///< Listening endpoint for nodes: datagrams (UDP), calls (TCP).
    Endpoint advertised;  ///< Where other nodes reach peers; equals peers by default.
    Endpoint admin;       ///< Listening endpoint for operators, health checks and metrics.
    std::string fleetKey; ///< 32 to 64 bytes; authenticates messages between nodes.
    std::string operatorsKeyDigest;      ///< credentialDigest() of the operators' key.
    std::vector<Endpoint> platform;      ///< Endpoints of the configuration service, tried in turn.
    std::vector<VmEntry> seeds;          ///< Nodes to contact before the first VM list arrives.
    std::vector<Endpoint> seedEndpoints; ///< Seeds of the balancer, whose names are not known.
    std::string chartDirectory;          ///< Directory of the state charts.
    std::string sharing = "fleet"; ///< "fleet", or a baseline: "per-node", "round-robin", "fifo".
    std::uint32_t trafficThreads = 2;
    std::uint64_t headerLimit = 16 << 10; ///< Maximum size of a caller's request head in bytes.
    std::uint64_t bodyLimit = 4 << 20;    ///< Maximum size of a caller's request body in bytes.
    std::uint64_t memoryLimitMb = 128;    ///< Memory of the VM in MiB. A quarter is for callers.
    std::uint32_t connectionLimit = 4096; ///< Maximum number of open connections of callers.
    std::uint32_t descriptorLimit = 0;    ///< Open files that the system allows; 0 if not known.
    /// A traffic thread with a longer lag than this rejects requests; 0 means never.
    Duration acceptedLag {0};
    Duration readTimeout = std::chrono::seconds(10); ///< For receiving a head, and again a body.
    Duration idleTimeout = std::chrono::seconds(75); ///< Between two requests on a connection.
    Duration heartbeatPeriod = std::chrono::milliseconds(250);
    Duration suspectAfter = std::chrono::milliseconds(1200);
    Duration leaseTerm = std::chrono::milliseconds(2000);
    Duration stopLimit = std::chrono::seconds(120); ///< For running requests at a planned stop.
    /// Balancer: reports not ready while most requests are shed, if few nodes of the zone do so.
    bool leavesRotationOnOverload = false;
    double retryRatio = 0.1; ///< Balancer: retries allowed per first attempt in the window.
    double retrySlack = 10;  ///< Balancer: additional retries for the whole fleet.
    Duration retryWindow = std::chrono::seconds(10);
    std::string logLevel = "info"; ///< "info", "warning" or "error".
};

/// Reads and checks a whole settings file. Reports all unknown names, wrong types and out-of-range
/// values at once.
ReadResult<Settings> readSettings(std::string_view file, std::string_view text);

} // namespace berylridge
