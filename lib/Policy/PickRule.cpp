#include "berylridge/Policy/PickRule.h"

namespace berylridge {

void PickMemory::onGranted(const NodeId &node, FlowId flow, Duration estimate)
{
    m_lastPick[flow] = ++m_picks;
    ++m_held[node];
    m_nodeCharge[{node, flow}] += toSeconds(estimate);
}

void PickMemory::onFreed(const NodeId &node)
{
    const auto found = m_held.find(node);
    if (found != m_held.end() && found->second > 0)
        --found->second;
}

std::uint64_t PickMemory::lastPick(FlowId flow) const
{
    const auto found = m_lastPick.find(flow);
    return found == m_lastPick.end() ? 0 : found->second;
}

std::uint32_t PickMemory::heldBy(const NodeId &node) const
{
    const auto found = m_held.find(node);
    return found == m_held.end() ? 0 : found->second;
}

double PickMemory::nodeCharge(const NodeId &node, FlowId flow) const
{
    const auto found = m_nodeCharge.find({node, flow});
    return found == m_nodeCharge.end() ? 0 : found->second;
}

} // namespace berylridge
