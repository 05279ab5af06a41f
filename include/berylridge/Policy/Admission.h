// How long a request may wait in a target's queue; one that would wait longer is refused at once.
//
// Load it answers: callers ask for twice what the targets read. Without a limit each queue grows
// until all answers are late, and who asks most often takes the room that becomes free.
#pragma once

namespace berylridge {

struct AdmissionTerms
{
    double latencyTargetMs = 0; ///< To the first event or the whole answer; 0 where none is set.
    /// How far the workspace is beyond its share, in seconds of the share; 0 within it.
    double secondsAhead = 0;
};

/// Longest wait in ms that is accepted at a target which is expected to read the prompt in
/// `readMs`; infinite where the terms set no latency target.
double allowedWaitMs(const AdmissionTerms &terms, double readMs);

} // namespace berylridge
