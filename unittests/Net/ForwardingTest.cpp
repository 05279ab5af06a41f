#include "NodeFixture.h"

#include <atomic>

namespace berylridge::test {
namespace {

constexpr const char *path = "/v1/services/shop/orders";

std::string okResponse(const std::string &body, const std::string &fields = {})
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

TEST(ForwardingTest, forwardsRequestAndResponse)
{
    std::string head;
    std::string body;
    FakeTarget target([&](FakeTargetConnection &peer) {
        head = peer.readRequest();
        body = peer.body();
        peer.send(okResponse("done",
                             "Content-Type: text/plain\r\nX-Boot-Id: b1\r\nX-Attempt-Id: "
                                 + peer.field("X-Attempt-Id") + "\r\n"));
        peer.waitForClose();
    });
    FakeCore core(forwardTo(target.endpoint()));
    std::string response;
    {
        TestNode node(core);
        FakeCaller caller = node.caller();
        caller.send(requestText("POST", path,
                                "X-Request-Id: r1\r\nIdempotency-Key: k1\r\nContent-Type: "
                                "text/x\r\nConnection: x-hop\r\nX-Hop: 1\r\n",
                                "clay"));
        response = caller.readUntil("done");
        const auto done = core.waitForEvents<AttemptDone>(1);
        EXPECT_EQ(done[0].bootId, "b1");
        EXPECT_EQ(done[0].storedBody, "done");
        ASSERT_EQ(done[0].storedHeaders.size(), 1U);
        EXPECT_EQ(done[0].storedHeaders[0].value, "text/plain");
    }
    EXPECT_TRUE(head.starts_with("POST /orders HTTP/1.1\r\n")) << head;
    EXPECT_EQ(body, "clay");
    for (const char *field : {"X-Request-Id: r1\r\n", "X-Workspace: potters\r\n",
                              "Idempotency-Key: k1\r\n", "Content-Type: text/x\r\n"})
        EXPECT_NE(head.find(field), std::string::npos) << field << head;
    for (const char *field : {"Authorization", "X-Hop"})
        EXPECT_EQ(head.find(field), std::string::npos) << "must not reach the target: " << field;
    EXPECT_NE(response.find("Berylridge-Verdict: ran\r\n"), std::string::npos) << response;
    EXPECT_NE(response.find("X-Request-Id: r1\r\n"), std::string::npos) << response;
    EXPECT_EQ(response.find("X-Attempt-Id"), std::string::npos) << response;
}

// Without the error of the estimates, nobody sees that targets are busier than nodes believe.
TEST(ForwardingTest, metricsContainTheErrorOfTheEstimate)
{
    FakeTarget target([](FakeTargetConnection &peer) {
        while (!peer.readRequest().empty())
            peer.send(okResponse("done"));
    });
    FakeCore core([&](const Event &event, Actions &actions) {
        const auto *arrived = std::get_if<RequestArrived>(&event);
        if (!arrived)
            return;
        Dispatch dispatch = makeDispatch(arrived->handle, target.endpoint());
        dispatch.expectedFirstByte
            = arrived->requestId == "r1" ? Duration(1) : Duration(std::chrono::minutes(10));
        actions.emplace_back(std::move(dispatch));
    });
    TestNode node(core);
    for (const char *id : {"r1", "r2"}) {
        FakeCaller caller = node.caller();
        caller.send(requestText("POST", path, std::string("X-Request-Id: ") + id + "\r\n", ""));
        EXPECT_FALSE(caller.readUntil("done").empty());
    }
    const std::string metrics = node.node().metrics().print(0);
    for (const char *name : {"after", "before"}) {
        const std::string count
            = std::string("berylridge_first_byte_") + name + "_estimate_seconds_count 1\n";
        EXPECT_NE(metrics.find(count), std::string::npos) << metrics;
    }
}

TEST(ForwardingTest, respondsToPipelinedRequestsInOrder)
{
    FakeTarget target([](FakeTargetConnection &peer) {
        while (true) {
            const std::string head = peer.readRequest();
            if (head.empty())
                return;
            peer.send(okResponse("answer to " + head.substr(0, head.find(" HTTP"))));
        }
    });
    FakeCore core(forwardTo(target.endpoint(), true));
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", "/v1/services/shop/1")
                + requestText("GET", "/v1/services/shop/2")
                + requestText("GET", "/v1/services/shop/3", "Connection: close\r\n"));
    const std::string all = caller.readAll();
    const std::size_t first = all.find("answer to GET /1");
    const std::size_t second = all.find("answer to GET /2");
    const std::size_t third = all.find("answer to GET /3");
    ASSERT_NE(third, std::string::npos) << all;
    EXPECT_LT(first, second);
    EXPECT_LT(second, third);
    EXPECT_EQ(target.connections(), 1) << "a connection without pending bytes must be reused";
}

TEST(ForwardingTest, reusesConnectionForNonResendableRequests)
{
    FakeTarget target([](FakeTargetConnection &peer) {
        while (!peer.readRequest().empty())
            peer.send(okResponse("x", "Keep-Alive: timeout=10\r\n"));
    });
    FakeCore core(forwardTo(target.endpoint(), false));
    TestNode node(core);
    FakeCaller caller = node.caller();
    for (int i = 0; i < 3; ++i) {
        caller.send(requestText("POST", path, {}, "b"));
        caller.readUntil("\r\n\r\nx");
        caller.take();
    }
    EXPECT_EQ(target.connections(), 1);
}

// Guards against a purchase that runs twice: the target resets or closes a reused connection
// instead of responding, so it is unknown whether the purchase ran. It must be sent only once, and
// the caller must receive the verdict may-have-run. The next request then opens a new connection
// although others are idle.
TEST(ForwardingTest, sendsNonResendableRequestOnceIfReusedConnectionBreaks)
{
    for (const bool isReset : {true, false}) {
        std::atomic<int> received {0};
        FakeTarget target([&](FakeTargetConnection &peer) {
            while (!peer.readRequest().empty()) {
                if (++received == 2) {
                    if (isReset)
                        peer.reset();
                    return;
                }
                peer.send(okResponse("x", "Keep-Alive: timeout=10\r\n"));
            }
        });
        FakeCore core(forwardTo(target.endpoint(), false));
        TestNode node(core);
        FakeCaller caller = node.caller();
        caller.send(requestText("POST", path, {}, "b"));
        caller.readUntil("\r\n\r\nx");
        caller.take();
        caller.send(requestText("POST", path, {}, "b"));
        const std::string response = caller.readUntil("\r\n\r\n");
        EXPECT_NE(response.find("502"), std::string::npos) << response;
        EXPECT_NE(response.find("Berylridge-Verdict: may-have-run\r\n"), std::string::npos)
            << response;
        const auto failed = core.waitForEvents<AttemptFailed>(1);
        EXPECT_TRUE(failed[0].sentAny);
        EXPECT_EQ(received, 2);
        EXPECT_EQ(target.connections(), 1);
    }
}

/// What the target sends, and the failure that must be reported.
struct InvalidResponseCase
{
    const char *name;
    std::string response;
    AttemptFailure failure;
    bool isResponseStarted;
};

class InvalidResponseTest : public testing::TestWithParam<InvalidResponseCase>
{
};

TEST_P(InvalidResponseTest, isNeverRelayedAsComplete)
{
    // Guards against truncated or mismatched responses that look complete to the caller. The caller
    // must receive a rejection with the verdict may-have-run, or its connection must close before
    // the response ends.
    FakeTarget target([](FakeTargetConnection &peer) {
        peer.readRequest();
        peer.send(GetParam().response);
    });
    FakeCore core(forwardTo(target.endpoint(), true));
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", path, "Connection: close\r\n"));
    const std::string response = caller.readAll();
    const auto failed = core.waitForEvents<AttemptFailed>(1);
    EXPECT_EQ(failed[0].failure, GetParam().failure);
    EXPECT_TRUE(failed[0].sentAny);
    EXPECT_EQ(failed[0].answerBegun, GetParam().isResponseStarted);
    EXPECT_TRUE(core.receivedEvents<AttemptDone>().empty());
    if (GetParam().isResponseStarted) {
        EXPECT_TRUE(response.starts_with("HTTP/1.1 200 OK\r\n")) << response;
        EXPECT_EQ(response.find("\r\n0\r\n"), std::string::npos) << response;
    } else {
        EXPECT_TRUE(response.starts_with("HTTP/1.1 502 ")) << response;
        EXPECT_NE(response.find("\"verdict\":\"may-have-run\""), std::string::npos) << response;
    }
}

INSTANTIATE_TEST_SUITE_P(
    All, InvalidResponseTest,
    testing::Values(
        InvalidResponseCase {"Crossed", okResponse("x", "X-Attempt-Id: another\r\n"),
                             AttemptFailure::InvalidResponse, false},
        InvalidResponseCase {"NotHttp", "hello\r\n\r\n", AttemptFailure::InvalidResponse, false},
        InvalidResponseCase {"NoAnswer", "", AttemptFailure::Reset, false},
        InvalidResponseCase {"HalfHead", "HTTP/1.1 200 OK\r\nConte",
                             AttemptFailure::TruncatedResponse, false},
        InvalidResponseCase {"NoLength", "HTTP/1.1 200 OK\r\n\r\nbody",
                             AttemptFailure::InvalidResponse, false},
        InvalidResponseCase {"OverLong", okResponse("whole") + "more",
                             AttemptFailure::InvalidResponse, false},
        InvalidResponseCase {"OtherCoding",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                             AttemptFailure::InvalidResponse, false},
        InvalidResponseCase {"Switching", "HTTP/1.1 101 Switching Protocols\r\n\r\n",
                             AttemptFailure::InvalidResponse, false},
        InvalidResponseCase {"Short", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                             AttemptFailure::TruncatedResponse, true},
        InvalidResponseCase {"ChunksCut",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                             AttemptFailure::TruncatedResponse, true},
        InvalidResponseCase {
            "StreamWithoutEnd",
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
            "chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
            AttemptFailure::TruncatedResponse, true}),
    [](const auto &each) { return each.param.name; });

TEST(ForwardingTest, reportsNotRunIfNothingWasSent)
{
    FakeCore core(forwardTo(closedPort()));
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("POST", path, {}, "b"));
    const std::string response = caller.readUntil("}");
    EXPECT_NE(response.find("\"verdict\":\"not-run\""), std::string::npos) << response;
    const auto failed = core.waitForEvents<AttemptFailed>(1);
    EXPECT_EQ(failed[0].failure, AttemptFailure::ConnectRefused);
    EXPECT_FALSE(failed[0].sentAny);
}

