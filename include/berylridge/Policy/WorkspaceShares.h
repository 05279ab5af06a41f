// Decides which workspaces are rejected first when the fleet is overloaded: those that request more
// than their max-min fair share of its capacity.
//
// Guards against a few large workspaces that request several times their usual load, so that small
// ones find every target full. Each node knows its own callers' demand exactly and that of the
// other nodes' callers from digests and from summaries of other zones. A capacity configured by
// operators does not account for how much of the prompts the targets have cached, and is off by a
// factor of two either way. While the fleet rejects requests, its capacity is therefore the rate
// that it serves. A fault lowers that rate for a moment, and it rises slowly since few requests are
// admitted. So the configured capacity remains the lower bound while admitted requests start in
// time and targets have room for those within their shares.
#pragma once

#include "berylridge/Policy/DemandRate.h"
#include "berylridge/Policy/Rate.h"
#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylridge {

/// hash32() of a workspace's name.
using WorkspaceKey = std::uint32_t;

/// Returns the rate that every workspace with unmet demand gets if `capacity` is shared max-min
/// fairly; infinite if all demands fit.
double maxMinFairRate(std::vector<double> demands, double capacity);

/// This class is not thread-safe.
class WorkspaceShares
{
public:
    /// Records that a caller of the workspace requested work of this many tokens.
    void onRequested(WorkspaceKey workspace, double tokens, TimePoint now);

    /// Records that a request of the workspace was admitted, within its share or over it.
    void onAdmitted(WorkspaceKey workspace, double tokens, TimePoint now);

    /// Records that a request was rejected because no target had capacity for it.
    void onRejected(double tokens, TimePoint now)
    {
        m_rejected.add(tokens, now);
        m_missed.add(tokens, now);
    }

    /// Records that a request was rejected only because its workspace is over its share.
    void onHeldBack(double tokens, TimePoint now) { m_rejected.add(tokens, now); }

    /// Records that an admitted request started late.
    void onLate(double tokens, TimePoint now) { m_missed.add(tokens, now); }

    /// Rates of one workspace's callers at one node, in tokens per second.
    struct Flow
    {
        WorkspaceKey workspace = 0;
        double requested = 0;
        double admitted = 0;

        void add(const Flow &other)
        {
            requested += other.requested;
            admitted += other.admitted;
        }
    };
    /// What another node, or all nodes of another zone, reported about their own callers.
    struct RemoteDigest
    {
        std::vector<Flow> flows;
        double servedPerSecond = 0;   ///< Tokens of requests that it admitted.
        double rejectedPerSecond = 0; ///< Tokens of requests that it rejected.
        std::size_t nodes = 1;        ///< Number of nodes that it covers.
        double missedPerSecond = 0; ///< Tokens of requests that started late or found no capacity.
    };
    void onDigest(const NodeId &node, RemoteDigest digest, TimePoint now);
    /// Drops what the node's last digest contained.
    void forgetNode(const NodeId &node) { m_remotes.erase(node); }
    void onZoneSummary(const std::string &zone, RemoteDigest digest, TimePoint now);

    /// Recomputes the shares; called each period. configuredCapacity is the capacity of the fleet
    /// that operators state, in tokens per second.
    void update(double configuredCapacity, TimePoint now);

    /// Returns how far the workspace is over its share at this node: the excess that it received,
    /// in seconds of its share. Returns 0 within the share, and where all demands fit.
    double secondsOverShare(WorkspaceKey workspace, TimePoint now);

    /// Returns whether the workspace requests more than its share and gets most of this node's part
    /// of it.
    bool getsMostOfItsShare(WorkspaceKey workspace, TimePoint now) const;

    /// A workspace's share and demand, to explain why it was rejected; in tokens per second.
    struct ShareStatus
    {
        double demand = 0;        ///< Demand at this node.
        double allowed = 0;       ///< This node's part of the workspace's share.
        double credit = 0;        ///< In tokens.
        double fleetDemand = 0;   ///< Over all nodes, as of the last update.
        double fleetAdmitted = 0; ///< Over all nodes, as of the last update.
        bool isLimited = false;
    };
    ShareStatus shareStatus(WorkspaceKey workspace, TimePoint now) const;

