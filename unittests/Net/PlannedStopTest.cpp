// Planned stops: what callers receive whose requests cross the end of the process.
#include "NodeFixture.h"

#include <algorithm>
#include <future>

namespace berylridge::test {
namespace {

/// Handles an order to leave as a core does that has no requests left.
FakeCore::EventHandler stopWhenOrdered(FakeCore::EventHandler beforeStop)
{
    auto hasStopped = std::make_shared<bool>(false);
    return [hasStopped, beforeStop = std::move(beforeStop)](const Event &event, Actions &actions) {
        if (std::holds_alternative<LeaveOrdered>(event)) {
            *hasStopped = true;
            actions.emplace_back(Readiness {false});
            actions.emplace_back(Stopped {testTimeout});
            return;
        }
        const auto *arrived = std::get_if<RequestArrived>(&event);
        if (arrived && *hasStopped) {
            actions.emplace_back(Refuse {arrived->handle, 503, Verdict::NotRun, "the node leaves",
                                         "leaving", std::nullopt});
            return;
        }
        beforeStop(event, actions);
    };
}

FakeCore::EventHandler answerAtOnce()
{
    return [](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event))
            actions.emplace_back(SendStoredResponse {arrived->handle, 200, {}, "stored"});
    };
}

/// Returns when the control thread has executed the actions of the order to leave.
void orderToLeave(TestNode &node, FakeCore &core)
{
    node.node().post(LeaveOrdered {"test"});
    const std::size_t timers = core.receivedEvents<TimerDue>().size();
    node.node().post(TimerDue {});
    core.waitForEvents<TimerDue>(timers + 1);
}

bool isListening(TestNode &node)
{
    try {
        const FakeCaller probe = node.caller();
        return true;
    } catch (const boost::system::system_error &) {
        return false;
    }
}

/// Blocks the traffic thread while it reads the request to blockedPath.
class BlockingProtocol
{
public:
    static constexpr const char *blockedPath = "/v1/services/shop/blocked";

    WireProtocolHandle handle()
    {
        WireProtocolHandle handle = nativeProtocol();
        handle.readCaller = [this](const StringRequest &request) {
            if (view(request.target()) == blockedPath) {
                m_blocked.set_value();
                m_released.get_future().wait();
            }
            return nativeProtocol().readCaller(request);
        };
        return handle;
    }

    void waitUntilBlocked() { m_blocked.get_future().wait(); }
    void release() { m_released.set_value(); }

private:
    std::promise<void> m_blocked;
    std::promise<void> m_released;
};

bool isRefusedAsLeaving(const std::string &response)
{
    return response.starts_with("HTTP/1.1 503")
        && response.find("Connection: close") != std::string::npos
        && response.find("\"verdict\":\"not-run\"") != std::string::npos;
}

// Guards against a response that announces a kept connection and then ends it, so that the caller's
// next request on it is discarded.
TEST(PlannedStopTest, responseBegunBeforeTheStopKeepsTheConnectionThatItAnnounced)
{
    std::promise<void> released;
    const std::shared_future<void> isReleased = released.get_future().share();
    FakeTarget target([isReleased](FakeTargetConnection &connection) {
        while (!connection.readRequest().empty()) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
            isReleased.wait();
            connection.send("cd");
        }
    });
    const auto forward = forwardTo(target.endpoint());
    FakeCore core([&](const Event &event, Actions &actions) {
        if (std::holds_alternative<LeaveOrdered>(event))
            actions.emplace_back(Readiness {false});
        else
            forward(event, actions);
    });
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", "/v1/services/shop/a"));
    EXPECT_EQ(caller.readUntil("ab").find("Connection: close"), std::string::npos);
    orderToLeave(node, core);
    released.set_value();
    caller.readUntil("abcd");
    caller.take();
    caller.send(requestText("GET", "/v1/services/shop/b"));
    const std::string second = caller.readAll();
    EXPECT_TRUE(second.starts_with("HTTP/1.1 200")) << second;
    EXPECT_NE(second.find("Connection: close"), std::string::npos) << second;
    EXPECT_TRUE(second.ends_with("abcd")) << second;
    node.node().stop();
}

