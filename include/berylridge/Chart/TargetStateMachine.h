// Declares the state machine of a target as one node sees it (charts/target-life.json).
#pragma once

#include "berylridge/Chart/StateChart.h"

namespace berylridge {

enum class TargetState : std::uint8_t {
    Unknown, ///< Listed, but nothing is known about it yet.
    Cold,    ///< Presumably just started: has capacity for coldSlots requests.
    Warming, ///< Completed a response since its boot; its slots increase.
    Warm,    ///< Has capacity for all its slots.
    Suspect, ///< Silent or timing out; gets no new work until it responds.
    Leaving, ///< Withdrawn by operators; finishes its running requests.
    Gone,    ///< No longer listed.
};

enum class TargetSignal : std::uint8_t {
    NewBoot,           ///< Reported a different boot id, or its first one.
    RefusedConnection, ///< The port was closed: that boot has ended.
    Crash,             ///< Broke a connection while it ran a request, or is known to have crashed.
    FirstAnswer,       ///< Completed a response in this boot.
    RampDone,          ///< Completed warmAfter responses in this boot.
    Silence,           ///< The load report did not arrive.
    Timeout,           ///< An attempt at the target timed out.
    Heard,             ///< Responded with the known boot id.
    LeaveOrdered,      ///< Its document marks it as leaving, or its zone is out of service.
    ReturnOrdered,     ///< The LeaveOrdered condition no longer holds.
    Removed,           ///< The document no longer lists it.
};

using TargetStateMachine = StateMachine<TargetState, TargetSignal>;

/// Loads target-life.json from the chart directory.
Expected<TargetStateMachine> loadTargetStateMachine(const std::string &chartDirectory);

} // namespace berylridge
