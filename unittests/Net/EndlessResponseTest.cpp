// Tests that bytes without end neither end the process nor grow its memory, and fail what waits for
// them.
#include "NodeFixture.h"

#include "berylridge/Net/HttpClient.h"

#include <atomic>

namespace berylridge::test {
namespace {

constexpr const char *path = "/v1/services/shop/orders";
constexpr const char *okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
constexpr const char *chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Above all limits, with what the operating system buffers.
constexpr std::size_t endlessBytes = 64 << 20;
constexpr std::size_t pieceBytes = 16 << 10;

std::string repeated(std::string_view text, std::size_t bytes = pieceBytes)
{
    std::string all;
    while (all.size() < bytes)
        all += text;
    return all;
}

/// Sends the piece again and again. Returns whether the router closed the connection.
bool sendWithoutEnd(FakeTargetConnection &peer, const std::string &piece)
{
    for (std::size_t sent = 0; sent < endlessBytes; sent += piece.size())
        if (!peer.send(piece))
            return true;
    return false;
}

/// The native protocol, where status 500 is a target's error and a field marks late responses.
WireProtocolHandle protocolWithErrors()
{
    WireProtocolHandle protocol = nativeProtocol();
    protocol.readResponseHead = [](const ResponseHead &head, const AttemptIds &) {
        ResponseInfo info;
        info.isForThisRequest = head.count("X-Test-Late") == 0;
        if (head.result_int() == 500)
            info.failure = AttemptFailure::TargetError;
        return info;
    };
    return protocol;
}

class EndlessResponseTest : public testing::Test
{
protected:
    /// Serves a request with a target that sends the start, and then the piece without end. With
    /// isReused, another request was served on the target's connection before.
    void serve(const std::string &start, const std::string &piece, bool isReused = false)
    {
        std::atomic<bool> isFirst {true};
        std::atomic<bool> isClosed {false};
        FakeTarget target([&](FakeTargetConnection &peer) {
            if (!isFirst.exchange(false)) {
                while (!peer.readRequest().empty())
                    peer.send(okResponse);
                return;
            }
            if (isReused) {
                peer.readRequest();
                peer.send(okResponse);
            }
            peer.readRequest();
            peer.send(start);
            isClosed = sendWithoutEnd(peer, piece);
        });
        FakeCore core(forwardTo(target.endpoint(), true));
        {
            TestNode node(core, {}, {}, protocolWithErrors());
            FakeCaller caller = node.caller();
            if (isReused) {
                caller.send(requestText("GET", path));
                caller.readUntil("whole");
                caller.take();
            }
            caller.send(requestText("GET", path, "Connection: close\r\n"));
            response = caller.readAll();
            failed = core.waitForEvents<AttemptFailed>(1);
            FakeCaller next = node.caller();
            next.send(requestText("GET", path));
            EXPECT_TRUE(next.readUntil("whole").starts_with("HTTP/1.1 200 "));
        }
        isClosedByRouter = isClosed;
    }

    void expectFailure(AttemptFailure failure)
    {
        ASSERT_EQ(failed.size(), 1U);
        EXPECT_EQ(failed[0].failure, failure);
        EXPECT_TRUE(failed[0].sentAny);
        EXPECT_TRUE(isClosedByRouter);
    }

