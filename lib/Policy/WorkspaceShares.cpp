#include "berylridge/Policy/WorkspaceShares.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace berylridge {

namespace {

/// Longest time for which unused share is kept, in seconds of the share.
constexpr double creditSeconds = 1.0;
/// What a workspace got beyond its share is held against it so far, in seconds of the share: a
/// flood that took what was idle must not go without for long once others come.
constexpr double debtSeconds = 3.0;
/// A node's demands count so long after its last digest.
constexpr Duration remoteLimit = std::chrono::milliseconds(1500);
/// Shares add up to a little more than was served, so that they find out when the fleet bears more.
constexpr double growth = 1.05;
/// Beyond this part of what is served, what is turned away shows that the fleet is full.
constexpr double fullPart = 0.05;
/// Nodes at which a workspace's callers must be for a sample of nodes to tell of the others.
constexpr std::size_t leastSample = 3;
/// Below this a workspace is idle.
constexpr double idleRate = 1.0;
/// Bounds of the correction of a node's part of a share.
constexpr double leastCorrection = 0.25;
constexpr double mostCorrection = 2.0;

void add(const WorkspaceShares::Flow &flow, WorkspaceShares::Flow &sum)
{
    sum.asked += flow.asked;
    sum.admitted += flow.admitted;
}

} // namespace

double maxMinLevel(std::vector<double> demands, double capacity)
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

void WorkspaceShares::onAsked(WorkspaceKey workspace, double tokens, TimePoint now)
{
    m_own[workspace].demand.add(tokens, now);
}

void WorkspaceShares::onDigest(const NodeId &node, RemoteNews news, TimePoint now)
{
    m_remotes[node] = {std::move(news), now};
}

double WorkspaceShares::capacity(double namedCapacity, TimePoint now)
{
    double served = m_served.at(now);
    double turnedAway = m_turnedAway.at(now);
    for (const auto &[node, remote] : m_remotes) {
        served += remote.news.servedPerSecond;
        turnedAway += remote.news.turnedAwayPerSecond;
    }
    // Targets that have to read most parts anew bear a third of what operators name. Shares of the
    // named figure hold nobody back then: a flood takes what room there is, and its neighbours get
    // a third of what it gets.
    m_fleet.servedPerSecond = served;
    m_fleet.turnedAwayPerSecond = turnedAway;
    m_isFull = turnedAway > fullPart * served;
    if (m_isFull)
        return served * growth;
    return std::max(namedCapacity, served * growth);
}

WorkspaceShares::FlowMap WorkspaceShares::fleetFlows(TimePoint now) const
{
    struct Sample
    {
        Flow flow;
        std::size_t nodes = 0;
    };
    FlowMap known;
    std::unordered_map<WorkspaceKey, Sample> samples;
    std::size_t sampled = 0;
    for (const auto &[node, remote] : m_remotes) {
        const bool isNew = remote.heardAt > m_updatedAt;
        sampled += isNew ? 1 : 0;
        for (const Flow &flow : remote.news.flows) {
            add(flow, known[flow.workspace]);
            if (!isNew)
                continue;
            Sample &sample = samples[flow.workspace];
            add(flow, sample.flow);
            ++sample.nodes;
        }
    }
    // The other nodes' last digests are of before a flood that has begun since. Where it comes to
    // many nodes, those that were heard in this period stand for all.
    for (const auto &[workspace, sample] : samples) {
        if (sample.nodes < leastSample)
            continue;
        const double times = static_cast<double>(m_remotes.size()) / static_cast<double>(sampled);
        Flow &flow = known[workspace];
        flow.asked = std::max(flow.asked, sample.flow.asked * times);
        flow.admitted = std::max(flow.admitted, sample.flow.admitted * times);
    }
    for (const auto &[workspace, own] : m_own)
        add({workspace, own.demand.at(now), own.admitted.at(now)}, known[workspace]);
    return known;
}

void WorkspaceShares::update(double namedCapacity, TimePoint now)
{
    std::erase_if(m_remotes,
                  [&](const auto &entry) { return now - entry.second.heardAt > remoteLimit; });
    const FlowMap fleet = fleetFlows(now);
    m_updatedAt = now;
    std::vector<double> demands;
    demands.reserve(fleet.size());
    for (const auto &[workspace, flow] : fleet)
        demands.push_back(flow.asked);
    m_fleet.capacity = capacity(namedCapacity, now);
    m_fleet.level = maxMinLevel(std::move(demands), m_fleet.capacity);
    const double usualLevels = levelsAdmitted(fleet);
    for (auto &[workspace, own] : m_own) {
        const Flow &flow = fleet.at(workspace);
        const bool wasLimited = std::exchange(own.isLimited, flow.asked > m_fleet.level);
        own.allowedRate = own.isLimited ? limitedRate(own, flow, usualLevels, now) : flow.asked;
        if (own.isLimited && !wasLimited)
            beginLimit(own, now);
    }
    std::erase_if(m_own, [&](const auto &entry) { return entry.second.demand.at(now) < idleRate; });
}

double WorkspaceShares::levelsAdmitted(const FlowMap &fleet) const
{
    double levels = 0;
    std::size_t count = 0;
    for (const auto &[workspace, flow] : fleet) {
        if (flow.asked <= m_fleet.level)
            continue;
        levels += flow.admitted / m_fleet.level;
        ++count;
    }
    return count > 0 ? levels / static_cast<double>(count) : 1;
}

double WorkspaceShares::limitedRate(const Own &own, const Flow &fleet, double usualLevels,
                                    TimePoint now) const
{
    // Nodes know each other's demand late, so that their parts add up to more or less than the
    // share. What the fleet admitted tells by how much. The others are the measure, not the level:
    // held to it by its own count, a fleet that admits too little would never find out.
    const double levels = fleet.admitted / m_fleet.level;
    const double correction = std::clamp(1 + usualLevels - levels, leastCorrection, mostCorrection);
    return m_fleet.level * own.demand.at(now) / fleet.asked * correction;
}

void WorkspaceShares::beginLimit(Own &own, TimePoint now)
{
    // What it got while the fleet was full and nobody knew yet of its demand counts.
    const double behind = (own.allowedRate - own.unlimited.at(now)) * Rate::usualSmoothingSeconds;
    own.credit
        = std::clamp(behind, -own.allowedRate * debtSeconds, own.allowedRate * creditSeconds);
    own.creditedAt = now;
}

double WorkspaceShares::secondsAhead(WorkspaceKey workspace, TimePoint now)
{
    const auto found = m_own.find(workspace);
    if (found == m_own.end() || !found->second.isLimited)
        return 0;
    Own &own = found->second;
    const double earned = own.allowedRate * toSeconds(now - own.creditedAt);
    own.credit = std::min(own.credit + earned, own.allowedRate * creditSeconds);
    own.creditedAt = now;
    // Credit may go below zero by one request, so that a large request is served in its turn.
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
        if (m_isFull)
            own.unlimited.add(tokens, now);
        return;
    }
    own.credit = std::max(own.credit - tokens, -own.allowedRate * debtSeconds);
}

WorkspaceShares::Standing WorkspaceShares::standing(WorkspaceKey workspace, TimePoint now) const
{
    const auto found = m_own.find(workspace);
    if (found == m_own.end())
        return {};
    const Own &own = found->second;
    return {own.demand.at(now), own.allowedRate, own.credit, own.isLimited};
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
