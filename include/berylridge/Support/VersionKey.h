// Identifies the versions of services' software.
#pragma once

#include <cstdint>

namespace berylridge {

/// Hash of a service's name and of a version of its software. Versions have no order; keys are
/// compared for equality only.
using VersionKey = std::uint64_t;

/// Stands for a version that can't be determined. No target has it.
inline constexpr VersionKey unknownVersion = 0;

} // namespace berylridge