TEST(ForwardingTest, sendsNothingAfterTheLeaseExpired)
{
    // Guards against overload of a target: the dispatch is delayed, for example in a paused
    // process, until its lease has expired and another node may use the slot. Nothing may be sent;
    // the core may dispatch the request again.
    FakeTarget target([](FakeTargetConnection &peer) { EXPECT_EQ(peer.readRequest(), ""); });
    FakeCore core([&](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
            Dispatch dispatch = makeDispatch(arrived->handle, target.endpoint());
            dispatch.notAfter = SystemClock().now() - std::chrono::milliseconds(1);
            actions.emplace_back(dispatch);
        }
    });
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", path));
    EXPECT_FALSE(core.waitForEvents<AttemptFailed>(1)[0].sentAny);
}

TEST(ForwardingTest, timesOutOnUnresponsiveTarget)
{
    FakeTarget target([](FakeTargetConnection &peer) {
        peer.readRequest();
        peer.waitForClose();
    });
    FakeCore core([&](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
            Dispatch dispatch = makeDispatch(arrived->handle, target.endpoint());
            dispatch.idleTimeout = std::chrono::milliseconds(20);
            actions.emplace_back(dispatch);
        }
    });
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", path));
    EXPECT_EQ(core.waitForEvents<AttemptFailed>(1)[0].failure, AttemptFailure::Timeout);
}

