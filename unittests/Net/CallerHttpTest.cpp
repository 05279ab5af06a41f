#include "NodeFixture.h"

#include <boost/asio/write.hpp>

namespace berylridge::test {
namespace {

FakeCore::EventHandler rejectAll()
{
    return [](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event))
            actions.emplace_back(Refuse {arrived->handle, 429, Verdict::NotRun, "the queue is full",
                                         "queue-full", std::chrono::milliseconds(1200)});
    };
}

/// An invalid request and the status code with which it must be rejected.
struct InvalidRequestCase
{
    const char *name;
    std::string input;
    const char *status;
};

class InvalidRequestTest : public testing::TestWithParam<InvalidRequestCase>
{
};

TEST_P(InvalidRequestTest, isRejectedWithProblemDetails)
{
    FakeCore core(rejectAll());
    TestNode node(core, [](Settings &settings) {
        settings.headerLimit = 2048;
        settings.bodyLimit = 4096;
        settings.readTimeout = std::chrono::milliseconds(100);
    });
    FakeCaller bad = node.caller();
    bad.send(GetParam().input);
    const std::string response = bad.readAll();
    EXPECT_TRUE(response.starts_with(std::string("HTTP/1.1 ") + GetParam().status)) << response;
    EXPECT_NE(response.find("application/problem+json"), std::string::npos) << response;
    EXPECT_NE(response.find("\"verdict\":\"not-run\""), std::string::npos) << response;
    EXPECT_TRUE(core.receivedEvents<RequestArrived>().empty());
    FakeCaller good = node.caller();
    good.send(requestText("GET", "/v1/services/shop/x"));
    EXPECT_TRUE(good.readUntil("queue-full").starts_with("HTTP/1.1 429 "));
}

INSTANTIATE_TEST_SUITE_P(
    All, InvalidRequestTest,
    testing::Values(
        InvalidRequestCase {
            "LongHead",
            requestText("GET", "/v1/services/shop/x", "X-Long: " + std::string(4000, 'x') + "\r\n"),
            "431"},
        InvalidRequestCase {
            "LongTarget", requestText("GET", "/v1/services/shop/" + std::string(9000, 'x')), "431"},
        InvalidRequestCase {"LongBody",
                            requestText("POST", "/v1/services/shop/x", {}, std::string(5000, 'x')),
                            "413"},
        InvalidRequestCase {
            "LongChunks",
            requestText("POST", "/v1/services/shop/x", "Transfer-Encoding: chunked\r\n")
                + "2000\r\n" + std::string(8192, 'x') + "\r\n0\r\n\r\n",
            "413"},
        InvalidRequestCase {
            "BadChunking",
            requestText("POST", "/v1/services/shop/x", "Transfer-Encoding: chunked\r\n")
                + "zz\r\nabc\r\n0\r\n\r\n",
            "400"},
        InvalidRequestCase {"LengthAndChunks",
                            requestText("POST", "/v1/services/shop/x",
                                        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n")
                                + "0\r\n\r\n",
                            "400"},
        InvalidRequestCase {
            "OtherCoding",
            requestText("POST", "/v1/services/shop/x", "Transfer-Encoding: gzip, chunked\r\n")
                + "0\r\n\r\n",
            "501"},
        InvalidRequestCase {
            "TwoLengths",
            requestText("POST", "/v1/services/shop/x", "Content-Length: 3\r\nContent-Length: 4\r\n")
                + "abcd",
            "400"},
        InvalidRequestCase {"NotHttp", "\x16\x03\x01 hello\r\n\r\n", "400"},
        InvalidRequestCase {"OldVersion", "GET /v1/services/shop/x HTTP/1.0\r\n\r\n", "505"},
        InvalidRequestCase {"OtherPath", requestText("GET", "/v2/x", "Connection: close\r\n"),
                            "404"},
        InvalidRequestCase {"SlowHead", "GET /v1/services/shop/x HTTP/1.1\r\nHo", "408"},
        InvalidRequestCase {
            "SlowBody", requestText("POST", "/v1/services/shop/x", "Content-Length: 9\r\n") + "ab",
            "408"}),
    [](const auto &each) { return each.param.name; });

TEST(CallerHttpTest, issuesIdempotencyKeys)
{
    FakeCore core([](const Event &event, Actions &actions) {
        if (const auto *asked = std::get_if<KeyIssueRequested>(&event))
            actions.emplace_back(SendStoredResponse {asked->handle, 201, {}, "{\"key\":\"k1\"}\n"});
    });
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("POST", "/v1/idempotency-keys"));
    EXPECT_TRUE(caller.readUntil("}").starts_with("HTTP/1.1 201 "));
    EXPECT_EQ(core.receivedEvents<KeyIssueRequested>().at(0).credential, "key");
}

