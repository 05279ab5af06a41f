#include "NodeFixture.h"

namespace berylridge::test {
namespace {

constexpr const char *streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string &text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: token" + std::to_string(id) + "\n\n";
}

/// Dispatches first attempts to one target and resumes them at another.
FakeCore::EventHandler resumeAt(const Endpoint &first, const Endpoint &second)
{
    return [=](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event))
            actions.emplace_back(makeDispatch(arrived->handle, first));
        if (const auto *failed = std::get_if<AttemptFailed>(&event)) {
            if (failed->attempt > 1) {
                actions.emplace_back(Refuse {failed->handle, 502, Verdict::MayHaveRun, "failed",
                                             "target-failed", std::nullopt});
                return;
            }
            Dispatch again = makeDispatch(failed->handle, second, 2);
            again.isResumed = true;
            actions.emplace_back(again);
        }
    };
}

/// Returns the events of a chunked response without the chunk framing.
std::string eventsOf(const std::string &response)
{
    std::string events;
    std::istringstream lines(response.substr(response.find("\r\n\r\n") + 4));
    for (std::string line; std::getline(lines, line);)
        if (line.starts_with("id: ") || line.starts_with("data: "))
            events += line + "\n";
    return events;
}

TEST(ResumeTest, callerReceivesOneContinuousStream)
{
    // Guards against gaps and duplicates in a resumed stream. The first target is killed in the
    // middle of event 3. The second one receives the id of the last event that the caller has, and
    // repeats one event more than requested. A partial event must not be relayed, because the
    // caller would then receive it partly twice.
    FakeTarget first([](FakeTargetConnection &peer) {
        peer.readRequest();
        peer.send(streamHead + chunk(event(1)) + chunk(event(2)) + chunk("id: 3\ndata: tok"));
        peer.reset();
    });
    std::string lastId;
    FakeTarget second([&](FakeTargetConnection &peer) {
        peer.readRequest();
        lastId = peer.field("Last-Event-ID");
        peer.send(streamHead + chunk(event(2) + event(3)) + chunk("data: [DONE]\n\n")
                  + "0\r\n\r\n");
    });
    // A reset may overtake the bytes before it; the response must be one stream in both cases.
    FakeCore core(resumeAt(first.endpoint(), second.endpoint()));
    std::string response;
    {
        TestNode node(core);
        FakeCaller caller = node.caller();
        caller.send(
            requestText("POST", "/v1/services/assistant/chat", "Connection: close\r\n", "prompt"));
        response = caller.readAll();
        core.waitForEvents<AttemptDone>(1);
    }
    const bool hasFirst = core.receivedEvents<AttemptFailed>().at(0).answerBegun;
    EXPECT_EQ(lastId.empty(), !hasFirst);
    const auto relayed = core.receivedEvents<FirstEventRelayed>();
    ASSERT_EQ(relayed.size(), 1U);
    EXPECT_EQ(relayed[0].attempt, hasFirst ? 1U : 2U);
    const std::string all = eventsOf(response);
    EXPECT_TRUE(all.ends_with("id: 3\ndata: token3\ndata: [DONE]\n")) << response;
    EXPECT_EQ(response.find("HTTP/1.1", 1), std::string::npos)
        << "expected a single head: " << response;
    EXPECT_NE(response.find("\r\n0\r\n\r\n"), std::string::npos) << response;
    const std::string before = all.substr(0, all.find("id: 3"));
    EXPECT_TRUE(before == "id: 2\ndata: token2\n"
                || before == "id: 1\ndata: token1\nid: 2\ndata: token2\n")
        << response;
}

// Guards against a stream that counts as begun by an attempt of which the caller has no event.
TEST(ResumeTest, headAndCommentOfAFailedAttemptBeginNoStream)
{
    FakeTarget first([](FakeTargetConnection &peer) {
        peer.readRequest();
        peer.send(streamHead);
        peer.reset();
    });
    FakeTarget second([&](FakeTargetConnection &peer) {
        peer.readRequest();
        peer.send(streamHead + chunk(": comment\n\n") + chunk(event(1)) + chunk("data: [DONE]\n\n")
                  + "0\r\n\r\n");
    });
    FakeCore core(resumeAt(first.endpoint(), second.endpoint()));
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(
        requestText("POST", "/v1/services/assistant/chat", "Connection: close\r\n", "prompt"));
    caller.readAll();
    core.waitForEvents<AttemptDone>(1);
    const auto relayed = core.receivedEvents<FirstEventRelayed>();
    ASSERT_EQ(relayed.size(), 1U);
    EXPECT_EQ(relayed[0].attempt, 2U);
}