TEST(ForwardingTest, closesTargetConnectionWhenTheCallerDisconnects)
{
    // Guards against targets that work for callers that have disconnected. The caller disconnects
    // while it waits, the core aborts the attempt, and closing the connection tells the target to
    // cancel.
    std::atomic<bool> isTargetClosed {false};
    std::atomic<bool> hasRequest {false};
    FakeTarget target([&](FakeTargetConnection &peer) {
        peer.readRequest();
        hasRequest = true;
        isTargetClosed = peer.waitForClose();
    });
    FakeCore core(forwardTo(target.endpoint()));
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", path));
    EXPECT_TRUE(eventually([&] { return hasRequest.load(); }));
    caller.close();
    core.waitForEvents<CallerGone>(1);
    EXPECT_TRUE(eventually([&] { return isTargetClosed.load(); }));
}

TEST(ForwardingTest, completesKeyedRequestAfterTheCallerDisconnects)
{
    // Guards against a purchase whose outcome is lost: the caller disconnects and later repeats the
    // purchase. The core doesn't abort the attempt, and the shell must read the complete response,
    // so that the repeat receives it instead of a rejection.
    std::atomic<bool> hasRequest {false};
    std::atomic<bool> canRespond {false};
    FakeTarget target([&](FakeTargetConnection &peer) {
        peer.readRequest();
        hasRequest = true;
        EXPECT_TRUE(eventually([&] { return canRespond.load(); }));
        peer.send(okResponse("bought"));
    });
    FakeCore core([&](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
            Dispatch dispatch = makeDispatch(arrived->handle, target.endpoint());
            dispatch.storesResponse = true;
            actions.emplace_back(dispatch);
        }
    });
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("POST", path, "Idempotency-Key: k\r\n", "b"));
    EXPECT_TRUE(eventually([&] { return hasRequest.load(); }));
    caller.close();
    core.waitForEvents<CallerGone>(1);
    canRespond = true;
    EXPECT_EQ(core.waitForEvents<AttemptDone>(1)[0].storedBody, "bought");
}

