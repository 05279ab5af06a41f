// Tests callers on kept connections while the catalog, the targets and the settings change.
#include "PlatformProtocol.h"
#include "StoreReader.h"

#include "NodeFixture.h"

#include "berylridge/Balancer/BalancerCore.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <csignal>
#include <gtest/gtest.h>

using namespace berylridge;
using namespace berylridge::test;

namespace {

constexpr std::size_t targetCount = 3;
constexpr int callerCount = 6;
constexpr int requestsPerCaller = 150;

/// Answers requests with a length, and requests for streams with chunks.
void serve(FakeTargetConnection &peer)
{
    const std::string head = "HTTP/1.1 200 OK\r\nReplica-Seal: x\r\n";
    for (std::string request = peer.readRequest(); !request.empty(); request = peer.readRequest()) {
        if (request.find(" /stream/") == std::string::npos) {
            peer.send(head + "Content-Length: 4\r\n\r\nclay");
            continue;
        }
        peer.send(head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < 5; ++i) {
            peer.send("7\r\ndata: \n\n"
                      "\r\n");
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        peer.send("0\r\n\r\n");
    }
}

/// A store that has no entries and holds each watch request until the reader closes it.
void serveEmptyStore(FakeTargetConnection &peer)
{
    while (peer.readRequest().find("kv-range") != std::string::npos)
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{\"as_of\":0,\"entries\":[]}");
    peer.waitForClose();
}

RouteSpec route(const char *prefix, RequestKind kind, std::uint32_t attempts)
{
    RouteSpec spec;
    spec.host = "h";
    spec.pathPrefix = prefix;
    spec.kind = static_cast<std::uint8_t>(kind);
    spec.timeoutMs = 30000;
    spec.attempts = attempts;
    spec.services = {{"s", 1}, {"other", 1}};
    return spec;
}

/// Each version has other weights, times, attempts, workspaces, services and quota.
std::shared_ptr<const Catalog> catalogOf(std::uint64_t version)
{
    Catalog catalog;
    catalog.version = version;
    catalog.routes = {route("/read/", RequestKind::Idempotent, 1 + version % 3),
                      route("/buy/", RequestKind::NonIdempotent, 1),
                      route("/stream/", RequestKind::Stream, 1)};
    for (RouteSpec &each : catalog.routes) {
        each.timeoutMs -= static_cast<std::uint32_t>(version % 5) * 1000;
        each.services[1].weight = static_cast<double>(version % 3);
    }
    if (version % 4 == 0)
        catalog.routes.erase(catalog.routes.begin() + 1);
    catalog.services.resize(version % 5 == 0 ? 1 : 2);
    catalog.services[0].name = "s";
    if (catalog.services.size() > 1)
        catalog.services[1].name = "other";
    catalog.workspaces = {{"w", {"key"}}};
    if (version % 2 == 0)
        catalog.workspaces.push_back({"v", {"key2"}});
    catalog.tokensPerSecond = version % 3 == 0 ? 0 : 1e6;
    return std::make_shared<const Catalog>(catalog);
}

class ReloadTest : public testing::Test
{
protected:
    ReloadTest()
    {
        for (std::size_t i = 0; i < targetCount; ++i)
            m_targets.push_back(std::make_unique<FakeTarget>(serve));
        const SystemClock clock;
        BalancerOptions options;
        options.node = NodeId("n1");
        options.zone = ZoneId("a");
        options.endpoint = {"127.0.0.1", 1};
        options.incarnation = 1;
        options.chartDirectory = BERYLRIDGE_SOURCE_DIR "/charts";
        auto core = BalancerCore::create(options, clock.now(), clock.wallNow());
        EXPECT_TRUE(core) << core.failureReason();
        m_core = *std::move(core);
        Settings settings;
        settings.node = options.node;
        settings.zone = options.zone;
        settings.callers = {"127.0.0.1", 0};
        settings.peers = {"127.0.0.1", 0};
        settings.admin = {"127.0.0.1", 0};
        settings.fleetKey = TestNode::fleetKey;
        settings.trafficThreads = 2;
        auto node = RouterNodeBuilder(settings, 1, m_log)
                        .core(CoreHandle::of(*m_core))
                        .protocol(WireProtocolHandle::of(m_protocol))
                        .platformReader([](bool) {})
                        .reload([this] { reload(); })
                        .handlesSignals(true)
                        .build();
        EXPECT_TRUE(node) << node.failureReason();
        m_node = *std::move(node);
        m_reader = std::make_unique<platform::StoreReader>(
            m_node->context(), m_stores[0].endpoint(),
            [this](Event event) { m_node->post(std::move(event)); }, [](const LogRecord &) {});
        m_reader->setEnabled(true);
        m_thread = std::thread([this] { m_node->run(); });
    }

    ~ReloadTest() override
    {
        m_node->stop();
        m_thread.join();
        m_reader.reset();
    }

    /// Does what berylridge-platform does on SIGHUP, with another address of the store each time.
    void reload()
    {
        m_reader->setStore(m_stores.at(++m_reloads % m_stores.size()).endpoint());
        m_node->post(SeedsChanged {{{"127.0.0.1", static_cast<std::uint16_t>(m_reloads % 3 + 1)}}});
    }

    /// Lists each target under another id and service than before.
    void listTargets(std::uint64_t revision)
    {
        DirectoryUpdate update;
        update.revision = revision;
        update.isFullSnapshot = true;
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            TargetRecord record;
            record.id = "t" + std::to_string(i) + "-" + std::to_string(revision);
            record.revision = revision;
            record.service = (i + revision) % m_targets.size() == 0 ? "other" : "s";
            record.address = m_targets[i]->endpoint().address;
            record.port = m_targets[i]->endpoint().port;
            record.zone = "a";
            record.slots = 100;
            record.softwareVersion = "v1";
            update.targets.push_back(record);
        }
        m_node->post(DirectoryArrived {update});
    }

    /// Sends requests one after the other. Connects anew only where an answer announces that its
    /// connection closes.
    void call(int caller)
    {
        asio::io_context context;
        std::optional<tcp::socket> socket;
        beast::flat_buffer buffer;
        const std::array paths {"/read/", "/buy/", "/stream/"};
        for (int i = 0; i < requestsPerCaller; ++i) {
            if (!socket) {
                socket.emplace(context);
                socket->connect(*asioEndpoint<tcp>(m_node->callers()));
                const timeval limit {testTimeout.count(), 0};
                ::setsockopt(socket->native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
                             sizeof(limit));
            }
            const std::string id = std::to_string(caller) + "-" + std::to_string(i);
            StringRequest request(http::verb::post, paths.at(i % 3) + id, 11);
            request.set(http::field::host, "h");
            request.set("Request-Id", id);
            request.set(http::field::authorization, i % 7 == 0 ? "Bearer key2" : "Bearer key");
            request.body() = "clay";
            request.prepare_payload();
            error_code error;
            http::write(*socket, request, error);
            StringResponse response;
            if (!error)
                http::read(*socket, buffer, response, error);
            if (error) {
                ++m_unanswered;
                ADD_FAILURE() << "request " << id << " got no whole answer: " << error.message();
                socket.reset();
                buffer.clear();
                continue;
            }
            EXPECT_EQ(response["Request-Id"], id);
            m_successes += response.result_int() == 200 ? 1 : 0;
            ++m_answers;
            if (!response.keep_alive())
                socket.reset();
        }
        --m_callersLeft;
    }

    std::vector<std::unique_ptr<FakeTarget>> m_targets;
    std::array<FakeTarget, 2> m_stores {FakeTarget(serveEmptyStore), FakeTarget(serveEmptyStore)};
    const platform::PlatformProtocol m_protocol {};
    LogSink m_log {LogLevel::Error, [](LogLevel, const std::string &) {}};
    std::unique_ptr<BalancerCore> m_core;
    std::unique_ptr<RouterNode> m_node;
    std::unique_ptr<platform::StoreReader> m_reader;
    std::thread m_thread;
    unsigned m_reloads = 0;
    std::atomic<int> m_answers {0};
    std::atomic<int> m_successes {0};
    std::atomic<int> m_unanswered {0};
    std::atomic<int> m_callersLeft {callerCount};
};

} // namespace

// Guards against a request on a kept connection that gets neither an answer nor a refusal, as the
// catalog or the settings change beside it.
TEST_F(ReloadTest, EachRequestBesideChangesIsAnswered)
{
    std::uint64_t version = 1;
    m_node->post(CatalogArrived {catalogOf(version)});
    listTargets(version);
    std::vector<std::thread> callers;
    callers.reserve(callerCount);
    for (int i = 0; i < callerCount; ++i)
        callers.emplace_back([this, i] { call(i); });
    while (m_callersLeft > 0) {
        ++version;
        m_node->post(CatalogArrived {catalogOf(version)});
        if (version % 3 == 0)
            listTargets(version);
        if (version % 4 == 0)
            std::raise(SIGHUP);
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    for (std::thread &caller : callers)
        caller.join();
    EXPECT_EQ(m_answers, callerCount * requestsPerCaller);
    EXPECT_GT(m_successes, 0);
    EXPECT_GT(m_reloads, 0U);
    RecordProperty("successes", m_successes);
    RecordProperty("versions", static_cast<int>(version));
    RecordProperty("reloads", static_cast<int>(m_reloads));
}
