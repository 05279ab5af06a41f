#include "NodeFixture.h"

#include <atomic>

namespace berylridge::test {
namespace {

constexpr const char *path = "/v1/services/shop/orders";

std::string okAnswer(const std::string &body, const std::string &fields = {})
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

TEST(ForwardingTest, passesRequestAndAnswer)
{
    std::string head;
    std::string body;
    FakeTarget target([&](TargetPeer &peer) {
        head = peer.readRequest();
        body = peer.body();
        peer.send(okAnswer("done",
                           "Content-Type: text/plain\r\nX-Boot-Id: b1\r\nX-Attempt-Id: "
                               + peer.field("X-Attempt-Id") + "\r\n"));
        peer.awaitEnd();
    });
    FakeCore core(forwardTo(target.endpoint()));
    std::string answer;
    {
        TestNode node(core);
        FakeCaller caller = node.caller();
        caller.send(requestText("POST", path,
                                "X-Request-Id: r1\r\nIdempotency-Key: k1\r\nContent-Type: "
                                "text/x\r\nConnection: x-hop\r\nX-Hop: 1\r\n",
                                "clay"));
        answer = caller.readUntil("done");
        const auto done = core.await<AttemptDone>(1);
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
    EXPECT_NE(answer.find("Berylridge-Verdict: ran\r\n"), std::string::npos) << answer;
    EXPECT_NE(answer.find("X-Request-Id: r1\r\n"), std::string::npos) << answer;
    EXPECT_EQ(answer.find("X-Attempt-Id"), std::string::npos) << answer;
}

TEST(ForwardingTest, answersPipelinedRequestsInOrder)
{
    FakeTarget target([](TargetPeer &peer) {
        while (true) {
            const std::string head = peer.readRequest();
            if (head.empty())
                return;
            peer.send(okAnswer("answer to " + head.substr(0, head.find(" HTTP"))));
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
    EXPECT_EQ(target.connections(), 1) << "a clean connection is used again";
}

TEST(ForwardingTest, keepsAConnectionThatItsTargetKeepsForWhatMustNotRepeat)
{
    FakeTarget target([](TargetPeer &peer) {
        while (!peer.readRequest().empty())
            peer.send(okAnswer("x", "Keep-Alive: timeout=10\r\n"));
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

// A purchase goes on a kept connection, and the target resets it or closes it instead of answering.
// Nobody can tell whether the purchase ran: it is sent once, the caller hears that it may have run,
// and the next one goes on a new connection though others are idle.
TEST(ForwardingTest, sendsWhatMustNotRepeatOnceWhereItsKeptConnectionBreaks)
{
    for (const bool isReset : {true, false}) {
        std::atomic<int> received {0};
        FakeTarget target([&](TargetPeer &peer) {
            while (!peer.readRequest().empty()) {
                if (++received == 2) {
                    if (isReset)
                        peer.reset();
                    return;
                }
                peer.send(okAnswer("x", "Keep-Alive: timeout=10\r\n"));
            }
        });
        FakeCore core(forwardTo(target.endpoint(), false));
        TestNode node(core);
        FakeCaller caller = node.caller();
        caller.send(requestText("POST", path, {}, "b"));
        caller.readUntil("\r\n\r\nx");
        caller.take();
        caller.send(requestText("POST", path, {}, "b"));
        const std::string answer = caller.readUntil("\r\n\r\n");
        EXPECT_NE(answer.find("502"), std::string::npos) << answer;
        EXPECT_NE(answer.find("Berylridge-Verdict: may-have-run\r\n"), std::string::npos) << answer;
        const auto failed = core.await<AttemptFailed>(1);
        EXPECT_TRUE(failed[0].sentAny);
        EXPECT_EQ(received, 2);
        EXPECT_EQ(target.connections(), 1);
    }
}

/// What the target sends, and the failure that must come of it.
struct BadAnswerCase
{
    const char *name;
    std::string answer;
    AttemptFailure failure;
    bool isBegun;
};

class BadAnswerTest : public testing::TestWithParam<BadAnswerCase>
{
};

TEST_P(BadAnswerTest, isNeverPassedOnAsWhole)
{
    // What the caller sees: a refusal with may-have-run, or a connection cut before its end.
    // What happens: the target's answer is not the one asked for, or not whole.
    // Why: an answer that looks whole but is not is worse than none.
    FakeTarget target([](TargetPeer &peer) {
        peer.readRequest();
        peer.send(GetParam().answer);
    });
    FakeCore core(forwardTo(target.endpoint(), true));
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", path, "Connection: close\r\n"));
    const std::string answer = caller.readAll();
    const auto failed = core.await<AttemptFailed>(1);
    EXPECT_EQ(failed[0].failure, GetParam().failure);
    EXPECT_TRUE(failed[0].sentAny);
    EXPECT_EQ(failed[0].answerBegun, GetParam().isBegun);
    EXPECT_TRUE(core.seen<AttemptDone>().empty());
    if (GetParam().isBegun) {
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 OK\r\n")) << answer;
        EXPECT_EQ(answer.find("\r\n0\r\n"), std::string::npos) << answer;
    } else {
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << answer;
        EXPECT_NE(answer.find("\"verdict\":\"may-have-run\""), std::string::npos) << answer;
    }
}

INSTANTIATE_TEST_SUITE_P(
    All, BadAnswerTest,
    testing::Values(
        BadAnswerCase {"Crossed", okAnswer("x", "X-Attempt-Id: another\r\n"),
                       AttemptFailure::InvalidResponse, false},
        BadAnswerCase {"NotHttp", "hello\r\n\r\n", AttemptFailure::InvalidResponse, false},
        BadAnswerCase {"NoAnswer", "", AttemptFailure::Reset, false},
        BadAnswerCase {"HalfHead", "HTTP/1.1 200 OK\r\nConte", AttemptFailure::TruncatedResponse,
                       false},
        BadAnswerCase {"NoLength", "HTTP/1.1 200 OK\r\n\r\nbody", AttemptFailure::InvalidResponse,
                       false},
        BadAnswerCase {"OverLong", okAnswer("whole") + "more", AttemptFailure::InvalidResponse,
                       false},
        BadAnswerCase {"OtherCoding",
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                       AttemptFailure::InvalidResponse, false},
        BadAnswerCase {"Switching", "HTTP/1.1 101 Switching Protocols\r\n\r\n",
                       AttemptFailure::InvalidResponse, false},
        BadAnswerCase {"Short", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                       AttemptFailure::TruncatedResponse, true},
        BadAnswerCase {"ChunksCut",
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                       AttemptFailure::TruncatedResponse, true},
        BadAnswerCase {"StreamWithoutEnd",
                       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
                       "chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
                       AttemptFailure::TruncatedResponse, true}),
    [](const auto &each) { return each.param.name; });

TEST(ForwardingTest, saysNotRunOnlyBeforeTheFirstByte)
{
    FakeCore core(forwardTo(closedPort()));
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("POST", path, {}, "b"));
    const std::string answer = caller.readUntil("}");
    EXPECT_NE(answer.find("\"verdict\":\"not-run\""), std::string::npos) << answer;
    const auto failed = core.await<AttemptFailed>(1);
    EXPECT_EQ(failed[0].failure, AttemptFailure::ConnectRefused);
    EXPECT_FALSE(failed[0].sentAny);
}

TEST(ForwardingTest, sendsNothingAfterTheLeaseEnded)
{
    // What the caller sees: nothing yet; the core may send its request elsewhere.
    // What happens: the order was held up, as by a paused process, until its lease had ended.
    // Why: the slot may have been given to another node, and the target must not bear both.
    FakeTarget target([](TargetPeer &peer) { EXPECT_EQ(peer.readRequest(), ""); });
    FakeCore core([&](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
            Dispatch dispatch = dispatchOf(arrived->handle, target.endpoint());
            dispatch.notAfter = SystemClock().now() - std::chrono::milliseconds(1);
            actions.emplace_back(dispatch);
        }
    });
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", path));
    EXPECT_FALSE(core.await<AttemptFailed>(1)[0].sentAny);
}

TEST(ForwardingTest, givesUpOnASilentTarget)
{
    FakeTarget target([](TargetPeer &peer) {
        peer.readRequest();
        peer.awaitEnd();
    });
    FakeCore core([&](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
            Dispatch dispatch = dispatchOf(arrived->handle, target.endpoint());
            dispatch.idleTimeout = std::chrono::milliseconds(20);
            actions.emplace_back(dispatch);
        }
    });
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", path));
    EXPECT_EQ(core.await<AttemptFailed>(1)[0].failure, AttemptFailure::Timeout);
}

TEST(ForwardingTest, closesTheTargetWhenTheCallerLeaves)
{
    // What the caller sees: it closed its connection while it waited for the answer.
    // What happens: CallerGone, the core's AbortAttempt, and the target's connection is closed.
    // Why: closing is how an engine is told to cancel; else it works on for nobody.
    std::atomic<bool> sawEnd {false};
    std::atomic<bool> hasRequest {false};
    FakeTarget target([&](TargetPeer &peer) {
        peer.readRequest();
        hasRequest = true;
        sawEnd = peer.awaitEnd();
    });
    FakeCore core(forwardTo(target.endpoint()));
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", path));
    EXPECT_TRUE(eventually([&] { return hasRequest.load(); }));
    caller.close();
    core.await<CallerGone>(1);
    EXPECT_TRUE(eventually([&] { return sawEnd.load(); }));
}

TEST(ForwardingTest, finishesForTheKeyWhenTheCallerLeaves)
{
    // What the caller sees: it left and sends the same purchase again later.
    // What happens: the core doesn't abort; the shell reads the answer to its end and hands it
    // over. Why: only with that answer can the repeat be answered instead of refused.
    std::atomic<bool> hasRequest {false};
    std::atomic<bool> mayAnswer {false};
    FakeTarget target([&](TargetPeer &peer) {
        peer.readRequest();
        hasRequest = true;
        EXPECT_TRUE(eventually([&] { return mayAnswer.load(); }));
        peer.send(okAnswer("bought"));
    });
    FakeCore core([&](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
            Dispatch dispatch = dispatchOf(arrived->handle, target.endpoint());
            dispatch.storesResponse = true;
            actions.emplace_back(dispatch);
        }
    });
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("POST", path, "Idempotency-Key: k\r\n", "b"));
    EXPECT_TRUE(eventually([&] { return hasRequest.load(); }));
    caller.close();
    core.await<CallerGone>(1);
    mayAnswer = true;
    EXPECT_EQ(core.await<AttemptDone>(1)[0].storedBody, "bought");
}

TEST(ForwardingTest, passesEachChunkOnBeforeTheNextComes)
{
    // What the caller sees: each token as it comes. The target sends the next chunk only once the
    // caller has the one before, so a router that waits for more would hang.
    std::atomic<int> got {0};
    FakeTarget target([&](TargetPeer &peer) {
        peer.readRequest();
        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < 3; ++i) {
            peer.send("6\r\ntoken" + std::to_string(i) + "\r\n");
            EXPECT_TRUE(eventually([&] { return got > i; }));
        }
        peer.send("0\r\n\r\n");
    });
    FakeCore core(forwardTo(target.endpoint()));
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", path, "Connection: close\r\n"));
    for (int i = 0; i < 3; ++i) {
        caller.readUntil("token" + std::to_string(i));
        ++got;
    }
    EXPECT_TRUE(caller.readAll().ends_with("\r\n0\r\n\r\n"));
}

TEST(ForwardingTest, holdsTheTargetBackForASlowCaller)
{
    // What the caller sees: a long answer, which it reads only after a while.
    // What happens: the router stops reading from the target, so the target's writes block.
    // Why: without that the whole answer would pile up in the router's memory.
    constexpr std::size_t total = 64 << 20;
    constexpr std::size_t step = 1 << 20;
    std::atomic<std::size_t> sent {0};
    FakeTarget target([&](TargetPeer &peer) {
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
    // Both sides' socket buffers fill, then nothing moves: the same count over and over.
    std::size_t last = 0;
    int still = 0;
    EXPECT_TRUE(eventually([&] {
        const std::size_t now = sent;
        still = now == last ? still + 1 : 0;
        last = now;
        return still > 50;
    }));
    EXPECT_LT(sent, total);
    const std::string answer = caller.readAll();
    EXPECT_EQ(answer.size() - answer.find("\r\n\r\n") - 4, total);
}

TEST(ForwardingTest, answersHeadAndEmptyAnswers)
{
    FakeTarget target([](TargetPeer &peer) {
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
    const std::string answer = caller.readUntil("\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 204 ")) << answer;
    EXPECT_EQ(answer.find("chunked"), std::string::npos) << answer;
}

TEST(ForwardingTest, answersFromTheKeptOne)
{
    FakeCore core([](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event))
            actions.emplace_back(SendStoredResponse {
                arrived->handle, 201, {{"Content-Type", "text/plain"}}, "kept"});
    });
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("POST", path, "X-Request-Id: r2\r\n", "b"));
    const std::string answer = caller.readUntil("kept");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 201 Created\r\n")) << answer;
    EXPECT_NE(answer.find("X-Request-Id: r2\r\n"), std::string::npos) << answer;
}

} // namespace
} // namespace berylridge::test
