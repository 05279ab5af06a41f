#include "NodeFixture.h"

namespace berylridge::test {
namespace {

constexpr const char *path = "/v1/services/assistant/chat";
constexpr const char *beginOfStream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                      "Transfer-Encoding: chunked\r\n\r\n"
                                      "1a\r\nid: 1\ndata: firing notes\n\n\r\n";

FakeCore::EventHandler forwardAndRefuse(const Endpoint &endpoint)
{
    return [=](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event))
            actions.emplace_back(makeDispatch(arrived->handle, endpoint));
        if (const auto *failed = std::get_if<AttemptFailed>(&event))
            actions.emplace_back(Refuse {failed->handle, 502, Verdict::MayHaveRun, "failed",
                                         "target-failed", std::nullopt});
    };
}

// Guards against log lines and metrics that name a status which the caller never received.
TEST(CutResponseTest, responseThatIsCutIsReportedWithReasonAndBytes)
{
    FakeTarget target([](FakeTargetConnection &peer) {
        peer.readRequest();
        peer.send(beginOfStream);
    });
    FakeCore core(forwardAndRefuse(target.endpoint()));
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("POST", path, "X-Request-Id: r1\r\n", "prompt"));
    const std::string response = caller.readAll();
    EXPECT_NE(response.find("firing notes"), std::string::npos) << response;
    EXPECT_EQ(response.find("502"), std::string::npos) << response;
    const auto cuts = core.waitForEvents<ResponseCut>(1);
    EXPECT_EQ(cuts[0].requestId, "r1");
    EXPECT_EQ(cuts[0].reason, "target-failed");
    EXPECT_EQ(cuts[0].bodyBytes, 26U);
    EXPECT_NE(node.node().metrics().print(0).find(
                  "berylridge_responses_cut_total{reason=\"target-failed\"} 1\n"),
              std::string::npos);
}

// Guards against counting a refusal that the caller received as a cut.
TEST(CutResponseTest, refusalBeforeTheResponseBeginsIsNoCut)
{
    FakeTarget target([](FakeTargetConnection &peer) { peer.readRequest(); });
    FakeCore core(forwardAndRefuse(target.endpoint()));
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("POST", path, "Connection: close\r\n", "prompt"));
    EXPECT_NE(caller.readAll().find(" 502 "), std::string::npos);
    EXPECT_TRUE(core.receivedEvents<ResponseCut>().empty());
}

} // namespace
} // namespace berylridge::test
