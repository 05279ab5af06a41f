// How long a request may wait in a target's queue; one that would wait longer is refused at once.
//
// Load it answers: callers ask for twice what the targets read. Without a limit each queue grows
// until all answers are late, and who asks most often takes the room that becomes free.
#pragma once

namespace berylridge {

struct AdmissionInput
{
    double latencyTargetMs = 0; ///< To the first event or the whole answer.
    double readMs = 0;          ///< Expected for reading the prompt.
    /// How far the workspace is beyond its share, in seconds of the share; 0 within it.
    double secondsOverShare = 0;
};

/// Below any wait: nothing is accepted.
inline constexpr double refusedWaitMs = -1;

/// Longest wait in ms that is accepted, or refusedWaitMs.
double maxQueueWaitMs(const AdmissionInput &input);

} // namespace berylridge
