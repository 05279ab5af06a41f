#include "berylridge/Policy/FlowShares.h"

#include <algorithm>
#include <cassert>

namespace berylridge {

namespace {

/// Demand is repeated each demand period; a flow that missed several repeats is idle. Shorter, one
/// lost datagram would lift a flow that never ceased to wait, and take away what it was owed.
constexpr Duration idleAfter = std::chrono::milliseconds(1500);
/// A flow's account is kept this long, so that short pauses between its requests don't cost it.
constexpr Duration forgottenAfter = std::chrono::minutes(5);

} // namespace

void FlowShares::setWeight(FlowId flow, double weight)
{
    assert(weight > 0 && "weights are checked when a document is read");
    m_weights[flow] = weight;
}

void FlowShares::touch(FlowId flow, TimePoint now)
{
    auto [entry, isNew] = m_flows.try_emplace(flow);
    Flow &state = entry->second;
    const bool wasIdle = isNew || (state.inFlight.empty() && now - state.touched > idleAfter);
    state.touched = now;
    if (!wasIdle)
        return;
    const double behind = m_floor - virtualTime(flow, now);
    if (behind > 0)
        state.lift += behind;
}

void FlowShares::begin(FlowId flow, Duration estimate, TimePoint now)
{
    m_flows[flow].inFlight.emplace(now, estimate);
}

void FlowShares::end(FlowId flow, Duration estimate, TimePoint begun, Duration used)
{
    Flow &state = m_flows[flow];
    auto [first, last] = state.inFlight.equal_range(begun);
    for (; first != last; ++first) {
        if (first->second != estimate)
            continue;
        state.inFlight.erase(first);
        state.settled += used;
        return;
    }
    assert(false && "a lease ends that did not begin");
}

void FlowShares::addRemote(FlowId flow, Duration served)
{
    const auto found = m_flows.find(flow);
    if (found != m_flows.end())
        found->second.remote += served;
}

double FlowShares::virtualTime(FlowId flow, TimePoint now) const
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end())
        return m_floor;
    const Flow &state = found->second;
    Duration inFlight {0};
    for (const auto &[begun, estimate] : state.inFlight)
        inFlight += std::max(estimate, now - begun);
    return toSeconds(state.settled + state.remote + inFlight) / weight(flow) + state.lift;
}

void FlowShares::restore(FlowId flow, double virtualTime, TimePoint now)
{
    Flow &state = m_flows[flow];
    state.touched = now;
    state.lift += std::max(0.0, virtualTime - this->virtualTime(flow, now));
}

void FlowShares::chosen(double virtualTime)
{
    m_floor = std::max(m_floor, virtualTime);
}

Duration FlowShares::served(FlowId flow, TimePoint now) const
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end())
        return Duration(0);
    Duration total = found->second.settled;
    for (const auto &[begun, estimate] : found->second.inFlight)
        total += now - begun;
    return total;
}

void FlowShares::expire(TimePoint now)
{
    std::erase_if(m_flows, [&](const auto &entry) {
        return entry.second.inFlight.empty() && now - entry.second.touched > forgottenAfter;
    });
}

double FlowShares::weight(FlowId flow) const
{
    const auto found = m_weights.find(flow);
    return found == m_weights.end() ? 1.0 : found->second;
}

} // namespace berylridge
