#include "berylridge/Policy/WorkspaceShares.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace berylridge {

namespace {

/// Maximum unused share that counts as credit, in seconds of the share.
constexpr double maxCreditSeconds = 1.0;
/// Maximum debt for what a workspace received over its share, in seconds of the share. A flood that
/// used idle capacity must not be shut out for long once other workspaces send requests.
constexpr double maxDebtSeconds = 3.0;
/// A workspace that gets more than this fraction of its share gets most of it.
constexpr double mostOfShareFraction = 0.5;
/// A node's demands count this long after its last digest.
constexpr Duration digestLifetime = std::chrono::milliseconds(1500);
/// The shares add up to slightly more than what was served, so that they grow when the capacity of
/// the fleet does.
constexpr double capacityGrowth = 1.05;
/// The fleet is overloaded if it rejects more than this fraction of what it serves.
constexpr double overloadRejectFraction = 0.05;
/// The fleet has its configured capacity if it misses at most this fraction of what it could serve
/// then. From the second fraction on, what it serves is all the capacity that it has.
constexpr double trustMissedFraction = 0.05;
constexpr double distrustMissedFraction = 0.25;
/// Minimum number of digests and summaries that contain a workspace for them to be extrapolated to
/// the other nodes.
constexpr std::size_t minSampledSources = 3;
/// A workspace below this rate is idle.
constexpr double idleTokensPerSecond = 1.0;
/// Bounds for the correction of a node's part of a share.
constexpr double minCorrection = 0.25;
constexpr double maxCorrection = 2.0;

} // namespace

double maxMinFairRate(std::vector<double> demands, double capacity)
{
    std::sort(demands.begin(), demands.end());
    double left = capacity;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const double equal = left / static_cast<double>(demands.size() - i);
        if (demands[i] > equal)
            return equal;
        left -= demands[i];
    }
    return std::numeric_limits<double>::infinity();
}

void WorkspaceShares::onRequested(WorkspaceKey workspace, double tokens, TimePoint now)
{
    m_own[workspace].demand.add(tokens, now);
}

void WorkspaceShares::onDigest(const NodeId &node, RemoteDigest digest, TimePoint now)
{
    m_remotes[node] = {std::move(digest), now};
}

void WorkspaceShares::onZoneSummary(const std::string &zone, RemoteDigest digest, TimePoint now)
{
    m_zones[zone] = {std::move(digest), now};
}

std::vector<WorkspaceShares::Flow> WorkspaceShares::highestDemand(const FlowMap &flows,
                                                                  std::size_t maxFlows)
{
    std::vector<Flow> highest;
    highest.reserve(flows.size());
    for (const auto &[workspace, flow] : flows)
        highest.push_back({workspace, flow.requested, flow.admitted});
    const auto kept = static_cast<std::ptrdiff_t>(std::min(maxFlows, highest.size()));
    std::partial_sort(
        highest.begin(), highest.begin() + kept, highest.end(),
        [](const Flow &left, const Flow &right) { return left.requested > right.requested; });
    highest.resize(static_cast<std::size_t>(kept));
    return highest;
}

double WorkspaceShares::capacity(double configuredCapacity, TimePoint now)
{
    double served = m_served.at(now);
    double rejected = m_rejected.at(now);
    double missed = m_missed.at(now);
    forEachRemote([&](const Remote &remote) {
        served += remote.digest.servedPerSecond;
        rejected += remote.digest.rejectedPerSecond;
        missed += remote.digest.missedPerSecond;
    });
    // Targets that have to read most parts anew have a third of the configured capacity. Shares of
    // the configured capacity would limit nobody then: a flood takes all free capacity, and other
    // workspaces get a third of what it gets. Many requests find no room or start late then.
    m_fleet.servedPerSecond = served;
    m_fleet.rejectedPerSecond = rejected;
    m_fleet.missedPerSecond = missed;
    m_isOverloaded = rejected > overloadRejectFraction * served;
    if (m_isOverloaded)
        return std::max(configuredCapacity * trustInConfiguredCapacity(configuredCapacity),
                        served * capacityGrowth);
    return std::max(configuredCapacity, served * capacityGrowth);
}

