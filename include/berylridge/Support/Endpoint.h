// Network endpoints: an IP address and a port.
#pragma once

#include "berylridge/Support/Expected.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace berylridge {

struct Endpoint
{
    std::string address; ///< Numeric IPv4 or IPv6 address.
    std::uint16_t port = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison's 0 for a pointer.
    auto operator<=>(const Endpoint &) const = default;
    bool operator==(const Endpoint &) const = default;
};

/// Returns whether the text is a numeric IPv4 or IPv6 address.
bool isIpAddress(std::string_view text);

/// Parses "10.0.1.7:7400" or "[fd00::7]:7400".
Expected<Endpoint> parseEndpoint(std::string_view text);

/// Returns the endpoint in the form that parseEndpoint() parses.
std::string endpointText(const Endpoint &endpoint);

} // namespace berylridge
