// The phases of a key at the node that claims it.
#pragma once

#include <cstdint>

namespace berylridge {

enum class KeyPhase : std::uint8_t {
    Unknown,  ///< This node does not hold the key and has no claim for it.
    Claiming, ///< Waits for the votes of the witnesses.
    Admitted, ///< May be dispatched but has not been dispatched yet.
    Running,  ///< Dispatched: bytes may have been sent to a target.
    Finished, ///< A target has responded.
    Failed,   ///< The operation may have run, but no complete response arrived.
};

} // namespace berylridge
