// Who is turned away first when the fleet can't serve all: workspaces that ask for more than their
// max-min share of what the fleet bears.
//
// Load it answers: a few large workspaces ask for several times their usual, and the small ones
// find every target full. Each node knows its own callers' demand exactly and the others' from
// digests. What the fleet bears is what it serves while it turns requests away: a figure that
// operators give doesn't know how much of the prompts the targets keep, and is off by a factor of
// two either way. It counts only while next to nothing is turned away.
#pragma once

#include "berylridge/Policy/Rate.h"
#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace berylridge {

/// hash32() of a workspace's name.
using WorkspaceKey = std::uint32_t;

/// The rate that no workspace with unmet demand falls below when `capacity` is shared max-min
/// fairly; infinite where all demands fit.
double maxMinFairRate(std::vector<double> demands, double capacity);

/// Not safe for use by two threads at once.
class WorkspaceShares
{
public:
    /// A caller of the workspace asks for work of so many tokens.
    void onRequested(WorkspaceKey workspace, double tokens, TimePoint now);

    /// A request of the workspace was admitted, within its share or beyond.
    void onAdmitted(WorkspaceKey workspace, double tokens, TimePoint now);

    /// The request was refused since no target had room for it.
    void onRejected(double tokens, TimePoint now) { m_rejected.add(tokens, now); }

    /// Of one workspace's callers at one node, in tokens a second.
    struct Flow
    {
        WorkspaceKey workspace = 0;
        double requested = 0;
        double admitted = 0;
    };
    /// What another node told of its own callers.
    struct RemoteDigest
    {
        std::vector<Flow> flows;
        double servedPerSecond = 0;   ///< Tokens of requests that it admitted.
        double rejectedPerSecond = 0; ///< Tokens of requests that found no room.
    };
    void onDigest(const NodeId &node, RemoteDigest digest, TimePoint now);

    /// Works the shares out anew; called each period. Operators say that the fleet bears
    /// configuredCapacity tokens a second.
    void update(double configuredCapacity, TimePoint now);

    /// How far the workspace is beyond its share at this node: what it got too much, in seconds of
    /// the share. 0 within it, and where all demands fit.
    double secondsOverShare(WorkspaceKey workspace, TimePoint now);

    /// A workspace's place among the others, for those who ask why it was turned away. In tokens a
    /// second.
    struct ShareStatus
    {
        double demand = 0;  ///< At this node.
        double allowed = 0; ///< This node's part of the workspace's share.
        double credit = 0;  ///< Tokens.
        bool isLimited = false;
    };
    ShareStatus shareStatus(WorkspaceKey workspace, TimePoint now) const;

    /// Of this node's own callers, for its digests.
    std::vector<Flow> ownFlows(TimePoint now) const;
    double servedPerSecond(TimePoint now) const { return m_served.at(now); }
    double rejectedPerSecond(TimePoint now) const { return m_rejected.at(now); }
    /// Of the whole fleet, as this node sees it; in tokens a second.
    struct FleetView
    {
        double servedPerSecond = 0;
        double rejectedPerSecond = 0;
        double capacity = 0; ///< What shares are of.
        double fairRate = 0; ///< No workspace with unmet demand falls below; may be infinite.
    };
    const FleetView &fleet() const { return m_fleet; }
    /// Whether shares are of what the fleet serves, since it turns requests away.
    bool isOverloaded() const { return m_isOverloaded; }

private:
    struct Own
    {
        Rate demand;
        Rate admitted;
        Rate admittedUnlimited; ///< What it got while the fleet was full and it wasn't limited.
        double allowedRate = 0; ///< This node's part of the workspace's share.
        double credit = 0;      ///< Tokens that it may still get; below zero beyond its share.
        TimePoint creditedAt {};
        bool isLimited = false;
    };
    struct Remote
    {
        RemoteDigest digest;
        TimePoint heardAt;
    };

    double capacity(double configuredCapacity, TimePoint now);
    static void startLimiting(Own &own, TimePoint now);
    using FlowMap = std::unordered_map<WorkspaceKey, Flow>;

    /// Over all nodes, as far as this one can tell.
    FlowMap fleetFlows(TimePoint now) const;
    /// What the fleet admitted for a workspace that asks for more than the fairRate, in levels; the
    /// mean of all of these.
    double meanAdmittedRatio(const FlowMap &fleet) const;
    /// This node's part of the share of a workspace that asks for more.
    double limitedRate(const Own &own, const Flow &fleet, double meanRatio, TimePoint now) const;

    std::unordered_map<WorkspaceKey, Own> m_own;
    std::map<NodeId, Remote> m_remotes;
    Rate m_served;
    Rate m_rejected;
    FleetView m_fleet;
    TimePoint m_updatedAt {};
    bool m_isOverloaded = false;
};

} // namespace berylridge
