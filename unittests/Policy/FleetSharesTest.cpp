// Shares over a fleet of many nodes, each of which knows the others' demands and loads with a lag.
#include "berylridge/Policy/Admission.h"
#include "berylridge/Policy/WorkspaceShares.h"

#include "berylridge/Support/Random.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <map>
#include <vector>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t nodeCount = 60;
constexpr std::size_t targetCount = 50;
constexpr double tokensPerMs = 100; ///< Of each target.
constexpr double latencyTargetMs = 600;
constexpr double meanTokens = 12000; ///< Of a request.
constexpr int tellEveryMs = 600;     ///< Each node hears each other node once in this time.
constexpr int updateEveryMs = 100;
constexpr double namedCapacity = 20e6;

/// Nodes before targets that read at a fixed rate.
class ModelFleet
{
public:
    ModelFleet()
        : m_nodes(nodeCount)
        , m_queued(targetCount)
    {
        for (Node &node : m_nodes)
            node.known.resize(targetCount);
    }

    /// A request of the workspace comes to one of the nodes from first to last.
    void ask(WorkspaceKey workspace, std::size_t first, std::size_t last)
    {
        const auto index = first + static_cast<std::size_t>(uniform(m_random) * (last - first + 1));
        Node &node = m_nodes[std::min(index, last)];
        const double tokens = -std::log(1 - uniform(m_random)) * meanTokens;
        asked[workspace] += tokens;
        node.shares.onAsked(workspace, tokens, m_clock.now());
        const auto least = std::min_element(node.known.begin(), node.known.end());
        const auto target = static_cast<std::size_t>(least - node.known.begin());
        const double ahead = node.shares.secondsAhead(workspace, m_clock.now());
        const double allowed = allowedWaitMs({latencyTargetMs, tokens / tokensPerMs, ahead});
        if (*least / tokensPerMs > allowed) {
            node.shares.onTurnedAway(tokens, m_clock.now());
            return;
        }
        node.shares.onAdmitted(workspace, tokens, m_clock.now());
        got[workspace] += tokens;
        m_queued[target] += tokens;
        *least += tokens;
    }

    void passMs()
    {
        for (double &queued : m_queued)
            queued = std::max(0.0, queued - tokensPerMs);
        m_clock.advance(1ms);
        ++m_ms;
        for (std::size_t i = 0; i < nodeCount; ++i) {
            // Nodes tell in turn, so that what each knows is of all ages up to the period.
            if ((m_ms + static_cast<int>(i) * 10) % tellEveryMs == 0)
                hear(i);
            if ((m_ms + static_cast<int>(i)) % updateEveryMs == 0)
                m_nodes[i].shares.update(namedCapacity, m_clock.now());
        }
    }

    std::map<WorkspaceKey, double> asked;
    std::map<WorkspaceKey, double> got;

private:
    struct Node
    {
        WorkspaceShares shares;
        std::vector<double> known; ///< Tokens queued at each target.
    };

    void hear(std::size_t listener)
    {
        Node &node = m_nodes[listener];
        node.known = m_queued;
        for (std::size_t i = 0; i < nodeCount; ++i) {
            if (i == listener)
                continue;
            const WorkspaceShares &shares = m_nodes[i].shares;
            const TimePoint now = m_clock.now();
            node.shares.onDigest(NodeId("n" + std::to_string(i)),
                                 {shares.ownDemands(now), shares.servedPerSecond(now),
                                  shares.turnedAwayPerSecond(now)},
                                 now);
        }
    }

    PausedClock m_clock;
    std::vector<Node> m_nodes;
    std::vector<double> m_queued;
    RandomEngine m_random {7};
    int m_ms = 0;
};

} // namespace

// Guards against a flood that comes to all nodes getting several times what others get, while
// small workspaces find the targets full.
TEST(FleetShares, AFloodAtAllNodesLeavesOthersTheirShare)
{
    constexpr WorkspaceKey flood = 1;
    constexpr WorkspaceKey firstLarge = 2; // Three of them, each at one node.
    constexpr WorkspaceKey firstSmall = 5; // Ten of them, each at two nodes.
    ModelFleet fleet;
    std::map<WorkspaceKey, double> askedBefore;
    std::map<WorkspaceKey, double> gotBefore;
    for (int ms = 0; ms < 14000; ++ms) {
        if (ms == 8000) {
            askedBefore = fleet.asked;
            gotBefore = fleet.got;
        }
        fleet.ask(flood, 0, nodeCount - 1);
        if (ms % 2 == 0)
            fleet.ask(flood, 0, nodeCount - 1);
        if (ms % 5 == 0) {
            for (WorkspaceKey i = 0; i < 3; ++i)
                fleet.ask(firstLarge + i, i, i);
        }
        if (ms % 40 == 0) {
            for (WorkspaceKey i = 0; i < 10; ++i)
                fleet.ask(firstSmall + i, 10 + 2 * i, 11 + 2 * i);
        }
        fleet.passMs();
    }
    double most = 0;
    for (const auto &[workspace, tokens] : fleet.got)
        most = std::max(most, tokens - gotBefore[workspace]);
    for (const auto &[workspace, tokens] : fleet.got) {
        const double got = tokens - gotBefore[workspace];
        const double owed = std::min(fleet.asked[workspace] - askedBefore[workspace], most);
        EXPECT_GE(got, owed / 2) << "workspace " << workspace << " asked "
                                 << fleet.asked[workspace] - askedBefore[workspace];
    }
}