TEST(CallerHttpTest, rejectionHasRetryAfterVerdictAndRequestId)
{
    FakeCore core(rejectAll());
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", "/v1/services/shop/x", "X-Request-Id: r7\r\n"));
    const std::string response = caller.readUntil("}");
    EXPECT_NE(response.find("Retry-After: 2\r\n"), std::string::npos) << response;
    EXPECT_NE(response.find("Berylridge-Verdict: not-run\r\n"), std::string::npos) << response;
    EXPECT_NE(response.find("X-Request-Id: r7\r\n"), std::string::npos) << response;
    for (const char *part : {"\"type\":\"urn:berylridge:problem:queue-full\"", "\"status\":429",
                             "\"retryAfterMs\":1200", "\"requestId\":\"r7\""})
        EXPECT_NE(response.find(part), std::string::npos) << part << response;
}

TEST(CallerHttpTest, readsChunkedBodyAfterContinue)
{
    FakeCore core(rejectAll());
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("POST", "/v1/services/shop/x",
                            "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n"));
    EXPECT_EQ(caller.readUntil("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
    caller.take();
    caller.send("4\r\nclay\r\n0\r\n\r\n");
    EXPECT_TRUE(caller.readUntil("}").starts_with("HTTP/1.1 429 "));
    EXPECT_EQ(core.receivedEvents<RequestArrived>().at(0).bodyBytes, 4U);
}

TEST(CallerHttpTest, rejectsConnectionsAboveTheLimit)
{
    FakeCore core;
    TestNode node(core, [](Settings &settings) { settings.connectionLimit = 2; });
    FakeCaller first = node.caller();
    FakeCaller second = node.caller();
    first.send(requestText("GET", "/v1/services/shop/x"));
    second.send(requestText("GET", "/v1/services/shop/x"));
    core.waitForEvents<RequestArrived>(2);
    FakeCaller third = node.caller();
    const std::string response = third.readAll();
    EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
    EXPECT_NE(response.find("too-many-connections"), std::string::npos) << response;
}

// Guards against bytes that the system buffers for connections from which nothing is read, which
// count towards the memory of the VM.
TEST(CallerHttpTest, systemBuffersLittleForAWaitingRequest)
{
    constexpr std::size_t bodyBytes = 4 << 20;
    constexpr std::size_t bufferBound = 512 << 10;
    FakeCore core;
    TestNode node(core);
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(*asioEndpoint<tcp>(node.node().callers()));
    socket.set_option(asio::socket_base::send_buffer_size(16 << 10));
    asio::write(
        socket,
        asio::buffer(requestText("POST", "/v1/services/shop/x", {}, std::string(bodyBytes, 'x'))));
    core.waitForEvents<RequestArrived>(1);
    socket.non_blocking(true);
    const std::string piece(64 << 10, 'x');
    std::size_t sent = 0;
    // The system takes no more once this many writes in a row have failed.
    for (int failures = 0; failures < 100 && sent <= bufferBound; ++failures) {
        error_code error;
        const std::size_t size = socket.write_some(asio::buffer(piece), error);
        sent += size;
        failures = size > 0 ? 0 : failures;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    EXPECT_LE(sent, bufferBound);
}

// Guards against a rejected client that goes on sending and takes the processor for seconds.
TEST(CallerHttpTest, readsNoMoreThanABodyAfterARejection)
{
    constexpr std::size_t sentBytes = 256 << 20;
    FakeCore core(rejectAll());
    TestNode node(core, [](Settings &settings) { settings.bodyLimit = 64 << 10; });
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(*asioEndpoint<tcp>(node.node().callers()));
    const std::string bytes
        = "POST /v1/services/shop/x HTTP/1.1\r\nHost: router\r\nContent-Length: "
        + std::to_string(sentBytes) + "\r\n\r\n" + std::string(sentBytes, 'x');
    error_code error;
    EXPECT_LT(asio::write(socket, asio::buffer(bytes), error), bytes.size());
    EXPECT_TRUE(error);
}

// Guards against connections that send nothing and keep others out.
TEST(CallerHttpTest, closesTheOldestIdleConnectionAtTheLimit)
{
    FakeCore core(rejectAll());
    TestNode node(core, [](Settings &settings) {
        settings.connectionLimit = 2;
        settings.trafficThreads = 1;
    });
    FakeCaller first = node.caller();
    FakeCaller second = node.caller();
    EXPECT_TRUE(eventually([&] { return node.node().metrics().connectionsOpen == 2; }));
    FakeCaller third = node.caller();
    third.send(requestText("GET", "/v1/services/shop/x"));
    EXPECT_TRUE(third.readUntil("queue-full").starts_with("HTTP/1.1 429 "));
    EXPECT_EQ(first.readAll(), "");
    EXPECT_EQ(node.node().metrics().connectionsReclaimed, 1U);
    second.send(requestText("GET", "/v1/services/shop/x"));
    EXPECT_TRUE(second.readUntil("queue-full").starts_with("HTTP/1.1 429 "));
}

TEST(CallerHttpTest, closesConnectionsNearTheConnectionLimit)
{
    // Guards against a node that runs out of file descriptors for targets and other callers:
    // rejected callers open new connections and leave the old ones idle. Near the connection limit,
    // each response must close its connection.
    FakeCore core(rejectAll());
    TestNode node(core, [](Settings &settings) {
        settings.descriptorLimit
            = 10; // Six remain for callers; responses on the last two close their connections.
    });
    FakeCaller first = node.caller();
    FakeCaller second = node.caller();
    const FakeCaller third = node.caller();
    EXPECT_TRUE(eventually([&] { return node.node().metrics().connectionsOpen == 3; }));
    first.send(requestText("GET", "/v1/services/shop/x"));
    EXPECT_EQ(first.readUntil("\r\n\r\n").find("Connection: close"), std::string::npos);
    const FakeCaller fourth = node.caller();
    EXPECT_TRUE(eventually([&] { return node.node().metrics().connectionsOpen == 4; }));
    second.send(requestText("GET", "/v1/services/shop/x"));
    const std::string response = second.readAll();
    EXPECT_NE(response.find("Connection: close"), std::string::npos) << response;
}

TEST(CallerHttpTest, detectsCallerDisconnectWhileWaiting)
{
    FakeCore core;
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", "/v1/services/shop/x"));
    const auto arrived = core.waitForEvents<RequestArrived>(1);
    caller.close();
    EXPECT_EQ(core.waitForEvents<CallerGone>(1)[0].handle, arrived[0].handle);
    EXPECT_TRUE(eventually([&] { return node.node().metrics().connectionsOpen == 0; }));
}

TEST(CallerHttpTest, reportsDispatchForDisconnectedCallerAsNotSent)
{
    // Guards against a slot that is never freed: the caller disconnects while the core dispatches
    // its request. The command finds no request, and the thread must report that nothing was sent.
    FakeCore core([](const Event &event, Actions &actions) {
        if (const auto *disconnected = std::get_if<CallerGone>(&event))
            actions.emplace_back(makeDispatch(disconnected->handle, closedPort()));
    });
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", "/v1/services/shop/x"));
    core.waitForEvents<RequestArrived>(1);
    caller.close();
    EXPECT_FALSE(core.waitForEvents<AttemptFailed>(1)[0].sentAny);
}

TEST(CallerHttpTest, limitsBufferedPipelinedRequests)
{
    // Guards against unbounded memory use by a caller that sends megabytes of pipelined requests
    // while its first request waits. The router buffers at most one head's size and stops reading.
    FakeCore core;
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", "/v1/services/shop/x"));
    core.waitForEvents<RequestArrived>(1);
    std::thread flood([&] {
        const std::string more = requestText("GET", "/v1/services/shop/y");
        std::string all;
        while (all.size() < (32U << 20))
            all += more;
        caller.send(all);
    });
    node.node().post(TimerDue {});
    EXPECT_TRUE(eventually([&] { return core.receivedEvents<TimerDue>().size() >= 2; }));
    EXPECT_EQ(core.receivedEvents<RequestArrived>().size(), 1U);
    node.node().stop();
    caller.shutdown();
    flood.join();
}

TEST(CallerHttpTest, writesPendingResponsesBeforeStopping)
{
    FakeCore core([](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
            actions.emplace_back(
                SendStoredResponse {arrived->handle, 200, {}, std::string(1 << 20, 'x')});
            actions.emplace_back(Stopped {});
        }
    });
    LogSink log(LogLevel::Info, [](LogLevel, const std::string &) {});
    Settings settings;
    settings.node = NodeId("a1");
    settings.callers = settings.peers = settings.admin = {"127.0.0.1", 0};
    settings.fleetKey = TestNode::fleetKey;
    auto node = RouterNodeBuilder(settings, 7, log).core(CoreHandle::of(core)).build();
    ASSERT_TRUE(node) << node.failureReason();
    std::thread control([&] { (*node)->run(); });
    FakeCaller caller((*node)->callers());
    caller.send(requestText("GET", "/v1/services/shop/x"));
    const std::string response = caller.readAll();
    control.join();
    EXPECT_EQ(response.size() - response.find("\r\n\r\n") - 4, std::size_t {1 << 20});
}

} // namespace
} // namespace berylridge::test
