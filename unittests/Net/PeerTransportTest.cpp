#include "NodeFixture.h"

#include "berylridge/Net/Datagram.h"

namespace berylridge::test {
namespace {

PeerMessage makeHeartbeat(std::uint64_t sequence)
{
    Heartbeat beat;
    beat.sequence = sequence;
    return FleetMessage(beat);
}

PeerMessage largeMessage(std::size_t bytes)
{
    DocumentsReply reply;
    reply.documents.push_back({"service/shop", 3, std::string(bytes, 'x')});
    return FleetMessage(reply);
}

/// Returns a handler that sends the messages to the endpoint at each PlatformReachability.
FakeCore::EventHandler sendOnPlatformReachability(std::vector<PeerMessage> messages,
                                                  const Endpoint &to)
{
    return [messages = std::move(messages), to](const Event &event, Actions &actions) {
        if (std::get_if<PlatformReachability>(&event) == nullptr)
            return;
        for (const PeerMessage &message : messages)
            actions.emplace_back(SendToNode {NodeId("b1"), to, message});
    };
}

void sendRaw(const Endpoint &to, const std::string &bytes)
{
    asio::io_context context;
    udp::socket socket(context, udp::v4());
    socket.send_to(asio::buffer(bytes), *asioEndpoint<udp>(to));
}

TEST(PeerTransportTest, batchesMessagesToOneNodeIntoOneDatagram)
{
    FakeCore receiver;
    TestNode to(receiver);
    FakeCore sender(sendOnPlatformReachability(
        {makeHeartbeat(1), makeHeartbeat(2), makeHeartbeat(3)}, to.node().peers()));
    TestNode from(sender, [](Settings &settings) { settings.node = NodeId("a2"); });
    from.node().post(PlatformReachability {true});
    const auto messages = receiver.waitForEvents<NodeMessage>(3);
    EXPECT_EQ(messages[2].from, NodeId("a2"));
    EXPECT_EQ(messages[2].incarnation, 7U);
    EXPECT_EQ(std::get<Heartbeat>(std::get<FleetMessage>(messages[2].message)).sequence, 3U);
    EXPECT_EQ(from.node().metrics().datagramsSent, 1U);
}

TEST(PeerTransportTest, sendsLargeMessagesByRpc)
{
    FakeCore receiver;
    TestNode to(receiver);
    FakeCore sender(sendOnPlatformReachability(
        {makeHeartbeat(1), largeMessage(300000), makeHeartbeat(2)}, to.node().peers()));
    TestNode from(sender);
    from.node().post(PlatformReachability {true});
    receiver.waitForEvents<NodeMessage>(3);
    std::size_t documentBytes = 0;
    for (const NodeMessage &message : receiver.receivedEvents<NodeMessage>()) {
        const auto &fleet = std::get<FleetMessage>(message.message);
        if (const auto *reply = std::get_if<DocumentsReply>(&fleet))
            documentBytes = reply->documents.at(0).text.size();
    }
    EXPECT_EQ(documentBytes, 300000U);
    EXPECT_EQ(from.node().metrics().callsSent, 1U);
    EXPECT_EQ(to.node().metrics().callsReceived, 1U);
}

// Guards against a repeated large message being delivered in place of another one.
TEST(PeerTransportTest, alternatingLargeMessagesArriveWhole)
{
    constexpr std::size_t rounds = 3;
    FakeCore receiver;
    TestNode to(receiver);
    std::vector<PeerMessage> messages;
    for (std::size_t i = 0; i < rounds; ++i) {
        for (const std::size_t bytes : {20000U, 30000U, 40000U})
            messages.push_back(largeMessage(bytes));
    }
    FakeCore sender(sendOnPlatformReachability(messages, to.node().peers()));
    TestNode from(sender);
    from.node().post(PlatformReachability {true});
    std::map<std::size_t, std::size_t> received; // Number of messages by size.
    for (const NodeMessage &message : receiver.waitForEvents<NodeMessage>(messages.size())) {
        const auto &fleet = std::get<FleetMessage>(message.message);
        ++received[std::get<DocumentsReply>(fleet).documents.at(0).text.size()];
    }
    const std::map<std::size_t, std::size_t> expected {
        {20000, rounds}, {30000, rounds}, {40000, rounds}};
    EXPECT_EQ(received, expected);
}

TEST(PeerTransportTest, ignoresDatagramsWithWrongKey)
{
    // Guards against unauthenticated datagrams that reach the core or fill the log. A burst of
    // datagrams with a wrong key must be rejected with few log lines, not one for each.
    FakeCore core;
    TestNode node(core);
    const DatagramEncoder wrongKeyEncoder(NodeId("a2"), 9, "another key of thirty-two bytes!");
    const std::string packed = packPeerMessage(makeHeartbeat(1));
    for (int i = 0; i < 50; ++i)
        sendRaw(node.node().peers(), wrongKeyEncoder.encode(std::span(&packed, 1)));
    EXPECT_TRUE(eventually([&] { return node.node().metrics().datagramsRejected >= 50; }));
    const DatagramEncoder memberEncoder(NodeId("a2"), 9, TestNode::fleetKey);
    sendRaw(node.node().peers(), memberEncoder.encode(std::span(&packed, 1)));
    EXPECT_EQ(core.waitForEvents<NodeMessage>(1).size(), 1U);
    EXPECT_TRUE(eventually([&] { return !node.logLines().empty(); }));
    EXPECT_LE(node.logLines().size(), 10U);
    EXPECT_NE(node.logLines()[0].find(R"("event":2005,"name":"DatagramRejected","detail":")"),
              std::string::npos)
        << node.logLines()[0];
}

TEST(PeerTransportTest, probeDistinguishesClosedPortFromListeningNode)
{
    FakeCore other;
    TestNode live(other);
    const Endpoint dead = closedPort();
    FakeCore core([&](const Event &event, Actions &actions) {
        if (std::get_if<PlatformReachability>(&event) == nullptr)
            return;
        actions.emplace_back(ProbeNode {NodeId("live"), live.node().peers(), 3});
        actions.emplace_back(ProbeNode {NodeId("dead"), dead, 4});
    });
    TestNode node(core);
    node.node().post(PlatformReachability {true});
    for (const ProbeEnded &ended : core.waitForEvents<ProbeEnded>(2))
        EXPECT_EQ(ended.isRefused, ended.node == NodeId("dead"));
}

} // namespace
} // namespace berylridge::test
