// The life of this node (charts/node-life.json).
#pragma once

#include "berylridge/Chart/StateChart.h"

namespace berylridge {

enum class NodeState : std::uint8_t {
    Joining, ///< Learns the documents in force; not ready for callers.
    Ready,   ///< Takes requests.
    Leaving, ///< A planned stop: ends what runs.
    Stopped, ///< Nothing runs; the process may end.
};

enum class NodeSignal : std::uint8_t {
    DocumentsKnown, ///< It may trust its documents.
    LeaveOrdered,   ///< A planned stop begins.
    ReturnOrdered,  ///< The planned stop is taken back.
    Emptied,        ///< The last request has ended.
    LimitReached,   ///< The planned stop took longer than stopLimit.
};

using NodeStateMachine = StateMachine<NodeState, NodeSignal>;

/// Loads node-life.json from the directory of charts.
Expected<NodeStateMachine> loadNodeStateMachine(const std::string &chartDirectory);

} // namespace berylridge