TEST(ForwardingTest, relaysEachChunkImmediately)
{
    // Guards against delayed tokens: the target sends the next chunk only after the caller has
    // received the previous one, so a router that waits for more data would hang.
    std::atomic<int> receivedTokens {0};
    FakeTarget target([&](FakeTargetConnection &peer) {
        peer.readRequest();
        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < 3; ++i) {
            peer.send("6\r\ntoken" + std::to_string(i) + "\r\n");
            EXPECT_TRUE(eventually([&] { return receivedTokens > i; }));
        }
        peer.send("0\r\n\r\n");
    });
    FakeCore core(forwardTo(target.endpoint()));
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", path, "Connection: close\r\n"));
    for (int i = 0; i < 3; ++i) {
        caller.readUntil("token" + std::to_string(i));
        ++receivedTokens;
    }
    EXPECT_TRUE(caller.readAll().ends_with("\r\n0\r\n\r\n"));
}

TEST(ForwardingTest, appliesBackpressureForSlowCaller)
{
    // Guards against unbounded memory use for a caller that reads a long response late. The router
    // must stop reading from the target, so that the target's writes block.
    constexpr std::size_t total = 64 << 20;
    constexpr std::size_t step = 1 << 20;
    std::atomic<std::size_t> sent {0};
    FakeTarget target([&](FakeTargetConnection &peer) {
        peer.readRequest();
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(total) + "\r\n\r\n");
        const std::string piece(step, 'x');
        for (std::size_t i = 0; i < total / step && peer.send(piece); ++i)
            sent += step;
    });
    FakeCore core(forwardTo(target.endpoint()));
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", path, "Connection: close\r\n"));
    EXPECT_TRUE(eventually([&] { return sent > 0; }));
    // Waits until the socket buffers of both sides are full, so that the count no longer changes.
    std::size_t last = 0;
    int unchangedCount = 0;
    EXPECT_TRUE(eventually([&] {
        const std::size_t now = sent;
        unchangedCount = now == last ? unchangedCount + 1 : 0;
        last = now;
        return unchangedCount > 50;
    }));
    EXPECT_LT(sent, total);
    const std::string response = caller.readAll();
    EXPECT_EQ(response.size() - response.find("\r\n\r\n") - 4, total);
}

