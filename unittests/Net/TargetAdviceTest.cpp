// Tests that the shell reports the advice of targets' responses, and complies with it before the
// core does.
#include "NodeFixture.h"

#include "berylridge/Net/RetryAfter.h"

#include <future>

namespace berylridge::test {
namespace {

using namespace std::chrono_literals;

constexpr const char *path = "/v1/services/shop/orders";

/// The native protocol with the advice that protocols of the balancer read.
WireProtocolHandle protocolWithAdvice()
{
    WireProtocolHandle protocol = nativeProtocol();
    protocol.readResponseHead = [](const ResponseHead &head, const AttemptIds &) {
        ResponseInfo info;
        readRetryAfter(head, info.advice);
        info.advice.isLeaving = head.count("X-Test-Leaving") > 0;
        if (head.result_int() == 503)
            info.failure = AttemptFailure::NotRun;
        return info;
    };
    return protocol;
}

std::string rejection(const std::string &fields)
{
    return "HTTP/1.1 503 Service Unavailable\r\n" + fields + "Content-Length: 2\r\n\r\nno";
}

/// Dispatches each request to one target, whatever the target has asked for.
FakeCore::EventHandler dispatchTo(const Endpoint &endpoint, std::uint64_t *boot)
{
    return [endpoint, boot](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
            Dispatch dispatch = makeDispatch(arrived->handle, endpoint);
            dispatch.targetBoot = *boot;
            actions.emplace_back(std::move(dispatch));
        }
        if (const auto *failed = std::get_if<AttemptFailed>(&event))
            actions.emplace_back(
                Refuse {failed->handle, 503, Verdict::NotRun, "rejected", "rejected", {}});
    };
}

void sendRequest(TestNode &node)
{
    FakeCaller caller = node.caller();
    caller.send(requestText("POST", path, "X-Request-Id: r\r\n", "clay"));
    EXPECT_FALSE(caller.readUntil("\r\n\r\n").empty());
}

class AdviceBeforeSendTest : public testing::TestWithParam<const char *>
{
};

} // namespace

// Guards against a request that was chosen before the target asked for a pause or stated that it
// leaves, and whose connection or thread was slower than that response.
TEST_P(AdviceBeforeSendTest, AttemptThatStartsAfterTheAdviceIsNotSent)
{
    std::atomic<int> requests {0};
    FakeTarget target([&](FakeTargetConnection &peer) {
        while (!peer.readRequest().empty()) {
            ++requests;
            peer.send(rejection(GetParam()));
        }
    });
    std::uint64_t boot = 1;
    FakeCore core(dispatchTo(target.endpoint(), &boot));
    TestNode node(core, {}, {}, protocolWithAdvice());
    sendRequest(node);
    sendRequest(node);
    const auto failed = core.waitForEvents<AttemptFailed>(2);
    EXPECT_TRUE(failed[0].sentAny);
    EXPECT_FALSE(failed[1].sentAny);
    EXPECT_EQ(requests, 1);
    ++boot; // Another boot has asked for nothing.
    sendRequest(node);
    EXPECT_TRUE(core.waitForEvents<AttemptFailed>(3)[2].sentAny);
    EXPECT_EQ(requests, 2);
}

INSTANTIATE_TEST_SUITE_P(Fields, AdviceBeforeSendTest,
                         testing::Values("Retry-After: 60\r\n", "X-Test-Leaving: 1\r\n"));

// Guards against advice that is known only after the body of the response, or not at all if the
// body never ends.
TEST(AdviceReportTest, AdviceIsReportedWithTheHead)
{
    std::promise<void> isChecked;
    FakeTarget target([&](FakeTargetConnection &peer) {
        peer.readRequest();
        peer.send(
            "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nContent-Length: 9\r\n\r\n");
        isChecked.get_future().wait();
    });
    std::uint64_t boot = 1;
    FakeCore core(dispatchTo(target.endpoint(), &boot));
    TestNode node(core, {}, {}, protocolWithAdvice());
    FakeCaller caller = node.caller();
    caller.send(requestText("POST", path, "X-Request-Id: r\r\n", "clay"));
    const auto advice = core.waitForEvents<TargetAdviceArrived>(1);
    EXPECT_EQ(advice[0].target, TargetId("t"));
    EXPECT_EQ(advice[0].targetBoot, 1U);
    EXPECT_EQ(advice[0].status, 503U);
    EXPECT_EQ(advice[0].advice.retryAfter, Duration(2s));
    EXPECT_NE(node.node().metrics().print(0).find("berylridge_target_pauses_requested_total 1"),
              std::string::npos);
    isChecked.set_value();
}

// Guards against a pause that a success, which has no such meaning for Retry-After, seems to ask
// for.
TEST(AdviceReportTest, SuccessAsksForNoPause)
{
    FakeTarget target([](FakeTargetConnection &peer) {
        while (!peer.readRequest().empty())
            peer.send("HTTP/1.1 200 OK\r\nRetry-After: 60\r\nContent-Length: 2\r\n\r\nok");
    });
    std::uint64_t boot = 1;
    FakeCore core(dispatchTo(target.endpoint(), &boot));
    TestNode node(core, {}, {}, protocolWithAdvice());
    sendRequest(node);
    sendRequest(node);
    core.waitForEvents<AttemptDone>(2);
    EXPECT_TRUE(core.receivedEvents<TargetAdviceArrived>().empty());
}

} // namespace berylridge::test
