// Defines the decision core for fleets that discover their targets at run time. Like
// Router/RouterCore.h it maps events to actions, but it places requests by prompt over the whole
// fleet instead of leasing slots (docs/design/platform.md). It opens no socket, starts no thread
// and reads no clock.
#pragma once

#include "berylridge/Policy/FleetLimits.h"
#include "berylridge/Router/Actions.h"
#include "berylridge/Router/Events.h"
#include "berylridge/Support/Endpoint.h"
#include "berylridge/Support/Expected.h"

#include <memory>
#include <string>
#include <vector>

namespace berylridge {

/// Configures a BalancerCore.
struct BalancerOptions
{
    NodeId node;
    ZoneId zone;
    Endpoint endpoint;           ///< Address at which other nodes reach this one.
    Incarnation incarnation = 0; ///< Must be higher than in any earlier process run of this node.
    /// Some other nodes for discovery; stale or unreachable ones are harmless.
    std::vector<Endpoint> seeds;
    std::string chartDirectory;
    std::uint64_t seed = 1;
    /// Interval between digests. Half the period served callers 1 % more for twice the messages;
    /// twice the period served them 5 % less (mean over 16 days under load at 7 and 9 nodes).
    Duration digestPeriod = std::chrono::milliseconds(100);
    FleetRetryBudget::Limits retries;
    /// Time from the start of a planned stop during which new requests are still served. The
    /// balancer in front polls this node's readiness once a second and keeps sending callers until
    /// it has polled twice. Later requests are rejected, because stopLimit would truncate their
    /// responses.
    Duration rejectNewRequestsAfter = std::chrono::milliseconds(2800);
    /// Minimum duration of a planned stop, for callers that are still sent to this node.
    Duration minStopTime = std::chrono::milliseconds(3500);
    Duration stopLimit = std::chrono::milliseconds(7200); ///< Maximum duration of a planned stop.
    /// Whether the node reports that it is not ready while it sheds most of its requests.
    bool leavesRotationOnOverload = false;
};

/// Makes the decisions of one node. Not thread-safe: the control thread owns it.
class BalancerCore
{
public:
    /// Fails if a state chart file is missing or invalid.
    static Expected<std::unique_ptr<BalancerCore>> create(BalancerOptions options, TimePoint now,
                                                          WallTime wall);
    ~BalancerCore();
    BalancerCore(const BalancerCore &) = delete;
    BalancerCore &operator=(const BalancerCore &) = delete;

    /// Processes one event and appends the resulting actions. Times must be monotonic.
    void handle(const Event &event, TimePoint now, WallTime wall, Actions &actions);

    /// Returns the time at which the next TimerDue event is due.
    TimePoint nextTimer() const;

private:
    class Impl;
    explicit BalancerCore(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace berylridge
