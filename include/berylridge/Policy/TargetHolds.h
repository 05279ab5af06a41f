// Lists the targets that have just asked for no requests.
//
// The core learns of such a response a little later than the thread that reads it. Requests that it
// dispatched before would still reach the target: they wait for a connection, or in the queue of a
// busy thread. Each attempt checks this list immediately before it is sent.
#pragma once

#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <map>
#include <mutex>

namespace berylridge {

/// This class is thread-safe: all traffic threads of a node share one list.
class TargetHolds
{
public:
    /// By then the core has learned of the response and dispatches no requests to the target.
    static constexpr Duration maxHold = std::chrono::seconds(5);

    /// Holds back attempts at this boot of the target for the time, at most for maxHold.
    void add(const TargetId &target, std::uint64_t boot, Duration time, TimePoint now);
    bool contains(const TargetId &target, std::uint64_t boot, TimePoint now) const;

private:
    struct Hold
    {
        std::uint64_t boot = 0;
        TimePoint endsAt;
    };

    mutable std::mutex m_mutex;
    std::map<TargetId, Hold> m_holds;
};

} // namespace berylridge
