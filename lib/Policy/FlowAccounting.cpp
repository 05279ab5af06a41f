#include "berylridge/Policy/FlowAccounting.h"

#include <algorithm>
#include <cassert>

namespace berylridge {

namespace {

/// Holders repeat their demand each demand period; a flow that missed several repeats is idle. With
/// a shorter timeout, one lost datagram would raise the virtual time of a flow that never ceased to
/// wait, and it would lose service that it is owed.
constexpr Duration flowIdleTimeout = std::chrono::milliseconds(1500);
/// A flow's account is retained this long, so that short pauses between its requests do not reset
/// it.
constexpr Duration accountLifetime = std::chrono::minutes(5);

} // namespace

void FlowAccounting::setWeight(FlowId flow, double weight)
{
    assert(weight > 0 && "the document reader must reject weights that are not positive");
    m_weights[flow] = weight;
}

void FlowAccounting::markActive(FlowId flow, TimePoint now)
{
    auto [entry, isNew] = m_flows.try_emplace(flow);
    Flow &state = entry->second;
    const bool wasIdle
        = isNew || (state.inFlight.empty() && now - state.lastActiveAt > flowIdleTimeout);
    state.lastActiveAt = now;
    if (!wasIdle)
        return;
    const double deficit = m_systemVirtualTime - virtualTime(flow, now);
    if (deficit > 0)
        state.virtualTimeOffset += deficit;
}

void FlowAccounting::begin(FlowId flow, Duration estimate, TimePoint now)
{
    m_flows[flow].inFlight.emplace(now, estimate);
}

void FlowAccounting::end(FlowId flow, Duration estimate, TimePoint begun, Duration used)
{
    Flow &state = m_flows[flow];
    auto [first, last] = state.inFlight.equal_range(begun);
    for (; first != last; ++first) {
        if (first->second != estimate)
            continue;
        state.inFlight.erase(first);
        state.settledService += used;
        return;
    }
    assert(false && "a lease ended that did not begin");
}

void FlowAccounting::addRemoteService(FlowId flow, Duration served)
{
    const auto found = m_flows.find(flow);
    if (found != m_flows.end())
        found->second.remoteService += served;
}

double FlowAccounting::virtualTime(FlowId flow, TimePoint now) const
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end())
        return m_systemVirtualTime;
    const Flow &state = found->second;
    Duration inFlight {0};
    for (const auto &[begun, estimate] : state.inFlight)
        inFlight += std::max(estimate, now - begun);
    return toSeconds(state.settledService + state.remoteService + inFlight) / weight(flow)
        + state.virtualTimeOffset;
}

void FlowAccounting::restore(FlowId flow, double virtualTime, TimePoint now)
{
    Flow &state = m_flows[flow];
    state.lastActiveAt = now;
    state.virtualTimeOffset += std::max(0.0, virtualTime - this->virtualTime(flow, now));
}

void FlowAccounting::onFlowSelected(double virtualTime)
{
    m_systemVirtualTime = std::max(m_systemVirtualTime, virtualTime);
}

Duration FlowAccounting::served(FlowId flow, TimePoint now) const
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end())
        return Duration(0);
    Duration total = found->second.settledService;
    for (const auto &[begun, estimate] : found->second.inFlight)
        total += now - begun;
    return total;
}

void FlowAccounting::expire(TimePoint now)
{
    std::erase_if(m_flows, [&](const auto &entry) {
        return entry.second.inFlight.empty() && now - entry.second.lastActiveAt > accountLifetime;
    });
}

double FlowAccounting::weight(FlowId flow) const
{
    const auto found = m_weights.find(flow);
    return found == m_weights.end() ? 1.0 : found->second;
}

} // namespace berylridge
