// Runs a node with the balancer core over real sockets in front of targets that are silent for a
// while in the middle of their responses.
#include "NodeFixture.h"
#include "PlatformProtocol.h"

#include "berylridge/Balancer/BalancerCore.h"

using namespace berylridge;
using namespace berylridge::test;

namespace {

/// Sound targets may be silent for about a second.
constexpr std::chrono::milliseconds silence {1200};

std::string event(int id)
{
    return "1f\r\nid: " + std::to_string(id) + "\ndata: glaze and clay 00\n\n\r\n";
}

std::string responseHead(const FakeTargetConnection &peer, const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\nReplica-Seal: s\r\nRequest-Id: " + peer.field("Request-Id") + "\r\n"
        + fields + "\r\n";
}

class SilentTargetTest : public testing::Test
{
protected:
    static constexpr std::size_t targetCount = 3;

    SilentTargetTest()
    {
        BalancerOptions options;
        options.node = NodeId("n1");
        options.zone = ZoneId("a");
        options.incarnation = 5;
        options.chartDirectory = BERYLRIDGE_SOURCE_DIR "/charts";
        auto created = BalancerCore::create(options, m_clock.now(), m_clock.wallNow());
        m_balancer = *std::move(created);
    }

    /// Starts the node, for which several targets are listed that share one address and the script.
    void start(FakeTarget::Script script)
    {
        m_target = std::make_unique<FakeTarget>(std::move(script));
        m_node = std::make_unique<TestNode>(m_core, std::function<void(Settings &)>(), RpcHandler(),
                                            WireProtocolHandle::of(m_protocol));
        Catalog catalog;
        catalog.version = 1;
        catalog.routes
            = {route("/stream/", RequestKind::Stream), route("/read/", RequestKind::Idempotent)};
        catalog.services = {{"s", 0, 0, 0, false, 128, 0}};
        m_node->node().post(CatalogArrived {std::make_shared<const Catalog>(catalog)});
        DirectoryUpdate update;
        update.revision = 1;
        update.isFullSnapshot = true;
        for (std::size_t i = 0; i < targetCount; ++i) {
            TargetRecord record;
            record.id = "t" + std::to_string(i);
            record.revision = 1;
            record.service = "s";
            record.address = m_target->endpoint().address;
            record.port = m_target->endpoint().port;
            record.zone = "a";
            record.slots = 128;
            record.startedAtMs = 1;
            record.softwareVersion = "v1";
            update.targets.push_back(record);
        }
        m_node->node().post(DirectoryArrived {update});
        EXPECT_EQ(m_core.waitForEvents<DirectoryArrived>(1).size(), 1U);
    }

    std::unique_ptr<FakeCaller> send(const std::string &path, int id) const
    {
        auto caller = std::make_unique<FakeCaller>(m_node->node().callers());
        caller->send("POST " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nRequest-Id: r"
                     + std::to_string(id) + "\r\nDeadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n");
        return caller;
    }

    std::size_t failedAttempts() const { return m_core.receivedEvents<AttemptFailed>().size(); }

private:
    static RouteSpec route(const char *prefix, RequestKind kind)
    {
        RouteSpec spec;
        spec.host = "h";
        spec.pathPrefix = prefix;
        spec.kind = static_cast<std::uint8_t>(kind);
        spec.latencyTargetMs = 10000;
        spec.attempts = 2;
        spec.isResumable = kind == RequestKind::Stream;
        spec.services = {{"s", 1}};
        return spec;
    }

    std::unique_ptr<FakeTarget> m_target;
    SystemClock m_clock;
    std::unique_ptr<BalancerCore> m_balancer;
    platform::PlatformProtocol m_protocol;
    FakeCore m_core {[this](const Event &event, Actions &actions) {
        m_balancer->handle(event, m_clock.now(), m_clock.wallNow(), actions);
    }};
    std::unique_ptr<TestNode> m_node;
};

} // namespace

// Guards against connections that are closed although the rest of the response was on its way.
TEST_F(SilentTargetTest, NoStreamOfATargetThatIsSilentForASecondIsCut)
{
    start([](FakeTargetConnection &peer) {
        while (!peer.readRequest().empty()) {
            peer.send(responseHead(
                peer, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
            if (peer.field("Last-Event-Id").empty()) {
                peer.send(event(1));
                std::this_thread::sleep_for(silence);
            }
            peer.send(event(2) + "0\r\n\r\n");
        }
    });
    constexpr int streams = 60;
    std::vector<std::unique_ptr<FakeCaller>> callers;
    callers.reserve(streams);
    for (int i = 0; i < streams; ++i)
        callers.push_back(send("/stream/1", i));
    int whole = 0;
    for (const auto &caller : callers)
        whole += caller->readAll().ends_with(event(2) + "0\r\n\r\n") ? 1 : 0;
    EXPECT_EQ(whole, streams);
}

// Guards against the same for a response that can't continue at another target.
TEST_F(SilentTargetTest, AResponseThatIsNoStreamIsNotCut)
{
    const std::string half(100000, 'x');
    start([&](FakeTargetConnection &peer) {
        while (!peer.readRequest().empty()) {
            peer.send(responseHead(peer, "Content-Length: 200000\r\n") + half);
            std::this_thread::sleep_for(silence);
            peer.send(half);
        }
    });
    const auto caller = send("/read/1", 1);
    EXPECT_TRUE(caller->readAll().ends_with(half + half));
}

// Guards against a refusal while the response could still begin in time.
TEST_F(SilentTargetTest, NoRequestIsGivenUpBeforeItsFirstByte)
{
    start([](FakeTargetConnection &peer) {
        while (!peer.readRequest().empty()) {
            std::this_thread::sleep_for(2 * silence);
            peer.send(responseHead(peer, "Content-Length: 4\r\n") + "clay");
        }
    });
    constexpr int requests = 60;
    std::vector<std::unique_ptr<FakeCaller>> callers;
    callers.reserve(requests);
    for (int i = 0; i < requests; ++i)
        callers.push_back(send("/read/1", i));
    int answered = 0;
    for (const auto &caller : callers)
        answered += caller->readAll().ends_with("clay") ? 1 : 0;
    EXPECT_EQ(answered, requests);
}

// Guards against targets that are blamed for a response that another one broke off and that none of
// them can continue.
TEST_F(SilentTargetTest, BrokenResponseThatIsNoStreamIsNotOfferedToOtherTargets)
{
    start([](FakeTargetConnection &peer) {
        if (!peer.readRequest().empty())
            peer.send(responseHead(peer, "Content-Length: 200000\r\n") + std::string(100000, 'x'));
    });
    send("/read/1", 1)->readAll();
    EXPECT_EQ(failedAttempts(), 1U);
}
