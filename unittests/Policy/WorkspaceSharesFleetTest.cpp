// Simulates the shares over a fleet of many nodes. Each node knows the other nodes' demands and
// loads with a delay.
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
constexpr double tokensPerMs = 100; ///< Read rate of each target.
constexpr double latencyTargetMs = 600;
constexpr double meanTokens = 12000; ///< Mean size of a request.
constexpr int digestPeriodMs = 100;
constexpr std::size_t periodsPerRound = 6;
constexpr int updatePeriodMs = 100;
constexpr double configuredCapacity = 20e6;

/// Models nodes that send requests to targets with a fixed read rate. Every tenth of a second each
/// node sends a sixth of the others its callers' demand and its queued tokens on each target.
class ModelFleet
{
public:
    ModelFleet()
        : m_nodes(nodeCount)
    {
        for (Node &node : m_nodes) {
            node.ownTokens.resize(targetCount);
            node.remoteTokens.resize(nodeCount, std::vector<double>(targetCount));
            node.remoteTokenSum.resize(targetCount);
        }
    }

    /// Sends a request of the workspace to one of the nodes from `first` to `last`.
    void sendRequest(WorkspaceKey workspace, std::size_t first, std::size_t last)
    {
        const auto nodes = static_cast<double>(last - first + 1);
        const auto index = first + static_cast<std::size_t>(uniform(m_random) * nodes);
        Node &node = m_nodes[std::min(index, last)];
        const double tokens = -std::log(1 - uniform(m_random)) * meanTokens;
        requestedTokens[workspace] += tokens;
        node.shares.onRequested(workspace, tokens, m_clock.now());
        std::size_t target = 0;
        for (std::size_t i = 1; i < m_running; ++i)
            target = node.knownTokens(i) < node.knownTokens(target) ? i : target;
        const double ahead = node.shares.secondsOverShare(workspace, m_clock.now());
        const bool isLimited = node.shares.shareStatus(workspace, m_clock.now()).isLimited;
        const double allowed
            = maxQueueWaitMs({latencyTargetMs, tokens / tokensPerMs, ahead, isLimited});
        const double waitMs = node.knownTokens(target) / tokensPerMs;
        if (waitMs > allowed) {
            if (ahead <= 0 || waitMs > maxQueueWaitMs({latencyTargetMs, tokens / tokensPerMs, 0}))
                node.shares.onRejected(tokens, m_clock.now());
            else
                node.shares.onHeldBack(tokens, m_clock.now());
            return;
        }
        node.shares.onAdmitted(workspace, tokens, m_clock.now());
        admittedTokens[workspace] += tokens;
        node.ownTokens[target] += tokens;
    }

    /// Stops all targets but the first ones. The requests that were queued on them are lost.
    void setRunning(std::size_t targets)
    {
        for (std::size_t i = targets; i < m_running; ++i) {
            for (Node &node : m_nodes)
                node.ownTokens[i] = 0;
        }
        m_running = targets;
    }

    void advanceOneMs()
    {
        for (std::size_t i = 0; i < m_running; ++i)
            read(i);
        m_clock.advance(1ms);
        ++m_ms;
        for (std::size_t i = 0; i < nodeCount; ++i) {
            if ((m_ms + static_cast<int>(i)) % digestPeriodMs == 0)
                sendDigests(i);
            if ((m_ms + static_cast<int>(i)) % updatePeriodMs == 0)
                m_nodes[i].shares.update(configuredCapacity, m_clock.now());
        }
    }

    std::map<WorkspaceKey, double> requestedTokens;
    std::map<WorkspaceKey, double> admittedTokens;

private:
    struct Node
    {
        WorkspaceShares shares;
        std::vector<double> ownTokens; ///< Queued tokens of its own requests, by target.
        std::vector<std::vector<double>> remoteTokens; ///< The same, reported by other nodes.
        std::vector<double> remoteTokenSum;

        double knownTokens(std::size_t target) const
        {
            return ownTokens[target] + remoteTokenSum[target];
        }
    };

