// The settings of one berylridged process, read once at its start from JSON with comments.
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
    Endpoint callers;               ///< Listens here for callers' HTTP.
    Endpoint peers;                 ///< Listens here for nodes: datagrams (UDP) and calls (TCP).
    Endpoint advertised;            ///< Where other nodes reach peers; the same unless given.
    Endpoint admin;                 ///< Listens here for operators, health checks and metrics.
    std::string fleetKey;           ///< 32 to 64 bytes; seals datagrams and calls between nodes.
    std::string operatorsKeyDigest; ///< credentialDigest() of the operators' key.
    std::vector<Endpoint> platform; ///< Of the configuration service; tried in turn.
    std::vector<VmEntry> seeds;     ///< Nodes to greet before a VM list is there.
    std::vector<Endpoint> seedEndpoints; ///< The same for the balancer, where no names are known.
    std::string chartDirectory;          ///< Where the state charts are.
    std::string sharing = "fleet"; ///< "fleet", or a baseline: "per-node", "round-robin", "fifo".
    std::uint32_t trafficThreads = 2;
    std::uint64_t headerLimit = 16 << 10; ///< Bytes of a caller's request head.
    std::uint64_t bodyLimit = 4 << 20;    ///< Bytes of a caller's request body.
    std::uint32_t connectionLimit = 4096; ///< Callers' connections open at once.
    std::uint32_t descriptorLimit = 0;    ///< Open files that the system allows; 0: not known.
    /// A traffic thread that runs later than this turns requests away; 0: never.
    Duration acceptedLag {0};
    Duration readTimeout = std::chrono::seconds(10); ///< For a caller to send a whole request.
    Duration heartbeatPeriod = std::chrono::milliseconds(250);
    Duration suspectAfter = std::chrono::milliseconds(1200);
    Duration leaseTerm = std::chrono::milliseconds(2000);
    Duration stopLimit = std::chrono::seconds(120); ///< For running requests at a planned stop.
    double retryRatio = 0.1; ///< Balancer: further attempts for each first one, in the window.
    double retrySlack = 10;  ///< Balancer: on top of that, over the whole fleet.
    Duration retryWindow = std::chrono::seconds(10);
    std::string logLevel = "info"; ///< "info", "warning" or "error".
};

/// Reads and checks a whole settings file: unknown names, wrong types and out-of-range values are
/// all reported at once.
ReadResult<Settings> readSettings(std::string_view file, std::string_view text);

} // namespace berylridge
