// The platform's VM list, which lags behind the actual state of the VMs.
#pragma once

#include "berylridge/Support/Id.h"

#include <cstdint>
#include <string>
#include <vector>

namespace berylridge {

/// One VM of the list.
struct VmEntry
{
    NodeId node;
    ZoneId zone;
    std::string address;    ///< IP address.
    std::uint16_t port = 0; ///< Port for datagrams (UDP) and calls (TCP) between nodes.
    bool isLeaving = false;
};

struct VmList
{
    std::uint64_t revision = 0; ///< Rises with every change on the platform.
    std::vector<VmEntry> vms;
};

} // namespace berylridge