TEST(ResumeTest, resumesAfterEventsSentWithPrematureEnd)
{
    // Guards against a stream that ends without [DONE]: its events and a valid last chunk arrive
    // together. The events must be relayed, the missing end must be detected, and the second
    // target must continue after them.
    FakeTarget first([](FakeTargetConnection &peer) {
        peer.readRequest();
        peer.send(streamHead + chunk(event(1) + event(2)) + "0\r\n\r\n");
        peer.waitForClose();
    });
    std::string lastId;
    FakeTarget second([&](FakeTargetConnection &peer) {
        peer.readRequest();
        lastId = peer.field("Last-Event-ID");
        peer.send(streamHead + chunk(event(3) + "data: [DONE]\n\n") + "0\r\n\r\n");
    });
    FakeCore core(resumeAt(first.endpoint(), second.endpoint()));
    std::string response;
    {
        TestNode node(core);
        FakeCaller caller = node.caller();
        caller.send(
            requestText("POST", "/v1/services/assistant/chat", "Connection: close\r\n", "prompt"));
        response = caller.readAll();
    }
    EXPECT_EQ(lastId, "2");
    EXPECT_EQ(eventsOf(response),
              "id: 1\ndata: token1\nid: 2\ndata: token2\nid: 3\ndata: token3\n"
              "data: [DONE]\n");
    EXPECT_EQ(core.receivedEvents<AttemptFailed>().at(0).failure,
              AttemptFailure::TruncatedResponse);
}

TEST(ResumeTest, closesCallerConnectionIfTheSecondTargetFails)
{
    // Guards against a truncated stream that looks complete: the caller's connection must close
    // without a last chunk.
    const auto sendTruncatedStream = [](FakeTargetConnection &peer) {
        peer.readRequest();
        peer.send(streamHead + chunk(event(1)));
    };
    FakeTarget first(sendTruncatedStream);
    FakeTarget second(sendTruncatedStream);
    FakeCore core(resumeAt(first.endpoint(), second.endpoint()));
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(
        requestText("POST", "/v1/services/assistant/chat", "Connection: close\r\n", "prompt"));
    const std::string response = caller.readAll();
    EXPECT_EQ(eventsOf(response), "id: 1\ndata: token1\n");
    EXPECT_EQ(response.find("\r\n0\r\n"), std::string::npos) << response;
    EXPECT_EQ(response.find("502"), std::string::npos) << response;
}

TEST(ResumeTest, neverJoinsTwoPlainResponses)
{
    // Guards against a response that is joined from parts of two responses: the caller's connection
    // must close instead.
    FakeTarget target([](FakeTargetConnection &peer) {
        peer.readRequest();
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf");
    });
    FakeCore core(resumeAt(target.endpoint(), target.endpoint()));
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", "/v1/services/shop/x"));
    const std::string response = caller.readAll();
    EXPECT_TRUE(response.ends_with("\r\n\r\nhalf")) << response;
    EXPECT_EQ(core.waitForEvents<AttemptFailed>(2)[1].failure, AttemptFailure::InvalidResponse);
    EXPECT_EQ(target.connections(), 1);
}

// Guards against an event whose id is too large for the head of the request that resumes the stream
// after it, and that ends the process.
TEST(ResumeTest, eventWithIdTooLargeToResumeAfterFailsTheAttempt)
{
    FakeTarget first([](FakeTargetConnection &peer) {
        peer.readRequest();
        peer.send(streamHead + chunk(event(1))
                  + chunk("id: " + std::string(70'000, '7') + "\ndata: x\n\n"));
    });
    std::string lastId;
    FakeTarget second([&](FakeTargetConnection &peer) {
        peer.readRequest();
        lastId = peer.field("Last-Event-ID");
        peer.send(streamHead + chunk(event(2)) + chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    });
    FakeCore core(resumeAt(first.endpoint(), second.endpoint()));
    std::string response;
    {
        TestNode node(core);
        FakeCaller caller = node.caller();
        caller.send(requestText("GET", "/v1/services/shop/stream", "Connection: close\r\n"));
        response = caller.readAll();
    }
    EXPECT_EQ(core.waitForEvents<AttemptFailed>(1)[0].failure, AttemptFailure::InvalidResponse);
    EXPECT_EQ(lastId, "1");
    EXPECT_EQ(eventsOf(response), "id: 1\ndata: token1\nid: 2\ndata: token2\ndata: [DONE]\n");
}

} // namespace
} // namespace berylridge::test
