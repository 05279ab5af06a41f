// The platform's VM list, as the code uses it. It lags behind what is live.
#pragma once

#include "berylridge/Support/Id.h"

#include <cstdint>
#include <string>
#include <vector>

namespace berylridge {

/// One entry VM of the system.
struct VmEntry
{
    NodeId node;
    ZoneId zone;
    std::string address;    ///< IP number.
    std::uint16_t port = 0; ///< Datagrams (UDP) and calls (TCP) between nodes.
    bool isLeaving = false;
};

struct VmList
{
    std::uint64_t revision = 0; ///< Rises with every change at the platform.
    std::vector<VmEntry> vms;
};

} // namespace berylridge
