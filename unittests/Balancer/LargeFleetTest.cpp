// Tests that what the nodes of a fleet know of each other stays as fresh when the fleet grows.
#include "SimulatedFleet.h"

#include "berylridge/Fleet/PeerTable.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

/// For targets that one request of each node does not fill.
constexpr std::uint32_t unlimitedSlots = 100000;
/// Number of nodes that send a request after the long prompt; together they send fewer tokens.
constexpr std::size_t sampledNodes = 30;

struct FleetSize
{
    std::size_t zones = 0;
    std::size_t nodesPerZone = 0;
};

class LargeFleetTest : public testing::TestWithParam<FleetSize>
{
protected:
    using Node = test::SimulatedFleet::Node;

    LargeFleetTest()
        : fleet(GetParam().zones, GetParam().nodesPerZone)
    {
        Catalog catalog;
        catalog.version = 1;
        RouteSpec route;
        route.host = "h";
        route.pathPrefix = "/";
        route.kind = static_cast<std::uint8_t>(RequestKind::Idempotent);
        route.timeoutMs = 4000;
        route.latencyTargetMs = 1000;
        route.attempts = 2;
        route.services = {{"s", 1}};
        catalog.routes = {route};
        catalog.services = {{"s", 100, 3000, 0, false, 6, 0}};
        catalog.workspaces = {{"potters", {"key"}}};
        catalogArrived = {std::make_shared<const Catalog>(catalog)};
        catalog.services.front().isEngine = true;
        engineCatalogArrived = {std::make_shared<const Catalog>(catalog)};
    }

    static TargetRecord target(const std::string &id, std::uint32_t slots = 6)
    {
        TargetRecord record;
        record.id = id;
        record.revision = 1;
        record.service = "s";
        record.address = "10.100.0.1";
        record.port = 80;
        record.zone = "z0";
        record.slots = slots;
        return record;
    }

    void installState(Node &node, std::uint64_t revision, std::vector<TargetRecord> targets)
    {
        fleet.handle(node, isEngine ? engineCatalogArrived : catalogArrived);
        DirectoryUpdate update;
        update.revision = revision;
        update.isFullSnapshot = true;
        update.targets = std::move(targets);
        fleet.handle(node, DirectoryArrived {update});
    }

    /// Returns the target to which the node sends a new request.
    std::string targetOfRequest(Node &node, std::uint32_t promptTokens = 0)
    {
        RequestArrived request;
        request.handle = ++lastHandle;
        request.requestId = "r" + std::to_string(lastHandle);
        request.host = "h";
        request.path = "/";
        request.credential = "key";
        request.deadline = 4s;
        if (promptTokens > 0)
            request.prompt = Prompt {"m", {{lastHandle, promptTokens}}, promptTokens, 100};
        fleet.handle(node, request);
        for (const Action &action : node.actions) {
            if (const auto *dispatch = std::get_if<Dispatch>(&action))
                return dispatch->target.str();
        }
        return {};
    }

    test::SimulatedFleet fleet;
    CatalogArrived catalogArrived;
    CatalogArrived engineCatalogArrived;
    bool isEngine = false; ///< Whether the targets are model engines.
    RequestHandle lastHandle = 0;
};

} // namespace

// The nodes of a large fleet send requests to a target that was idle when they last heard of it,
// although another node has filled it since.
TEST_P(LargeFleetTest, EachNodeSoonLearnsOfALoad)
{
    fleet.start();
    for (Node &node : fleet.nodes())
        installState(node, 1, {target("t1")});
    fleet.advance(4s);
    constexpr int requestsAtOneNode = 30;
    for (int i = 0; i < requestsAtOneNode; ++i)
        ASSERT_EQ(targetOfRequest(fleet.nodes().front()), "t1");
    // A digest reaches each node of its zone within three periods. A summary reaches each node of
    // the other zones within two turns of up to four periods.
    fleet.advance(GetParam().nodesPerZone > PeerTable::fanOut ? 1200ms : 200ms);
    TargetRecord idle = target("t2", unlimitedSlots);
    idle.revision = 2;
    std::size_t sentToLoadedTarget = 0;
    for (Node &node : fleet.nodes()) {
        installState(node, 2, {target("t1"), idle});
        sentToLoadedTarget += targetOfRequest(node) == "t1" ? 1 : 0;
    }
    EXPECT_EQ(sentToLoadedTarget, 0U);
}

