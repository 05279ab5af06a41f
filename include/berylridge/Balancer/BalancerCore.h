// The decision core for fleets whose targets are found at run time: events in, actions out, like
// Router/Core.h, but with placement by prompt over the whole fleet instead of leases of slots
// (docs/design/platform.md). It opens no socket, starts no thread and reads no clock.
#pragma once

#include "berylridge/Policy/FleetShare.h"
#include "berylridge/Router/Actions.h"
#include "berylridge/Router/Events.h"
#include "berylridge/Support/Endpoint.h"
#include "berylridge/Support/Expected.h"

#include <memory>
#include <string>
#include <vector>

namespace berylridge {

/// What a balancer is built with.
struct BalancerOptions
{
    NodeId node;
    ZoneId zone;
    Endpoint endpoint;           ///< Where other nodes reach this one.
    Incarnation incarnation = 0; ///< Must be higher than in any earlier run of this node.
    std::vector<Endpoint> seeds; ///< A few other nodes; stale or down ones do no harm.
    std::string chartDirectory;
    std::uint64_t seed = 1;
    /// Half as long gave 1 % more of what callers get for twice the messages, twice as long 5 %
    /// less (mean over 16 days under load at 7 and 9 nodes).
    Duration digestPeriod = std::chrono::milliseconds(100);
    RetryShare::Limits retries;
    /// In a planned stop new requests are served this long: callers are still sent here until the
    /// balancer in front has asked twice, a second apart, whether the node is ready. Later ones are
    /// turned away, since stopLimit would cut their answers.
    Duration rejectNewRequestsAfter = std::chrono::milliseconds(2800);
    /// A planned stop goes on at least this long, for callers who are sent here all the same.
    Duration minStopTime = std::chrono::milliseconds(3500);
    Duration stopLimit = std::chrono::milliseconds(7200); ///< Longest planned stop.
};

/// One node's decisions. Not safe for use by two threads at once: the control thread owns it.
class BalancerCore
{
public:
    /// Fails when a chart file is missing or wrong.
    static Expected<std::unique_ptr<BalancerCore>> create(BalancerOptions options, TimePoint now,
                                                          WallTime wall);
    ~BalancerCore();
    BalancerCore(const BalancerCore &) = delete;
    BalancerCore &operator=(const BalancerCore &) = delete;

    /// Takes in one event and appends what is to be done. Times must not step back.
    void handle(const Event &event, TimePoint now, WallTime wall, Actions &actions);

    /// When to send TimerDue next.
    TimePoint nextTimer() const;

private:
    class Impl;
    explicit BalancerCore(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace berylridge