    /// Returns the sum of this node's rates and those in the digests of the nodes for which
    /// `isIncluded(node)` is true. Contains at most `maxFlows` workspaces, those with the highest
    /// demand.
    template <typename IsIncluded>
    RemoteDigest sumOfNodes(IsIncluded isIncluded, std::size_t maxFlows, TimePoint now) const
    {
        RemoteDigest sum {
            {}, servedPerSecond(now), rejectedPerSecond(now), 1, missedPerSecond(now)};
        FlowMap flows;
        for (const Flow &flow : ownFlows(now))
            flows[flow.workspace].add(flow);
        for (const auto &[node, remote] : m_remotes) {
            if (!isIncluded(node))
                continue;
            sum.nodes += remote.digest.nodes;
            sum.servedPerSecond += remote.digest.servedPerSecond;
            sum.rejectedPerSecond += remote.digest.rejectedPerSecond;
            sum.missedPerSecond += remote.digest.missedPerSecond;
            for (const Flow &flow : remote.digest.flows)
                flows[flow.workspace].add(flow);
        }
        sum.flows = highestDemand(flows, maxFlows);
        return sum;
    }

    /// Returns the rates of this node's own callers, for its digests.
    std::vector<Flow> ownFlows(TimePoint now) const;
    double servedPerSecond(TimePoint now) const { return m_served.at(now); }
    double rejectedPerSecond(TimePoint now) const { return m_rejected.at(now); }
    double missedPerSecond(TimePoint now) const { return m_missed.at(now); }
    /// Rates of the whole fleet as known to this node, in tokens per second.
    struct FleetView
    {
        double servedPerSecond = 0;
        double rejectedPerSecond = 0;
        double missedPerSecond = 0; ///< Tokens of requests that started late or found no capacity.
        double capacity = 0;        ///< The capacity that is shared.
        double fairRate = 0; ///< Rate that each workspace with unmet demand gets; may be infinite.
    };
    const FleetView &fleet() const { return m_fleet; }
    /// Returns whether the fleet rejects more than a few requests.
    bool isOverloaded() const { return m_isOverloaded; }

private:
    struct Own
    {
        DemandRate demand;
        Rate admitted;
        Rate admittedUnlimited; ///< Received during overload while it was not limited.
        double allowedRate = 0; ///< This node's part of the workspace's share.
        double credit = 0;      ///< Tokens that it may still receive; negative over its share.
        Flow fleet;             ///< Over all nodes, as of the last update.
        TimePoint creditedAt {};
        bool isLimited = false;
    };
    struct Remote
    {
        RemoteDigest digest;
        TimePoint digestReceivedAt;
    };

    double capacity(double configuredCapacity, TimePoint now);
    /// Returns the fraction of the configured capacity that the fleet probably has.
    double trustInConfiguredCapacity(double configuredCapacity) const;
    static void startLimiting(Own &own, TimePoint now);
    using FlowMap = std::unordered_map<WorkspaceKey, Flow>;

    static std::vector<Flow> highestDemand(const FlowMap &flows, std::size_t maxFlows);
    /// Calls visit(remote) for each digest of a node and each summary of a zone.
    template <typename Visit>
    void forEachRemote(Visit visit) const
    {
        for (const auto &[node, remote] : m_remotes)
            visit(remote);
        for (const auto &[zone, remote] : m_zones)
            visit(remote);
    }
    void expireRemotes(TimePoint now);
    /// Returns the flows over all nodes, as known to this node.
    FlowMap fleetFlows(TimePoint now) const;
    /// Returns the mean, over all workspaces that request more than the fair rate, of what the
    /// fleet admitted for them as a multiple of the fair rate.
    double meanAdmittedRatio(const FlowMap &fleet) const;
    /// Returns this node's part of the share of a workspace that requests more than it.
    double limitedRate(const Own &own, const Flow &fleet, double meanRatio, TimePoint now) const;

    std::unordered_map<WorkspaceKey, Own> m_own;
    std::map<NodeId, Remote> m_remotes;
    std::map<std::string, Remote> m_zones; ///< Keyed by the zone's name.
    Rate m_served;
    Rate m_rejected;
    Rate m_missed;
    FleetView m_fleet;
    TimePoint m_updatedAt {};
    bool m_isOverloaded = false;
};

} // namespace berylridge
