// Computes how long a request may wait in a target's queue. A request that would wait longer is
// rejected at once.
//
// Guards against overload: callers request twice what the targets can read. Without a limit, each
// queue grows until every response is late, and the callers that send requests most often take the
// capacity that becomes free.
#pragma once

namespace berylridge {

struct AdmissionInput
{
    double latencyTargetMs = 0; ///< Time allowed to the first event, or to the whole response.
    double readMs = 0;          ///< Expected time to read the prompt.
    /// How far the workspace is over its share, in seconds of its share; 0 within the share.
    double secondsOverShare = 0;
    bool isLimited = false; ///< The workspace requests more than its share.
};

/// Returned by maxQueueWaitMs() to reject every request; it is below any possible wait.
inline constexpr double refusedWaitMs = -1;

/// Returns the longest accepted wait in ms, or refusedWaitMs.
double maxQueueWaitMs(const AdmissionInput &input);

} // namespace berylridge
