// Selects which requests and connections of callers yield when memory or descriptors run out.
//
// Guards against clients that open many connections and stop short of the end of their requests.
// Whatever they hold is missing for other callers until it times out.
#pragma once

#include "berylridge/Policy/LoadShedder.h"
#include "berylridge/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace berylridge {

/// The memory for callers' bytes that a thread holds and may hold.
struct MemoryUse
{
    /// Requests up to this size may also use the reserved part of the memory.
    static constexpr std::size_t smallRequestBytes = 64 << 10;

    std::size_t heldBytes = 0;
    std::size_t limitBytes = 0;

    /// Returns the limit for all requests together while larger ones are received. The rest is
    /// reserved for small requests, so that large ones don't keep ordinary callers out.
    std::size_t largeRequestLimit() const { return limitBytes / 4 * 3; }
    bool isReclaimNeeded() const { return heldBytes > largeRequestLimit(); }
};

/// A request that is being received.
struct PartialRequest
{
    CredentialKey credential = 0; ///< Claimed in the head, 0 before the head is complete.
    std::size_t bytes = 0;        ///< The memory that is free when the request is dropped.
    Duration age {0};             ///< Time since its first byte.
};

/// Returns the indexes of the requests to drop. Requests of the credential that holds most go
/// first, and of these the ones that have held most for the longest time: ordinary requests are
/// small and complete soon.
std::vector<std::size_t> selectRequestsToDrop(std::span<const PartialRequest> requests,
                                              MemoryUse memory);

enum class ConnectionUse : std::uint8_t {
    Unused,    ///< No request has begun.
    Receiving, ///< A request has begun and is not complete.
    KeptAlive, ///< Idle after a response.
};

/// A connection without a complete request.
struct WaitingConnection
{
    ConnectionUse use = ConnectionUse::Unused;
    Duration age {0}; ///< Time in this use.
};

/// Returns the indexes of up to `count` connections to close in favour of new ones: first those
/// that were never used or send a request slowly, then idle ones, then others; each from the oldest
/// on.
std::vector<std::size_t> selectConnectionsToClose(std::span<const WaitingConnection> connections,
                                                  std::size_t count);

} // namespace berylridge
