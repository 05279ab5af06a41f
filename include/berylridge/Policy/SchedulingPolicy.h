// Selects the waiting flow that gets the next free slot. FleetFairPolicy is the one for production;
// the others are baselines for measurements.
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
struct SchedulingCandidate
{
    const NodeId *node = nullptr;
    FlowId flow = 0;
    double virtualTime = 0; ///< Virtual time of the flow over the whole fleet.
    Duration age {0};       ///< How long its oldest request has waited on this node.
};

/// Earlier grants that the baseline policies depend on.
class SchedulingHistory
{
public:
    void onLeaseGranted(const NodeId &node, FlowId flow, Duration estimate);
    void onLeaseEnded(const NodeId &node);

    std::uint64_t lastGrantOf(FlowId flow) const;
    std::uint32_t heldBy(const NodeId &node) const;
    double nodeCharge(const NodeId &node, FlowId flow) const;

private:
    std::uint64_t m_grantCount = 0;
    std::unordered_map<FlowId, std::uint64_t> m_lastGrantOf;
    std::map<NodeId, std::uint32_t> m_held;
    std::map<std::pair<NodeId, FlowId>, double> m_nodeCharge;
};

/// The candidate with the lowest key is served first; the second number breaks ties of the first.
using SchedulingKey = std::pair<double, double>;

template <typename T>
concept SchedulingPolicyType = requires(const T &policy, const SchedulingCandidate &candidate,
                                        const SchedulingHistory &history)
{
    {
        policy.key(candidate, history)
        } -> std::same_as<SchedulingKey>;
};

/// Selects the flow with the least service over the fleet, then the longest wait.
struct FleetFairPolicy
{
    SchedulingKey key(const SchedulingCandidate &candidate, const SchedulingHistory &) const
    {
        return {candidate.virtualTime, -toSeconds(candidate.age)};
    }
};

/// Splits slots evenly over nodes, and selects the flow with the least service on a node.
struct PerNodeFairPolicy
{
    SchedulingKey key(const SchedulingCandidate &candidate, const SchedulingHistory &history) const
    {
        return {history.heldBy(*candidate.node),
                history.nodeCharge(*candidate.node, candidate.flow)};
    }
};

/// Selects workspaces in turn, regardless of the cost of their requests.
struct RoundRobinPolicy
{
    SchedulingKey key(const SchedulingCandidate &candidate, const SchedulingHistory &history) const
    {
        return {static_cast<double>(history.lastGrantOf(candidate.flow)),
                -toSeconds(candidate.age)};
    }
};

/// Selects the longest wait.
struct FifoPolicy
{
    SchedulingKey key(const SchedulingCandidate &candidate, const SchedulingHistory &) const
    {
        return {-toSeconds(candidate.age), 0};
    }
};

static_assert(
    SchedulingPolicyType<
        FleetFairPolicy> && SchedulingPolicyType<PerNodeFairPolicy> && SchedulingPolicyType<RoundRobinPolicy> && SchedulingPolicyType<FifoPolicy>);

using SchedulingPolicy
    = std::variant<FleetFairPolicy, PerNodeFairPolicy, RoundRobinPolicy, FifoPolicy>;

} // namespace berylridge