    void read(std::size_t target)
    {
        double queued = 0;
        for (const Node &node : m_nodes)
            queued += node.ownTokens[target];
        const double left = queued > tokensPerMs ? 1 - tokensPerMs / queued : 0;
        for (Node &node : m_nodes)
            node.ownTokens[target] *= left;
    }

    void sendDigests(std::size_t sender)
    {
        const Node &from = m_nodes[sender];
        const TimePoint now = m_clock.now();
        const auto turn = static_cast<std::size_t>(m_ms / digestPeriodMs);
        for (std::size_t i = 0; i < nodeCount; ++i) {
            if (i == sender || (i + sender + turn) % periodsPerRound != 0)
                continue;
            Node &node = m_nodes[i];
            node.shares.onDigest(NodeId("n" + std::to_string(sender)),
                                 {from.shares.ownFlows(now), from.shares.servedPerSecond(now),
                                  from.shares.rejectedPerSecond(now), 1,
                                  from.shares.missedPerSecond(now)},
                                 now);
            for (std::size_t target = 0; target < targetCount; ++target)
                node.remoteTokenSum[target]
                    += from.ownTokens[target] - node.remoteTokens[sender][target];
            node.remoteTokens[sender] = from.ownTokens;
        }
    }

    ManualClock m_clock;
    std::vector<Node> m_nodes;
    RandomEngine m_random {7};
    std::size_t m_running = targetCount;
    int m_ms = 0;
};

/// Measures what workspaces received and requested since its construction.
class Window
{
public:
    explicit Window(const ModelFleet &fleet)
        : m_requestedBefore(fleet.requestedTokens)
        , m_admittedBefore(fleet.admittedTokens)
    {
    }

    /// Expects each workspace to get at least half of what it requested, or half of what the best
    /// served one got.
    void expectFairShares(const ModelFleet &fleet)
    {
        double most = 0;
        for (const auto &[workspace, tokens] : fleet.admittedTokens)
            most = std::max(most, tokens - m_admittedBefore[workspace]);
        for (const auto &[workspace, tokens] : fleet.admittedTokens) {
            const double admittedTokens = tokens - m_admittedBefore[workspace];
            const double requestedTokens
                = fleet.requestedTokens.at(workspace) - m_requestedBefore[workspace];
            EXPECT_GE(admittedTokens, std::min(requestedTokens, most) / 2)
                << "workspace " << workspace << " requested " << requestedTokens
                << ", the best got " << most;
        }
    }

private:
    std::map<WorkspaceKey, double> m_requestedBefore;
    std::map<WorkspaceKey, double> m_admittedBefore;
};

