// The life of a key at the node that asked for it.
#pragma once

#include <cstdint>

namespace berylridge {

enum class KeyPhase : std::uint8_t {
    Unknown,  ///< Not held here; no claim of this process for it stands.
    Claiming, ///< Waits for witnesses.
    Admitted, ///< May be dispatched, has not been.
    Running,  ///< Dispatched: bytes may have left for a target.
    Finished, ///< Answered by a target.
    Failed,   ///< May have run; no answer came.
};

} // namespace berylridge