    std::string response;
    std::vector<AttemptFailed> failed;
    bool isClosedByRouter = false;
};

} // namespace

// Guards against a target whose chunk head has no end and ends the process.
TEST_F(EndlessResponseTest, ChunkHeadWithoutEndFailsTheAttempt)
{
    serve(std::string(chunkedHead) + "4;a=", repeated("x"));
    expectFailure(AttemptFailure::InvalidResponse);
}

// Guards against a target whose trailer has no end and ends the process.
TEST_F(EndlessResponseTest, TrailerWithoutEndFailsTheAttempt)
{
    serve(std::string(chunkedHead) + "0\r\n", repeated("X-A: b\r\n"));
    expectFailure(AttemptFailure::InvalidResponse);
}

// Guards against an error whose body has no end and fills the memory, and against a request that
// isn't retried before it.
TEST_F(EndlessResponseTest, ErrorWithEndlessBodyIsReportedAndNotHeld)
{
    serve("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 1000000000\r\n\r\n",
          repeated("x"));
    expectFailure(AttemptFailure::TargetError);
    EXPECT_FALSE(failed[0].hasHeldResponse);
    EXPECT_FALSE(failed[0].answerBegun);
}

// Guards against a late response without end that keeps the next request on its connection waiting.
TEST_F(EndlessResponseTest, LateResponseWithEndlessBodyFailsTheAttempt)
{
    serve("HTTP/1.1 200 OK\r\nX-Test-Late: 1\r\nContent-Length: 1000000000\r\n\r\n", repeated("x"),
          true);
    expectFailure(AttemptFailure::InvalidResponse);
}

// Guards against late responses without end that keep the next request on their connection waiting.
TEST_F(EndlessResponseTest, LateResponsesWithoutEndFailTheAttempt)
{
    serve({}, repeated("HTTP/1.1 200 OK\r\nX-Test-Late: 1\r\nContent-Length: 0\r\n\r\n"), true);
    expectFailure(AttemptFailure::InvalidResponse);
}

// Guards against interim responses without end that keep a request waiting.
TEST_F(EndlessResponseTest, InterimResponsesWithoutEndFailTheAttempt)
{
    serve({}, repeated("HTTP/1.1 102 Processing\r\n\r\n"));
    expectFailure(AttemptFailure::InvalidResponse);
}

// Guards against interim responses that each start the limit for the response head anew.
TEST_F(EndlessResponseTest, InterimResponsesDoNotExtendTheLimitForTheHead)
{
    constexpr std::chrono::milliseconds limit {200};
    FakeTarget target([&](FakeTargetConnection &peer) {
        peer.readRequest();
        for (int i = 0; i < 30 && peer.send("HTTP/1.1 102 Processing\r\n\r\n"); ++i)
            std::this_thread::sleep_for(limit / 2);
    });
    FakeCore core([&](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
            Dispatch dispatch = makeDispatch(arrived->handle, target.endpoint());
            dispatch.firstByteTimeout = limit;
            actions.emplace_back(std::move(dispatch));
        }
    });
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", path));
    EXPECT_EQ(core.waitForEvents<AttemptFailed>(1)[0].failure, AttemptFailure::Timeout);
}

// Guards against blank lines without end that keep the caller of a stream waiting.
TEST_F(EndlessResponseTest, BlankLinesWithoutEndFailTheAttempt)
{
    serve("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
          "chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n",
          "4000\r\n" + repeated("\n") + "\r\n");
    expectFailure(AttemptFailure::InvalidResponse);
}

class EndlessRequestTest : public testing::Test
{
protected:
    EndlessRequestTest()
        : m_target([](FakeTargetConnection &peer) {
            while (!peer.readRequest().empty())
                peer.send(okResponse);
        })
        , m_core(forwardTo(m_target.endpoint(), true))
    {
    }

    /// Sends the bytes to a node and returns its response up to the text.
    std::string responseUntil(const std::string &text, const std::string &bytes,
                              std::uint64_t headerLimit = 16 << 10)
    {
        TestNode node(m_core, [&](Settings &settings) { settings.headerLimit = headerLimit; });
        FakeCaller caller = node.caller();
        caller.send(bytes);
        std::string response = caller.readUntil(text);
        FakeCaller next = node.caller();
        next.send(requestText("GET", path));
        EXPECT_TRUE(next.readUntil("whole").starts_with("HTTP/1.1 200 "));
        return response;
    }

private:
    FakeTarget m_target;
    FakeCore m_core;
};