TEST(ForwardingTest, relaysHeadAndEmptyResponses)
{
    FakeTarget target([](FakeTargetConnection &peer) {
        while (true) {
            const std::string head = peer.readRequest();
            if (head.empty())
                return;
            peer.send(head.starts_with("HEAD") ? "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
                                               : "HTTP/1.1 204 No Content\r\n\r\n");
        }
    });
    FakeCore core(forwardTo(target.endpoint(), true));
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("HEAD", path));
    EXPECT_NE(caller.readUntil("\r\n\r\n").find("Content-Length: 9"), std::string::npos);
    caller.take();
    caller.send(requestText("DELETE", path));
    const std::string response = caller.readUntil("\r\n\r\n");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 204 ")) << response;
    EXPECT_EQ(response.find("chunked"), std::string::npos) << response;
}

TEST(ForwardingTest, sendsStoredResponse)
{
    FakeCore core([](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event))
            actions.emplace_back(SendStoredResponse {
                arrived->handle, 201, {{"Content-Type", "text/plain"}}, "kept"});
    });
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("POST", path, "X-Request-Id: r2\r\n", "b"));
    const std::string response = caller.readUntil("kept");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 201 Created\r\n")) << response;
    EXPECT_NE(response.find("X-Request-Id: r2\r\n"), std::string::npos) << response;
}

// Guards against a run for a caller that left while the core replaced the request's attempt.
TEST(ForwardingTest, doesNotReplaceTheAttemptOfACallerThatHasLeft)
{
    FakeTarget silent([](FakeTargetConnection &peer) {
        peer.readRequest();
        peer.waitForClose();
    });
    FakeTarget other([](FakeTargetConnection &peer) { peer.waitForClose(); });
    FakeCore core([&](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
            Dispatch dispatch = makeDispatch(arrived->handle, silent.endpoint());
            dispatch.firstByteTimeout = std::chrono::milliseconds(100);
            dispatch.silencePolicy = SilencePolicy::Report;
            actions.emplace_back(std::move(dispatch));
        }
        // The replacement crosses the report that the caller has left.
        if (const auto *gone = std::get_if<CallerGone>(&event))
            actions.emplace_back(makeDispatch(gone->handle, other.endpoint(), 2));
        if (const auto *failed = std::get_if<AttemptFailed>(&event)) {
            EXPECT_EQ(failed->attempt, 2U);
            EXPECT_FALSE(failed->sentAny);
        }
    });
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", path));
    core.waitForEvents<AttemptSilent>(1);
    caller.close();
    core.waitForEvents<AttemptFailed>(1);
    EXPECT_EQ(other.connections(), 0);
}

// Guards against a connection that is ended because its target reads a long request late.
TEST(ForwardingTest, targetMayReadALongRequestLate)
{
    FakeTarget target([](FakeTargetConnection &peer) {
        std::this_thread::sleep_for(std::chrono::milliseconds(2500));
        if (!peer.readRequest().empty())
            peer.send(okResponse("late", "X-Attempt-Id: " + peer.field("X-Attempt-Id") + "\r\n"));
        peer.waitForClose();
    });
    FakeCore core(forwardTo(target.endpoint()));
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("POST", path, {}, std::string(4000000, 'x')));
    EXPECT_NE(caller.readUntil("\r\n\r\n").find(" 200 OK"), std::string::npos);
}

} // namespace
} // namespace berylridge::test