/// Checks the last six seconds, once a second.
class WindowPerSecond
{
public:
    void next(const ModelFleet &fleet)
    {
        m_windows.emplace_back(fleet);
        if (m_windows.size() <= seconds)
            return;
        m_windows.front().expectFairShares(fleet);
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

/// Sends the usual load without the flood, twice what the targets can read.
void sendUsualRequests(ModelFleet &fleet, int ms)
{
    if (ms % 5 == 0) {
        for (WorkspaceKey i = 0; i < 3; ++i)
            fleet.sendRequest(firstLarge + i, i, i);
    }
    if (ms % 40 == 0) {
        for (WorkspaceKey i = 0; i < 10; ++i)
            fleet.sendRequest(firstSmall + i, 10 + 2 * i, 11 + 2 * i);
    }
}

} // namespace

// Guards against a flood at all nodes getting several times what others get, while small workspaces
// find the targets full.
TEST(WorkspaceSharesFleet, FloodAtAllNodesLeavesOthersTheirShares)
{
    ModelFleet fleet;
    for (int ms = 0; ms < 8000; ++ms) {
        fleet.sendRequest(flood, 0, nodeCount - 1);
        sendUsualRequests(fleet, ms);
        fleet.advanceOneMs();
    }
    Window window(fleet);
    for (int ms = 0; ms < 6000; ++ms) {
        fleet.sendRequest(flood, 0, nodeCount - 1);
        sendUsualRequests(fleet, ms);
        fleet.advanceOneMs();
    }
    window.expectFairShares(fleet);
}

// Guards against a flood that starts at all nodes at once and takes the capacity of several seconds
// before the nodes have received each other's demand.
TEST(WorkspaceSharesFleet, SuddenFloodAtAllNodesLeavesOthersTheirShares)
{
    ModelFleet fleet;
    for (int ms = 0; ms < 8000; ++ms) {
        if (ms % 50 == 0)
            fleet.sendRequest(flood, 0, nodeCount - 1); // Its usual load.
        sendUsualRequests(fleet, ms);
        fleet.advanceOneMs();
    }
    Window window(fleet);
    for (int ms = 0; ms < 6000; ++ms) {
        fleet.sendRequest(flood, 0, nodeCount - 1);
        fleet.sendRequest(flood, 0, nodeCount - 1);
        sendUsualRequests(fleet, ms);
        fleet.advanceOneMs();
    }
    window.expectFairShares(fleet);
}

// Guards against workspaces that request less than their share and find the queues full of the
// requests of floods, which take each place that becomes free because they send more requests.
TEST(WorkspaceSharesFleet, FloodsLeaveRoomForSmallWorkspacesWhileTargetsFail)
{
    ModelFleet fleet;
    const auto play = [&](int ms) {
        for (int i = 0; i < ms; ++i) {
            for (WorkspaceKey each = firstLarge; each < firstSmall; ++each) {
                fleet.sendRequest(each, each, each);
                fleet.sendRequest(each, each, each);
            }
            if (i % 40 == 0) {
                for (WorkspaceKey each = 0; each < 3; ++each)
                    fleet.sendRequest(firstSmall + each, 10 + 2 * each, 11 + 2 * each);
            }
            fleet.advanceOneMs();
        }
    };
    play(6000);
    fleet.setRunning(targetCount / 2);
    const auto requestedBefore = fleet.requestedTokens;
    const auto admittedBefore = fleet.admittedTokens;
    play(6000);
    for (WorkspaceKey each = firstSmall; each < firstSmall + 3; ++each) {
        const double requested = fleet.requestedTokens[each] - requestedBefore.at(each);
        const double admitted = fleet.admittedTokens[each] - admittedBefore.at(each);
        EXPECT_GE(admitted, requested / 2) << "workspace " << each << " requested " << requested;
    }
}

// Guards against a share that stays with the node that a workspace's callers have left, while the
// node that they have moved to rejects them as over their share.
TEST(WorkspaceSharesFleet, CallersThatMoveToAnotherNodeKeepTheirShare)
{
    ModelFleet fleet;
    constexpr int moveMs = 6000;
    const auto play = [&](int fromMs, int toMs) {
        for (int ms = fromMs; ms < toMs; ++ms) {
            // The second node sheds most requests before it reads them.
            if (ms < moveMs)
                fleet.sendRequest(flood, 40, 40);
            else if (ms % 8 == 0)
                fleet.sendRequest(flood, 41, 41);
            sendUsualRequests(fleet, ms);
            fleet.advanceOneMs();
        }
    };
    play(0, moveMs);
    Window window(fleet);
    play(moveMs, moveMs + 2000);
    window.expectFairShares(fleet);
}

// Guards against a flood at all nodes being charged at a low fair rate for what it received at a
// high one, and against one at few nodes not being charged for it.
TEST(WorkspaceSharesFleet, SharesStayFairWhileTargetsFail)
{
    ModelFleet fleet;
    WindowPerSecond windows;
    std::size_t running = targetCount;
    for (int ms = 0; ms < 18000; ++ms) {
        if (ms >= 4000) {
            fleet.sendRequest(flood, 0, nodeCount - 1);
            fleet.sendRequest(flood, 0, nodeCount - 1);
        }
        if (ms % 5 == 0)
            fleet.sendRequest(firstLarge, 0, 0);
        if (ms >= 4000 && ms % 2 == 0)
            fleet.sendRequest(secondFlood, 40, 41);
        if (ms >= 8000 && ms % 1000 == 0 && running > 15)
            fleet.setRunning(running -= 5);
        fleet.advanceOneMs();
        if (ms >= 7000 && ms % 1000 == 0)
            windows.next(fleet);
    }
}
