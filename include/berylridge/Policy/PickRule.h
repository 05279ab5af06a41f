// Which waiting flow gets the next free slot. The fleet-wide rule is the product's; the others are
// the baselines that measurements compare it with.
#pragma once

#include "berylridge/Fleet/Messages.h"
#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"

#include <concepts>
#include <map>
#include <unordered_map>
#include <utility>
#include <variant>

namespace berylridge {

/// A flow that waits on a node.
struct PickCandidate
{
    const NodeId *node = nullptr;
    FlowId flow = 0;
    double virtualTime = 0; ///< Of the flow over the fleet.
    Duration age {0};       ///< How long its oldest request has waited there.
};

/// What the baselines remember of earlier choices.
class PickMemory
{
public:
    void onGranted(const NodeId &node, FlowId flow, Duration estimate);
    void onFreed(const NodeId &node);

    std::uint64_t lastPick(FlowId flow) const;
    std::uint32_t heldBy(const NodeId &node) const;
    double nodeCharge(const NodeId &node, FlowId flow) const;

private:
    std::uint64_t m_picks = 0;
    std::unordered_map<FlowId, std::uint64_t> m_lastPick;
    std::map<NodeId, std::uint32_t> m_held;
    std::map<std::pair<NodeId, FlowId>, double> m_nodeCharge;
};

/// The lowest key is served first; the second number breaks ties of the first.
using PickKey = std::pair<double, double>;

template <typename T>
concept PickRuleType
    = requires(const T &rule, const PickCandidate &candidate, const PickMemory &memory)
{
    {
        rule.key(candidate, memory)
        } -> std::same_as<PickKey>;
};

/// Least service over the fleet first, then the longest wait.
struct FleetRule
{
    PickKey key(const PickCandidate &candidate, const PickMemory &) const
    {
        return {candidate.virtualTime, -toSeconds(candidate.age)};
    }
};

/// Slots split evenly over nodes, least service inside each node first.
struct PerNodeRule
{
    PickKey key(const PickCandidate &candidate, const PickMemory &memory) const
    {
        return {memory.heldBy(*candidate.node), memory.nodeCharge(*candidate.node, candidate.flow)};
    }
};

/// Workspaces in turn, whatever their requests cost.
struct RoundRobinRule
{
    PickKey key(const PickCandidate &candidate, const PickMemory &memory) const
    {
        return {static_cast<double>(memory.lastPick(candidate.flow)), -toSeconds(candidate.age)};
    }
};

/// The longest wait first.
struct FifoRule
{
    PickKey key(const PickCandidate &candidate, const PickMemory &) const
    {
        return {-toSeconds(candidate.age), 0};
    }
};

static_assert(
    PickRuleType<
        FleetRule> && PickRuleType<PerNodeRule> && PickRuleType<RoundRobinRule> && PickRuleType<FifoRule>);

using PickRule = std::variant<FleetRule, PerNodeRule, RoundRobinRule, FifoRule>;

} // namespace berylridge
