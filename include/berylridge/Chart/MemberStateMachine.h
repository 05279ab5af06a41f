// Declares the state machine of another node as this node sees it (charts/member-life.json).
#pragma once

#include "berylridge/Chart/StateChart.h"

namespace berylridge {

enum class MemberState : std::uint8_t {
    Unknown, ///< Listed, but no message was received from it.
    Joining, ///< Sends heartbeats, but is not ready yet.
    Live,    ///< Sent a recent heartbeat and is ready.
    Suspect, ///< Sends no heartbeats; may still run requests.
    Gone,    ///< This incarnation has ended or is no longer on the VM list.
    Leaving, ///< Performs a planned stop and owns no pools.
};

enum class MemberSignal : std::uint8_t {
    HeardJoining,   ///< Received a heartbeat of a node that is not ready.
    HeardReady,     ///< Received a heartbeat of a ready node.
    HeardLeaving,   ///< Received a heartbeat of a node in a planned stop.
    Goodbye,        ///< The node announced that it leaves.
    Silence,        ///< No heartbeat arrived for suspectAfter.
    ProbeRefused,   ///< The node's port is closed: that incarnation has ended.
    NewIncarnation, ///< Received the first message of a later incarnation.
    Unlisted,       ///< The VM list no longer contains the node.
};

using MemberStateMachine = StateMachine<MemberState, MemberSignal>;

/// Loads member-life.json from the chart directory.
Expected<MemberStateMachine> loadMemberStateMachine(const std::string &chartDirectory);

} // namespace berylridge
