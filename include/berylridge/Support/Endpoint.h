// Where to connect to.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace berylridge {

struct Endpoint
{
    std::string address; ///< IP number.
    std::uint16_t port = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison's 0 for a pointer.
    auto operator<=>(const Endpoint &) const = default;
    bool operator==(const Endpoint &) const = default;
};

} // namespace berylridge
