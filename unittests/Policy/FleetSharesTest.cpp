// Shares over a fleet of many nodes, each of which knows the others' demands and loads with a lag.
#include "berylridge/Policy/Admission.h"
#include "berylridge/Policy/WorkspaceShares.h"

#include "berylridge/Support/Random.h"

#include <algorithm>
#include <cmath>
#include <deque>
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
constexpr int tellEveryMs = 100;
constexpr std::size_t turnsToTellAll = 6;
constexpr int updateEveryMs = 100;
constexpr double namedCapacity = 20e6;

/// Nodes before targets that read at a fixed rate. Each node tells a sixth of the others each
/// tenth of a second what its callers ask and what it has at each target.
class ModelFleet
{
public:
    ModelFleet()
        : m_nodes(nodeCount)
    {
        for (Node &node : m_nodes) {
            node.own.resize(targetCount);
            node.heard.resize(nodeCount, std::vector<double>(targetCount));
            node.heardSum.resize(targetCount);
        }
    }

    /// A request of the workspace comes to one of the nodes from first to last.
    void ask(WorkspaceKey workspace, std::size_t first, std::size_t last)
    {
        const auto nodes = static_cast<double>(last - first + 1);
        const auto index = first + static_cast<std::size_t>(uniform(m_random) * nodes);
        Node &node = m_nodes[std::min(index, last)];
        const double tokens = -std::log(1 - uniform(m_random)) * meanTokens;
        asked[workspace] += tokens;
        node.shares.onAsked(workspace, tokens, m_clock.now());
        std::size_t target = 0;
        for (std::size_t i = 1; i < m_running; ++i)
            target = node.known(i) < node.known(target) ? i : target;
        const double ahead = node.shares.secondsAhead(workspace, m_clock.now());
        const double allowed = allowedWaitMs({latencyTargetMs, tokens / tokensPerMs, ahead});
        if (node.known(target) / tokensPerMs > allowed) {
            node.shares.onTurnedAway(tokens, m_clock.now());
            return;
        }
        node.shares.onAdmitted(workspace, tokens, m_clock.now());
        got[workspace] += tokens;
        node.own[target] += tokens;
    }

    /// From now on only so many targets read; what was queued at the others is lost.
    void setRunning(std::size_t targets)
    {
        for (std::size_t i = targets; i < m_running; ++i) {
            for (Node &node : m_nodes)
                node.own[i] = 0;
        }
        m_running = targets;
    }

    void passMs()
    {
        for (std::size_t i = 0; i < m_running; ++i)
            read(i);
        m_clock.advance(1ms);
        ++m_ms;
        for (std::size_t i = 0; i < nodeCount; ++i) {
            if ((m_ms + static_cast<int>(i)) % tellEveryMs == 0)
                tell(i);
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
        std::vector<double> own;                ///< Tokens of its requests, by target.
        std::vector<std::vector<double>> heard; ///< The same of other nodes.
        std::vector<double> heardSum;

        double known(std::size_t target) const { return own[target] + heardSum[target]; }
    };

    void read(std::size_t target)
    {
        double queued = 0;
        for (const Node &node : m_nodes)
            queued += node.own[target];
        const double left = queued > tokensPerMs ? 1 - tokensPerMs / queued : 0;
        for (Node &node : m_nodes)
            node.own[target] *= left;
    }

    void tell(std::size_t teller)
    {
        const Node &from = m_nodes[teller];
        const TimePoint now = m_clock.now();
        const auto turn = static_cast<std::size_t>(m_ms / tellEveryMs);
        for (std::size_t i = 0; i < nodeCount; ++i) {
            if (i == teller || (i + teller + turn) % turnsToTellAll != 0)
                continue;
            Node &node = m_nodes[i];
            node.shares.onDigest(NodeId("n" + std::to_string(teller)),
                                 {from.shares.ownFlows(now), from.shares.servedPerSecond(now),
                                  from.shares.turnedAwayPerSecond(now)},
                                 now);
            for (std::size_t target = 0; target < targetCount; ++target)
                node.heardSum[target] += from.own[target] - node.heard[teller][target];
            node.heard[teller] = from.own;
        }
    }

    ManualClock m_clock;
    std::vector<Node> m_nodes;
    RandomEngine m_random {7};
    std::size_t m_running = targetCount;
    int m_ms = 0;
};

/// What workspaces got and asked from one moment on.
class Window
{
public:
    explicit Window(const ModelFleet &fleet)
        : m_askedBefore(fleet.asked)
        , m_gotBefore(fleet.got)
    {
    }