double WorkspaceShares::trustInConfiguredCapacity(double configuredCapacity) const
{
    // What is held back would be served up to the configured capacity. Compared with what is served
    // alone, the misses of a fault would count as long as the rate that they have lowered.
    const double heldBack = std::max(m_fleet.rejectedPerSecond - m_fleet.missedPerSecond, 0.0);
    const double possible = std::min(configuredCapacity, m_fleet.servedPerSecond + heldBack);
    const double expected = std::max({m_fleet.servedPerSecond, possible, 1.0});
    const double trust = (distrustMissedFraction - m_fleet.missedPerSecond / expected)
        / (distrustMissedFraction - trustMissedFraction);
    return std::clamp(trust, 0.0, 1.0);
}

WorkspaceShares::FlowMap WorkspaceShares::fleetFlows(TimePoint now) const
{
    struct Sample
    {
        Flow flow;
        std::size_t sources = 0; ///< Digests and summaries that contain the workspace.
    };
    FlowMap known;
    std::unordered_map<WorkspaceKey, Sample> samples;
    std::size_t sampled = 0;
    std::size_t nodes = 0;
    forEachRemote([&](const Remote &remote) {
        const bool isNew = remote.digestReceivedAt > m_updatedAt;
        sampled += isNew ? remote.digest.nodes : 0;
        nodes += remote.digest.nodes;
        for (const Flow &flow : remote.digest.flows) {
            known[flow.workspace].add(flow);
            if (!isNew)
                continue;
            Sample &sample = samples[flow.workspace];
            sample.flow.add(flow);
            ++sample.sources;
        }
    });
    // The other nodes' last digests may be older than a flood. If it reaches many nodes, the
    // digests received in this period are extrapolated to all nodes.
    for (const auto &[workspace, sample] : samples) {
        if (sample.sources < minSampledSources)
            continue;
        const double scale = static_cast<double>(nodes) / static_cast<double>(sampled);
        Flow &flow = known[workspace];
        flow.requested = std::max(flow.requested, sample.flow.requested * scale);
        flow.admitted = std::max(flow.admitted, sample.flow.admitted * scale);
    }
    for (const auto &[workspace, own] : m_own)
        known[workspace].add({workspace, own.demand.at(now), own.admitted.at(now)});
    return known;
}

void WorkspaceShares::expireRemotes(TimePoint now)
{
    const auto isOld
        = [&](const auto &entry) { return now - entry.second.digestReceivedAt > digestLifetime; };
    std::erase_if(m_remotes, isOld);
    std::erase_if(m_zones, isOld);
}

void WorkspaceShares::update(double configuredCapacity, TimePoint now)
{
    expireRemotes(now);
    const FlowMap fleet = fleetFlows(now);
    m_updatedAt = now;
    std::vector<double> demands;
    demands.reserve(fleet.size());
    for (const auto &[workspace, flow] : fleet)
        demands.push_back(flow.requested);
    m_fleet.capacity = std::max(capacity(configuredCapacity, now), idleTokensPerSecond);
    m_fleet.fairRate = maxMinFairRate(std::move(demands), m_fleet.capacity);
    const double meanRatio = meanAdmittedRatio(fleet);
    for (auto &[workspace, own] : m_own) {
        const Flow &flow = own.fleet = fleet.at(workspace);
        const bool wasLimited = std::exchange(own.isLimited, flow.requested > m_fleet.fairRate);
        own.allowedRate = own.isLimited ? limitedRate(own, flow, meanRatio, now) : flow.requested;
        if (own.isLimited && !wasLimited)
            startLimiting(own, now);
    }
    std::erase_if(m_own, [&](const auto &entry) {
        return entry.second.demand.at(now) < idleTokensPerSecond;
    });
}