// Guards against a field that is larger than the parser can store and ends the process.
TEST_F(EndlessRequestTest, HeadWithAFieldAboveTheParsersLimitIsRejected)
{
    const std::string response = responseUntil(
        "}", requestText("GET", path, "X-A: " + std::string(70'000, 'x') + "\r\n"), 1 << 20);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 431 ")) << response;
}

// Guards against a field that is larger than the parser can store and ends the process.
TEST_F(EndlessRequestTest, TrailerWithAFieldAboveTheParsersLimitIsNotStored)
{
    const std::string response
        = responseUntil("whole",
                        requestText("POST", path, "Transfer-Encoding: chunked\r\n")
                            + "4\r\nclay\r\n0\r\nX-A: " + std::string(70'000, 'x') + "\r\n\r\n");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 200 ")) << response;
}

// Guards against a chunk head of a caller's request that has no end and fills the memory.
TEST_F(EndlessRequestTest, ChunkHeadWithoutEndIsRejected)
{
    const std::string response
        = responseUntil("}",
                        requestText("POST", path, "Transfer-Encoding: chunked\r\n")
                            + "4;a=" + repeated("x", 4 << 20));
    EXPECT_TRUE(response.starts_with("HTTP/1.1 4")) << response;
}

/// Sends the bytes to the listener. Returns its response, empty if there is none.
std::string listenersResponse(const Endpoint &endpoint, const std::string &bytes)
{
    FakeCaller caller(endpoint);
    caller.send("POST /rpc HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + bytes);
    return caller.readAll();
}

// Guards against a trailer at the port for peers or operators that ends the process.
TEST(EndlessRpcTest, TrailerWithAFieldAboveTheParsersLimitClosesTheConnection)
{
    FakeCore core;
    TestNode node(core, {}, [](std::string_view, bool) { return std::string("{}"); });
    for (const Endpoint &endpoint : {node.node().peers(), node.node().admin()}) {
        const std::string request = "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: "
            + std::string(70'000, 'x') + "\r\n\r\n";
        EXPECT_EQ(listenersResponse(endpoint, request), "");
        EXPECT_TRUE(
            listenersResponse(endpoint, "Content-Length: 2\r\n\r\n{}").starts_with("HTTP/1.1 "));
    }
}

// Guards against a chunk head at the port for peers or operators that has no end and fills the
// memory.
TEST(EndlessRpcTest, ChunkHeadWithoutEndClosesTheConnection)
{
    FakeCore core;
    TestNode node(core);
    for (const Endpoint &endpoint : {node.node().peers(), node.node().admin()}) {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect(*asioEndpoint<tcp>(endpoint));
        FakeTargetConnection sender(std::move(socket));
        sender.send("POST /rpc HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4;a=");
        EXPECT_TRUE(sendWithoutEnd(sender, repeated("x")));
    }
}

/// Returns the reply to a call whose server sends the start, and then the piece without end.
HttpReply endlessReply(const std::string &start, const std::string &piece, bool &isClosedByClient)
{
    std::atomic<bool> isClosed {false};
    std::optional<HttpReply> reply;
    {
        FakeTarget server([&](FakeTargetConnection &peer) {
            peer.readRequest();
            peer.send(start);
            isClosed = sendWithoutEnd(peer, piece);
        });
        asio::io_context context;
        const auto client = std::make_shared<HttpClient>(context, server.endpoint());
        client->get("/", testTimeout, [&](HttpReply received) { reply = std::move(received); });
        context.run();
        client->close();
    }
    isClosedByClient = isClosed;
    return reply.value_or(HttpReply {});
}

// Guards against a chunk head of the platform or a target that has no end and fills the memory.
TEST(EndlessReplyTest, ChunkHeadWithoutEndFailsTheCall)
{
    bool isClosed = false;
    const HttpReply reply
        = endlessReply(std::string(chunkedHead) + "4;a=", repeated("x"), isClosed);
    EXPECT_EQ(reply.failure, AttemptFailure::InvalidResponse);
    EXPECT_TRUE(isClosed);
}

// Guards against a trailer of the platform or a target that ends the process.
TEST(EndlessReplyTest, TrailerWithAFieldAboveTheParsersLimitFailsTheCall)
{
    bool isClosed = false;
    const HttpReply reply = endlessReply(std::string(chunkedHead)
                                             + "0\r\nX-A: " + std::string(70'000, 'x') + "\r\n\r\n",
                                         repeated("x"), isClosed);
    EXPECT_EQ(reply.failure, AttemptFailure::InvalidResponse);
    EXPECT_TRUE(isClosed);
}

// Guards against a call that the JSON library can't parse or use, and that ends the process.
TEST(EndlessRpcTest, InvalidCallOfAPeerIsRejected)
{
    FakeCore core;
    TestNode node(core);
    for (const std::string &body :
         {std::string(100'000, '['), std::string(R"({"jsonrpc": {}, "method": []})"),
          std::string(R"({"jsonrpc": "2.0", "method": "deliver", "params": 3})"),
          std::string(R"({"jsonrpc": "2.0", "method": "deliver", "params": {"datagram": []}})")}) {
        const std::string head = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        EXPECT_TRUE(listenersResponse(node.node().peers(), head + body).starts_with("HTTP/1.1 "));
    }
}

// Guards against a target whose load report fills the memory.
TEST(EndlessReplyTest, LargeLoadReportFailsThePoll)
{
    std::atomic<bool> isClosed {false};
    {
        FakeTarget target([&](FakeTargetConnection &peer) {
            peer.readRequest();
            peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(endlessBytes)
                      + "\r\n\r\n");
            isClosed = sendWithoutEnd(peer, repeated("x"));
        });
        FakeCore polling([&](const Event &event, Actions &actions) {
            if (std::get_if<PlatformReachability>(&event) != nullptr)
                actions.emplace_back(PollTarget {TargetId("t1"), target.endpoint()});
        });
        TestNode node(polling);
        node.node().post(PlatformReachability {true});
        EXPECT_EQ(polling.waitForEvents<TargetPollFailed>(1)[0].failure,
                  AttemptFailure::InvalidResponse);
    }
    EXPECT_TRUE(isClosed);
}

// Guards against a reply whose length is above the limit, which ends the process or fills the
// memory if the first bytes of its body arrive with its head.
TEST(EndlessReplyTest, LengthAboveTheLimitFailsTheCall)
{
    bool isClosed = false;
    const HttpReply reply = endlessReply(
        "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000\r\n\r\nbody", repeated("x"), isClosed);
    EXPECT_EQ(reply.failure, AttemptFailure::InvalidResponse);
    EXPECT_TRUE(isClosed);
}

} // namespace berylridge::test
