// The life of another node as this one sees it (charts/member-life.json).
#pragma once

#include "berylridge/Chart/StateChart.h"

namespace berylridge {

enum class MemberState : std::uint8_t {
    Unknown, ///< Listed, never heard.
    Joining, ///< Heard, not ready yet.
    Live,    ///< Heard lately and ready.
    Suspect, ///< Silent; may still run requests.
    Gone,    ///< This incarnation has ended or is off the VM list.
    Leaving, ///< Stops by plan: owns nothing.
};

enum class MemberSignal : std::uint8_t {
    HeardJoining,   ///< A heartbeat of a node that is not ready.
    HeardReady,     ///< A heartbeat of a ready node.
    HeardLeaving,   ///< A heartbeat of a node that stops by plan.
    Goodbye,        ///< It said that it leaves.
    Silence,        ///< No heartbeat for suspectAfter.
    ProbeRefused,   ///< Its port is closed: that incarnation has ended.
    NewIncarnation, ///< The first message of a later run.
    Unlisted,       ///< The VM list no longer has it.
};

using MemberStateMachine = StateMachine<MemberState, MemberSignal>;

/// Loads member-life.json from the directory of charts.
Expected<MemberStateMachine> loadMemberStateMachine(const std::string &chartDirectory);

} // namespace berylridge
