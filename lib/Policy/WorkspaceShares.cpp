#include "berylridge/Policy/WorkspaceShares.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace berylridge {

namespace {

/// Demand is smoothed over this: long enough for a few requests of a small workspace, short beside
/// the seconds over which shares are judged.
constexpr double smoothingSeconds = 1.5;
/// Longest time for which unused share is kept, in seconds of the share.
constexpr double creditSeconds = 1.0;
/// A node's demands count so long after its last digest.
constexpr Duration remoteLimit = std::chrono::milliseconds(1500);
/// Below this a workspace is idle.
constexpr double idleRate = 1.0;

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

double WorkspaceShares::rateNow(const Own &own, TimePoint now)
{
    return own.rate * std::exp(-toSeconds(now - own.countedAt) / smoothingSeconds);
}

void WorkspaceShares::onAsked(WorkspaceKey workspace, double tokens, TimePoint now)
{
    Own &own = m_own[workspace];
    own.rate = rateNow(own, now) + tokens / smoothingSeconds;
    own.countedAt = now;
}

void WorkspaceShares::onDigest(const NodeId &node, std::vector<RemoteDemand> demands, TimePoint now)
{
    m_remotes[node] = {std::move(demands), now};
}

void WorkspaceShares::update(double capacity, TimePoint now)
{
    std::erase_if(m_remotes,
                  [&](const auto &entry) { return now - entry.second.heardAt > remoteLimit; });
    std::unordered_map<WorkspaceKey, double> fleet;
    for (const auto &[workspace, own] : m_own)
        fleet[workspace] += rateNow(own, now);
    for (const auto &[node, remote] : m_remotes) {
        for (const RemoteDemand &demand : remote.demands)
            fleet[demand.workspace] += demand.tokensPerSecond;
    }
    std::vector<double> demands;
    for (const auto &[workspace, rate] : fleet)
        demands.push_back(rate);
    m_level = maxMinLevel(std::move(demands), capacity);
    for (auto &[workspace, own] : m_own) {
        const double all = fleet[workspace];
        own.isLimited = all > m_level;
        own.allowedRate = own.isLimited ? m_level * rateNow(own, now) / all : all;
    }
    std::erase_if(m_own, [&](const auto &entry) { return rateNow(entry.second, now) < idleRate; });
}

bool WorkspaceShares::tryTake(WorkspaceKey workspace, double tokens, TimePoint now)
{
    const auto found = m_own.find(workspace);
    if (found == m_own.end() || !found->second.isLimited)
        return true;
    Own &own = found->second;
    const double earned = own.allowedRate * toSeconds(now - own.creditedAt);
    own.credit = std::min(own.credit + earned, own.allowedRate * creditSeconds);
    own.creditedAt = now;
    // Credit may go below zero by one request, so that a large request is served in its turn.
    if (own.credit <= 0)
        return false;
    own.credit -= tokens;
    return true;
}

std::vector<WorkspaceShares::RemoteDemand> WorkspaceShares::ownDemands(TimePoint now) const
{
    std::vector<RemoteDemand> demands;
    for (const auto &[workspace, own] : m_own)
        demands.push_back({workspace, rateNow(own, now)});
    return demands;
}

} // namespace berylridge
