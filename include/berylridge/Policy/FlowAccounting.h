// Virtual time of a pool's flows at its owner: what each received, over its weight. The owner
// serves the flow that has received least (start-time fair queueing).
#pragma once

#include "berylridge/Fleet/Messages.h"
#include "berylridge/Support/Time.h"

#include <map>
#include <unordered_map>

namespace berylridge {

class FlowAccounting
{
public:
    /// Weights come from the service's document; a flow without one counts as 1.
    void setWeight(FlowId flow, double weight);

    /// The flow has demand or work in flight. A flow that had neither for a while starts level with
    /// the flow that was served last: otherwise it could save up its idle time and then hold all
    /// slots until it had caught up, and the others would see their service stop.
    void markActive(FlowId flow, TimePoint now);

    /// A lease was granted: the flow is charged the estimate at once, since the cost is known only
    /// at the end; without it one flow would take every slot that is free at this moment.
    void begin(FlowId flow, Duration estimate, TimePoint now);
    /// The lease's end: what was charged for it gives way to what it took.
    void end(FlowId flow, Duration estimate, TimePoint begun, Duration used);

    /// Service that other pools of the same service gave to the flow.
    void addRemoteService(FlowId flow, Duration served);

    /// Weighted seconds. While work runs longer than estimated, it grows with the time that passes.
    double virtualTime(FlowId flow, TimePoint now) const;

    /// Sets a flow that this owner has not charged yet to where an earlier owner left it.
    void restore(FlowId flow, double virtualTime, TimePoint now);

    /// Remembers the virtual time at which a flow was last onChosen.
    void onChosen(double virtualTime);

    /// Slot time given by this pool, work in flight included; cumulative.
    Duration served(FlowId flow, TimePoint now) const;

    /// Forgets flows that have been idle for long.
    void expire(TimePoint now);

    /// Calls visit(flow) for each flow known here.
    template <typename Visit>
    void forEach(Visit visit) const
    {
        for (const auto &[flow, state] : m_flows)
            visit(flow);
    }

    std::size_t size() const { return m_flows.size(); }

private:
    struct Flow
    {
        Duration settledService {0}; ///< Of this pool's ended leases.
        Duration remoteService {0};
        double virtualTimeOffset = 0; ///< Virtual time given when the flow came back from idleness.
        TimePoint lastActiveAt {};
        std::multimap<TimePoint, Duration> inFlight; ///< Start and estimate of each lease.
    };

    double weight(FlowId flow) const;

    std::unordered_map<FlowId, Flow> m_flows;
    std::unordered_map<FlowId, double> m_weights;
    double m_systemVirtualTime = 0; ///< Virtual time of the flow onChosen last; never falls.
};

} // namespace berylridge
