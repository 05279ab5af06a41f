#include "berylridge/Policy/SchedulingPolicy.h"

namespace berylridge {

void SchedulingHistory::onLeaseGranted(const NodeId &node, FlowId flow, Duration estimate)
{
    m_lastGrantOf[flow] = ++m_grantCount;
    ++m_held[node];
    m_nodeCharge[{node, flow}] += toSeconds(estimate);
}

void SchedulingHistory::onLeaseEnded(const NodeId &node)
{
    const auto found = m_held.find(node);
    if (found != m_held.end() && found->second > 0)
        --found->second;
}

std::uint64_t SchedulingHistory::lastGrantOf(FlowId flow) const
{
    const auto found = m_lastGrantOf.find(flow);
    return found == m_lastGrantOf.end() ? 0 : found->second;
}

std::uint32_t SchedulingHistory::heldBy(const NodeId &node) const
{
    const auto found = m_held.find(node);
    return found == m_held.end() ? 0 : found->second;
}

double SchedulingHistory::nodeCharge(const NodeId &node, FlowId flow) const
{
    const auto found = m_nodeCharge.find({node, flow});
    return found == m_nodeCharge.end() ? 0 : found->second;
}

} // namespace berylridge
