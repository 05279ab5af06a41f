// Parses and formats endpoints.
#include "berylridge/Support/Endpoint.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace berylridge {

bool isIpAddress(std::string_view text)
{
    if (text.find('\0') != std::string_view::npos)
        return false;
    const std::string copy(text);
    std::array<unsigned char, 16> bytes {};
    return inet_pton(AF_INET, copy.c_str(), bytes.data()) == 1
        || inet_pton(AF_INET6, copy.c_str(), bytes.data()) == 1;
}

Expected<Endpoint> parseEndpoint(std::string_view text)
{
    const Reason invalid {"must be an IP address and a port, as in \"10.0.1.7:7400\""};
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalid;
    auto address = text.substr(0, colon);
    const auto digits = text.substr(colon + 1);
    const bool isBracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (isBracketed)
        address = address.substr(1, address.size() - 2);
    // IPv6 addresses need brackets; without them their last group would be parsed as the port.
    if (!isIpAddress(address) || isBracketed != (address.find(':') != std::string_view::npos))
        return invalid;
    std::uint16_t port = 0;
    const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (read.ec != std::errc() || read.ptr != digits.data() + digits.size() || port == 0)
        return invalid;
    return Endpoint {std::string(address), port};
}

std::string endpointText(const Endpoint &endpoint)
{
    const bool isIpv6 = endpoint.address.find(':') != std::string::npos;
    return (isIpv6 ? "[" + endpoint.address + "]" : endpoint.address) + ":"
        + std::to_string(endpoint.port);
}

} // namespace berylridge
