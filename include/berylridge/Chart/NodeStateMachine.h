// Declares the state machine of this node (charts/node-life.json).
#pragma once

#include "berylridge/Chart/StateChart.h"

namespace berylridge {

enum class NodeState : std::uint8_t {
    Joining, ///< Fetches the active documents; not ready for callers.
    Ready,   ///< Accepts requests.
    Leaving, ///< Performs a planned stop: finishes the running requests.
    Stopped, ///< No request runs; the process may exit.
};

enum class NodeSignal : std::uint8_t {
    DocumentsKnown, ///< The node may rely on its documents.
    LeaveOrdered,   ///< A planned stop was requested.
    ReturnOrdered,  ///< The planned stop was cancelled.
    Emptied,        ///< The last request ended.
    LimitReached,   ///< The planned stop took longer than stopLimit.
};

using NodeStateMachine = StateMachine<NodeState, NodeSignal>;

/// Loads node-life.json from the chart directory.
Expected<NodeStateMachine> loadNodeStateMachine(const std::string &chartDirectory);

} // namespace berylridge