double WorkspaceShares::meanAdmittedRatio(const FlowMap &fleet) const
{
    double admittedRatio = 0;
    std::size_t count = 0;
    for (const auto &[workspace, flow] : fleet) {
        if (flow.requested <= m_fleet.fairRate)
            continue;
        admittedRatio += flow.admitted / m_fleet.fairRate;
        ++count;
    }
    return count > 0 ? admittedRatio / static_cast<double>(count) : 1;
}

double WorkspaceShares::limitedRate(const Own &own, const Flow &fleet, double meanRatio,
                                    TimePoint now) const
{
    // Nodes learn each other's demand with a delay, so that their parts add up to more or less than
    // the share. The admitted rate shows by how much. It is compared with the other workspaces and
    // not with the fair rate: otherwise a fleet that admits too little would never correct itself.
    const double admittedRatio = fleet.admitted / m_fleet.fairRate;
    const double correction
        = std::clamp(1 + meanRatio - admittedRatio, minCorrection, maxCorrection);
    return m_fleet.fairRate * own.demand.at(now) / fleet.requested * correction;
}

void WorkspaceShares::startLimiting(Own &own, TimePoint now)
{
    // What it received while the fleet was overloaded and its demand was not known yet counts.
    const double initialCredit
        = (own.allowedRate - own.admittedUnlimited.at(now)) * Rate::defaultSmoothingSeconds;
    own.credit = std::clamp(initialCredit, -own.allowedRate * maxDebtSeconds,
                            own.allowedRate * maxCreditSeconds);
    own.creditedAt = now;
}

bool WorkspaceShares::getsMostOfItsShare(WorkspaceKey workspace, TimePoint now) const
{
    const auto found = m_own.find(workspace);
    if (found == m_own.end() || !found->second.isLimited)
        return false;
    const Own &own = found->second;
    return own.admitted.at(now) > own.allowedRate * mostOfShareFraction;
}

double WorkspaceShares::secondsOverShare(WorkspaceKey workspace, TimePoint now)
{
    const auto found = m_own.find(workspace);
    if (found == m_own.end() || !found->second.isLimited)
        return 0;
    Own &own = found->second;
    const double earned = own.allowedRate * toSeconds(now - own.creditedAt);
    own.credit = std::min(own.credit + earned, own.allowedRate * maxCreditSeconds);
    own.creditedAt = now;
    // One request may make the credit negative, so that a large request is served in its turn.
    if (own.credit > 0 || own.allowedRate <= 0)
        return 0;
    return -own.credit / own.allowedRate;
}

void WorkspaceShares::onAdmitted(WorkspaceKey workspace, double tokens, TimePoint now)
{
    m_served.add(tokens, now);
    const auto found = m_own.find(workspace);
    if (found == m_own.end())
        return;
    Own &own = found->second;
    own.admitted.add(tokens, now);
    if (!own.isLimited) {
        if (m_isOverloaded)
            own.admittedUnlimited.add(tokens, now);
        return;
    }
    own.credit = std::max(own.credit - tokens, -own.allowedRate * maxDebtSeconds);
}

WorkspaceShares::ShareStatus WorkspaceShares::shareStatus(WorkspaceKey workspace,
                                                          TimePoint now) const
{
    const auto found = m_own.find(workspace);
    if (found == m_own.end())
        return {};
    const Own &own = found->second;
    return {own.demand.at(now),  own.allowedRate,    own.credit,
            own.fleet.requested, own.fleet.admitted, own.isLimited};
}

std::vector<WorkspaceShares::Flow> WorkspaceShares::ownFlows(TimePoint now) const
{
    std::vector<Flow> flows;
    flows.reserve(m_own.size());
    for (const auto &[workspace, own] : m_own)
        flows.push_back({workspace, own.demand.at(now), own.admitted.at(now)});
    return flows;
}

} // namespace berylridge