// A long prompt keeps a target busy for less time than a digest takes to arrive. Nodes that learn
// of it only then send the next requests behind it, and these start late.
TEST_P(LargeFleetTest, ALongPromptIsKnownAtOnce)
{
    isEngine = true;
    fleet.start();
    for (Node &node : fleet.nodes())
        installState(node, 1, {target("t1", unlimitedSlots), target("t2", unlimitedSlots)});
    fleet.advance(4s);
    const std::string busy = targetOfRequest(fleet.nodes().front(), 40000);
    if (fleet.nodes().size() <= PeerTable::fanOut)
        fleet.advance(100ms); // The next digest reaches all nodes of a small fleet.
    std::size_t sentToBusyTarget = 0;
    const std::size_t step = std::max<std::size_t>(fleet.nodes().size() / sampledNodes, 1);
    for (std::size_t i = 1; i < fleet.nodes().size(); i += step) {
        sentToBusyTarget += targetOfRequest(fleet.nodes()[i], 500) == busy ? 1 : 0;
        fleet.advance(1ms);
    }
    EXPECT_EQ(sentToBusyTarget, 0U);
}

// A digest to each other node would cost each node more, the larger the fleet is.
TEST_P(LargeFleetTest, MessagesOfANodeAreBounded)
{
    fleet.start();
    for (Node &node : fleet.nodes())
        installState(node, 1, {target("t1")});
    fleet.advance(2s);
    for (Node &node : fleet.nodes())
        node.messagesSent = 0;
    fleet.advance(1s);
    // A summary consists of three messages and goes to a quarter of the zones in a period.
    const std::size_t remoteReceivers = std::max<std::size_t>(2, (GetParam().zones + 2) / 4);
    const std::size_t maxMessages = 10 * (PeerTable::fanOut + 3 * remoteReceivers + 1);
    for (const Node &node : fleet.nodes())
        EXPECT_LE(node.messagesSent, maxMessages);
}

// All nodes were killed and start at once. If each read the platform's state, the platform would
// get thousands of calls; if they waited for each other, callers would be rejected for seconds.
TEST_P(LargeFleetTest, FewNodesOfAStartingFleetReadThePlatform)
{
    fleet.start();
    for (int i = 0; i < 25; ++i) {
        for (Node &node : fleet.nodes()) {
            if (node.isReadingPlatform && i % 5 == 0)
                installState(node, static_cast<std::uint64_t>(i) + 1,
                             {target("t1", unlimitedSlots)});
        }
        fleet.advance(100ms);
        if (i == 5) {
            for (Node &node : fleet.nodes())
                EXPECT_EQ(targetOfRequest(node), "t1") << "the node knows no target after 0.6 s";
        }
    }
    std::size_t reads = 0;
    for (const Node &node : fleet.nodes())
        reads += node.platformReads;
    constexpr std::size_t seeds = 3;
    constexpr std::size_t readersPerZone = 2;
    EXPECT_LE(reads, seeds + readersPerZone * GetParam().zones);
}

INSTANTIATE_TEST_SUITE_P(Sizes, LargeFleetTest,
                         testing::Values(FleetSize {3, 3}, FleetSize {3, 24}, FleetSize {5, 39},
                                         FleetSize {27, 31}),
                         [](const testing::TestParamInfo<FleetSize> &size) {
                             return std::to_string(size.param.zones * size.param.nodesPerZone)
                                 + "Nodes";
                         });
