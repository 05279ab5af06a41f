// Keeps the virtual time of a pool's flows at its owner: the service that each flow received,
// divided by its weight. The owner serves the flow with the lowest virtual time (start-time fair
// queueing).
#pragma once

#include "berylridge/Fleet/Messages.h"
#include "berylridge/Support/Time.h"

#include <map>
#include <unordered_map>

namespace berylridge {

class FlowAccounting
{
public:
    /// Sets a flow's weight from the service's document; a flow without a weight counts as 1.
    void setWeight(FlowId flow, double weight);

    /// Records that the flow has demand or work in flight. A flow that had neither for a while
    /// restarts at the virtual time of the flow that was served last. Otherwise it would accumulate
    /// its idle time as credit and occupy all slots until it had caught up, while the others get no
    /// service.
    void markActive(FlowId flow, TimePoint now);

    /// Charges the flow the estimate when a lease is granted, since the cost is known only at the
    /// end. Without this charge, one flow would take every slot that is free at this moment.
    void begin(FlowId flow, Duration estimate, TimePoint now);
    /// Replaces the estimate that was charged for the lease by the time that it used.
    void end(FlowId flow, Duration estimate, TimePoint begun, Duration used);

    /// Adds service that other pools of the same service gave to the flow.
    void addRemoteService(FlowId flow, Duration served);

    /// Returns the weighted service in seconds. While a request runs longer than estimated, it
    /// grows with the elapsed time.
    double virtualTime(FlowId flow, TimePoint now) const;

    /// Restores the virtual time that an earlier owner computed, for a flow that this owner has not
    /// charged yet.
    void restore(FlowId flow, double virtualTime, TimePoint now);

    /// Records the virtual time of the flow that was selected last.
    void onFlowSelected(double virtualTime);

    /// Returns the slot time that this pool gave to the flow so far, including work in flight.
    Duration served(FlowId flow, TimePoint now) const;

    /// Removes flows that have been idle for a long time.
    void expire(TimePoint now);

    /// Calls visit(flow) for each known flow.
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
        Duration settledService {0}; ///< Service of this pool's ended leases.
        Duration remoteService {0};
        double virtualTimeOffset = 0; ///< Added when the flow returned from idleness.
        TimePoint lastActiveAt {};
        std::multimap<TimePoint, Duration> inFlight; ///< Start time and estimate of each lease.
    };

    double weight(FlowId flow) const;

    std::unordered_map<FlowId, Flow> m_flows;
    std::unordered_map<FlowId, double> m_weights;
    double m_systemVirtualTime = 0; ///< Virtual time of the flow selected last; never decreases.
};

} // namespace berylridge