    /// Each gets at least half of what it asked or the best served one got.
    void expectFair(const ModelFleet &fleet)
    {
        double most = 0;
        for (const auto &[workspace, tokens] : fleet.got)
            most = std::max(most, tokens - m_gotBefore[workspace]);
        for (const auto &[workspace, tokens] : fleet.got) {
            const double got = tokens - m_gotBefore[workspace];
            const double asked = fleet.asked.at(workspace) - m_askedBefore[workspace];
            EXPECT_GE(got, std::min(asked, most) / 2)
                << "workspace " << workspace << " asked " << asked << ", the best got " << most;
        }
    }

private:
    std::map<WorkspaceKey, double> m_askedBefore;
    std::map<WorkspaceKey, double> m_gotBefore;
};

/// Looks once a second at the last six.
class WindowPerSecond
{
public:
    void next(const ModelFleet &fleet)
    {
        m_windows.emplace_back(fleet);
        if (m_windows.size() <= seconds)
            return;
        m_windows.front().expectFair(fleet);
        m_windows.pop_front();
    }

private:
    static constexpr std::size_t seconds = 6;

    std::deque<Window> m_windows;
};

constexpr WorkspaceKey flood = 1;
constexpr WorkspaceKey firstLarge = 2; ///< Three of them, each at one node.
constexpr WorkspaceKey firstSmall = 5; ///< Ten of them, each at two nodes.
constexpr WorkspaceKey secondFlood = 15;

/// Twice what the targets read, without the flood.
void askUsual(ModelFleet &fleet, int ms)
{
    if (ms % 5 == 0) {
        for (WorkspaceKey i = 0; i < 3; ++i)
            fleet.ask(firstLarge + i, i, i);
    }
    if (ms % 40 == 0) {
        for (WorkspaceKey i = 0; i < 10; ++i)
            fleet.ask(firstSmall + i, 10 + 2 * i, 11 + 2 * i);
    }
}

} // namespace

// Guards against a flood that comes to all nodes getting several times what others get, while
// small workspaces find the targets full.
TEST(FleetShares, AFloodAtAllNodesLeavesOthersTheirShare)
{
    ModelFleet fleet;
    for (int ms = 0; ms < 8000; ++ms) {
        fleet.ask(flood, 0, nodeCount - 1);
        askUsual(fleet, ms);
        fleet.passMs();
    }
    Window window(fleet);
    for (int ms = 0; ms < 6000; ++ms) {
        fleet.ask(flood, 0, nodeCount - 1);
        askUsual(fleet, ms);
        fleet.passMs();
    }
    window.expectFair(fleet);
}

// Guards against a flood that begins at all nodes at once and takes the room of several seconds
// before nodes have heard of each other's demand.
TEST(FleetShares, AFloodThatBeginsAtAllNodesLeavesOthersTheirShare)
{
    ModelFleet fleet;
    for (int ms = 0; ms < 8000; ++ms) {
        if (ms % 50 == 0)
            fleet.ask(flood, 0, nodeCount - 1); // Its usual.
        askUsual(fleet, ms);
        fleet.passMs();
    }
    Window window(fleet);
    for (int ms = 0; ms < 6000; ++ms) {
        fleet.ask(flood, 0, nodeCount - 1);
        fleet.ask(flood, 0, nodeCount - 1);
        askUsual(fleet, ms);
        fleet.passMs();
    }
    window.expectFair(fleet);
}

// Guards against a flood at all nodes paying at a low level for what it got at a high one, and
// against one at few nodes owing nothing for it.
TEST(FleetShares, FloodsGetTheirShareWhileTargetsAreLost)
{
    ModelFleet fleet;
    WindowPerSecond windows;
    std::size_t running = targetCount;
    for (int ms = 0; ms < 18000; ++ms) {
        if (ms >= 4000) {
            fleet.ask(flood, 0, nodeCount - 1);
            fleet.ask(flood, 0, nodeCount - 1);
        }
        if (ms % 5 == 0)
            fleet.ask(firstLarge, 0, 0);
        if (ms >= 4000 && ms % 2 == 0)
            fleet.ask(secondFlood, 40, 41);
        if (ms >= 8000 && ms % 1000 == 0 && running > 15)
            fleet.setRunning(running -= 5);
        fleet.passMs();
        if (ms >= 7000 && ms % 1000 == 0)
            windows.next(fleet);
    }
}