// Guards against a cut of a request that the core has received but not yet refused.
TEST(PlannedStopTest, requestThatTheCoreStillHoldsIsAnsweredBeforeTheEnd)
{
    FakeCore core(
        stopWhenOrdered([held = RequestHandle {}](const Event &event, Actions &actions) mutable {
            if (const auto *arrived = std::get_if<RequestArrived>(&event))
                held = arrived->handle;
            if (std::holds_alternative<ReturnOrdered>(event))
                actions.emplace_back(Refuse {held, 503, Verdict::NotRun, "the node leaves",
                                             "leaving", std::nullopt});
        }));
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", "/v1/services/shop/a"));
    core.waitForEvents<RequestArrived>(1);
    orderToLeave(node, core);
    node.node().post(ReturnOrdered {});
    const std::string response = caller.readAll();
    EXPECT_TRUE(isRefusedAsLeaving(response)) << response;
}

// Guards against a cut of a request whose first bytes were read before the end of the stop.
TEST(PlannedStopTest, requestWhoseRestArrivesAfterTheStopIsAnswered)
{
    FakeCore core(stopWhenOrdered(answerAtOnce()));
    TestNode node(core);
    FakeCaller caller = node.caller();
    const std::string second = requestText("POST", "/v1/services/shop/b", {}, "0123456789");
    const std::size_t half = second.size() / 2;
    caller.send(requestText("GET", "/v1/services/shop/a") + second.substr(0, half));
    caller.readUntil("stored");
    caller.take();
    orderToLeave(node, core);
    caller.send(second.substr(half));
    const std::string response = caller.readAll();
    EXPECT_TRUE(isRefusedAsLeaving(response)) << response;
}

// Guards against a reset of an idle connection whose next request has arrived but is unread.
TEST(PlannedStopTest, requestThatIsUnreadOnAnIdleConnectionIsAnswered)
{
    BlockingProtocol protocol;
    FakeCore core(stopWhenOrdered(answerAtOnce()));
    TestNode node(
        core, [](Settings &settings) { settings.trafficThreads = 2; }, {}, protocol.handle());
    // The threads take connections in turn. The listener's thread must not be the blocked one.
    const FakeCaller first = node.caller();
    FakeCaller idle = node.caller();
    const FakeCaller third = node.caller();
    FakeCaller blocking = node.caller();
    idle.send(requestText("GET", "/v1/services/shop/a"));
    idle.readUntil("stored");
    idle.take();
    blocking.send(requestText("GET", BlockingProtocol::blockedPath));
    protocol.waitUntilBlocked();
    idle.send(requestText("GET", "/v1/services/shop/b"));
    orderToLeave(node, core);
    EXPECT_TRUE(eventually([&] { return !isListening(node); }));
    blocking.close(); // Its request would keep the connections open.
    protocol.release();
    const std::string response = idle.readAll();
    EXPECT_TRUE(isRefusedAsLeaving(response)) << response;
}

// Guards against a reset of a connection that waits to be accepted when the listener closes.
TEST(PlannedStopTest, requestOnAConnectionThatWaitsToBeAcceptedIsAnswered)
{
    BlockingProtocol protocol;
    FakeCore core(stopWhenOrdered(answerAtOnce()));
    TestNode node(
        core, [](Settings &settings) { settings.trafficThreads = 1; }, {}, protocol.handle());
    FakeCaller blocking = node.caller();
    blocking.send(requestText("GET", BlockingProtocol::blockedPath));
    protocol.waitUntilBlocked();
    FakeCaller waiting = node.caller();
    waiting.send(requestText("GET", "/v1/services/shop/b"));
    orderToLeave(node, core);
    protocol.release();
    const std::string response = waiting.readAll();
    EXPECT_TRUE(isRefusedAsLeaving(response)) << response;
}

// Guards against a caller that reads nothing and holds the process until the limit.
TEST(PlannedStopTest, callerThatReadsNothingIsCutAndReported)
{
    FakeCore core([](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event))
            actions.emplace_back(
                SendStoredResponse {arrived->handle, 200, {}, std::string(64 << 20, 'x')});
        if (std::holds_alternative<LeaveOrdered>(event))
            actions.emplace_back(Stopped {std::chrono::hours(1)});
    });
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", "/v1/services/shop/a"));
    core.waitForEvents<RequestArrived>(1);
    orderToLeave(node, core);
    EXPECT_TRUE(eventually([&] {
        const std::vector<std::string> lines = node.logLines();
        return std::any_of(lines.begin(), lines.end(), [](const std::string &line) {
            return line.find("ConnectionsClosed") != std::string::npos
                && line.find("\"cut\":1") != std::string::npos
                && line.find("\"unanswered\":0") != std::string::npos;
        });
    }));
}

} // namespace
} // namespace berylridge::test
