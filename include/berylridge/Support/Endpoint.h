// Where to connect to.
#pragma once

#include "berylridge/Support/Expected.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace berylridge {

struct Endpoint
{
    std::string address; ///< IP number.
    std::uint16_t port = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison's 0 for a pointer.
    auto operator<=>(const Endpoint &) const = default;
    bool operator==(const Endpoint &) const = default;
};

/// Whether the text is an IPv4 or IPv6 number.
bool isIpAddress(std::string_view text);

/// Reads "10.0.1.7:7400" or "[fd00::7]:7400".
Expected<Endpoint> parseEndpoint(std::string_view text);

/// The form that parseEndpoint() reads.
std::string endpointText(const Endpoint &endpoint);

} // namespace berylridge
