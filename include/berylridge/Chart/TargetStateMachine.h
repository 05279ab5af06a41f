// The life of a target as one node sees it (charts/target-life.json).
#pragma once

#include "berylridge/Chart/StateChart.h"

namespace berylridge {

enum class TargetState : std::uint8_t {
    Unknown, ///< Listed, but nothing was heard of it yet.
    Cold,    ///< Just started, as far as is known: bears coldSlots.
    Warming, ///< Has completed an answer since its boot; slots grow.
    Warm,    ///< Bears all its slots.
    Suspect, ///< Silent or timing out; gets no new work until it is heard.
    Leaving, ///< Taken out by operators; runs what it has.
    Gone,    ///< No longer listed.
};

enum class TargetSignal : std::uint8_t {
    NewBoot,           ///< Another boot id than before, or the first one.
    RefusedConnection, ///< Its port was closed: that boot has ended.
    Crash,         ///< It broke a connection while it ran a request, or is known to have crashed.
    FirstAnswer,   ///< It completed an answer in this boot.
    RampDone,      ///< It completed warmAfter answers in this boot.
    Silence,       ///< Its load report did not come.
    Timeout,       ///< An attempt there timed out.
    Heard,         ///< It answered in the boot that is already known.
    LeaveOrdered,  ///< Its document says that it leaves, or its zone is out.
    ReturnOrdered, ///< That word was taken back.
    Removed,       ///< Its document no longer lists it.
};

using TargetStateMachine = StateMachine<TargetState, TargetSignal>;

/// Loads target-life.json from the directory of charts.
Expected<TargetStateMachine> loadTargetStateMachine(const std::string &chartDirectory);

} // namespace berylridge
