// Decides which requests a node reports to all other nodes at once instead of with the next digest.
//
// Designed for prompts of very different lengths: those that keep a target busy for long delay the
// most requests of other nodes. Each notice reaches every node, so their rate is limited. The
// shortest busy time that is reported rises with each notice and falls with time, so that a node
// reports its longest requests, whatever the lengths are.
#pragma once

#include "berylridge/Support/Time.h"

#include <cstddef>

namespace berylridge {

/// Not thread-safe.
class DispatchNoticeFilter
{
public:
    /// Notices that a node receives from all others together, per second.
    static constexpr double maxReceivedPerSecond = 150;

    /// Returns whether to report a request that keeps a target busy for this long, and records it
    /// if so. `nodes` is the number of nodes that send notices.
    bool accepts(Duration busy, std::size_t nodes, TimePoint now);

private:
    /// The threshold falls by a factor of e in this time.
    static constexpr double thresholdDecaySeconds = 2.0;
    /// A target that is busy for less time than this delays no request noticeably.
    static constexpr double minBusyMs = 2;

    double m_thresholdMs = minBusyMs;
    TimePoint m_decayedAt {};
};

} // namespace berylridge
