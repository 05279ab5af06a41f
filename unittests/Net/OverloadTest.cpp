// Tests a node that receives more connections than it can serve.
#include "CallerListener.h"
#include "NodeFixture.h"
#include "TrafficThread.h"
#include "berylridge/Support/Hash.h"

#include <cerrno>
#include <list>
#include <poll.h>
#include <vector>

namespace berylridge::test {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t floodSize = 200;
constexpr const char *path = "/v1/services/shop/orders";

/// A listener on a traffic thread whose event loop iterations the test runs one at a time.
class SteppedTrafficThreadTest : public ::testing::Test
{
protected:
    SteppedTrafficThreadTest()
    {
        m_options.acceptedLag = 30ms;
        m_options.now = [this] { return clock.now(); };
        m_options.report = [this](std::vector<Event> &events) {
            reported.insert(reported.end(), events.begin(), events.end());
        };
        m_threads.push_back(std::make_unique<TrafficThread>(0, m_options, metrics, targetHolds));
        m_listener = std::make_unique<CallerListener>(m_threads, [](const LogRecord &) {});
        EXPECT_EQ(m_listener->listen({"127.0.0.1", 0}), "");
    }

    Endpoint endpoint() const { return m_listener->endpoint(); }
    TrafficThread &thread() { return *m_threads.front(); }
    asio::io_context &context() { return thread().context(); }

    ManualClock clock;
    Metrics metrics;
    TargetHolds targetHolds;
    std::vector<Event> reported;

private:
    TrafficOptions m_options;
    std::vector<std::unique_ptr<TrafficThread>> m_threads;
    std::unique_ptr<CallerListener> m_listener;
};

// Guards against a listen queue that grows without bound because connections are accepted more
// slowly than they arrive.
TEST_F(SteppedTrafficThreadTest, acceptsAllPendingConnectionsInOneIteration)
{
    std::list<FakeCaller> callers;
    for (std::size_t i = 0; i < floodSize; ++i)
        callers.emplace_back(endpoint());
    context().run_one();
    EXPECT_EQ(metrics.connectionsAccepted, floodSize);
}

// Guards against a listen queue so long that callers time out before an overloaded thread accepts
// them.
TEST_F(SteppedTrafficThreadTest, connectionsBeyondTheBacklogAreNotAccepted)
{
    asio::io_context io;
    std::list<tcp::socket> sockets;
    std::size_t connected = 0;
    for (std::size_t i = 0; i < 1000; ++i) {
        tcp::socket &socket = sockets.emplace_back(io, tcp::v4());
        socket.non_blocking(true);
        const tcp::endpoint to = *asioEndpoint<tcp>(endpoint()); // Asio's connect() would block.
        const int result
            = ::connect(socket.native_handle(), to.data(), static_cast<socklen_t>(to.size()));
        ASSERT_TRUE(result == 0 || errno == EINPROGRESS);
        pollfd state {socket.native_handle(), POLLOUT, 0};
        connected += ::poll(&state, 1, 0) == 1 ? 1 : 0;
    }
    EXPECT_GE(connected, floodSize);
    EXPECT_LE(connected, 2 * floodSize);
}

// Guards against work for callers that timed out while their connections waited to be accepted.
TEST_F(SteppedTrafficThreadTest, requestsOfDisconnectedCallersAreDropped)
{
    for (std::size_t i = 0; i < floodSize; ++i) {
        FakeCaller disconnected(endpoint());
        disconnected.send(requestText("POST", path, {}, "clay"));
        disconnected.close();
    }
    FakeCaller waiting(endpoint());
    waiting.send(requestText("POST", path, {}, "clay"));
    while (reported.empty())
        context().run_one();
    context().poll();
    EXPECT_EQ(reported.size(), 1U);
    EXPECT_EQ(metrics.requestsReadAfterDisconnect, floodSize);
}

// Guards against rejections that cost an overloaded thread as much as served requests: they must be
// sent when the head is read, without the body and without the core.
TEST_F(SteppedTrafficThreadTest, overloadedThreadRejectsAfterReadingTheHead)
{
    for (int i = 0; i < 10; ++i)
        thread().onLag(1s);
    const std::string head = "POST " + std::string(path)
        + " HTTP/1.1\r\nHost: router\r\nX-Request-Id: r1\r\n"
        + "Authorization: Bearer key\r\nContent-Length: 1000000\r\n\r\n";
    std::list<FakeCaller> callers;
    for (std::size_t i = 0; i < floodSize; ++i) {
        callers.emplace_back(endpoint());
        callers.back().send(head); // The first requests of a credential are always admitted.
    }
    while (metrics.connectionsOpen < callers.size())
        context().run_one();
    context().poll();
    const std::string response = callers.back().readUntil("the router has more to do than it can");
    EXPECT_NE(response.find("503"), std::string::npos) << response;
    EXPECT_NE(response.find("Retry-After"), std::string::npos) << response;
    EXPECT_NE(response.find("X-Request-Id: r1"), std::string::npos) << response;
    EXPECT_NE(response.find("Connection: close"), std::string::npos) << response;
    for (const Event &event : reported)
        EXPECT_TRUE(std::holds_alternative<TrafficThreadReport>(event));
}

// Guards against a flood that comes back sooner because a busy thread rejects it in the core's
// place, and against requests without a prompt, which no share limits, being taken for its part.
TEST_F(SteppedTrafficThreadTest, overloadedThreadRepeatsTheRetryAfterOfTheCore)
{
    const CallerIdentity flood {"r1", "key", true};
    EXPECT_EQ(thread().overloadProblem(flood).type, "busy");
    for (int i = 0; i < 10; ++i)
        thread().onOverShare(hash32("key"), 500ms);
    const Problem repeated = thread().overloadProblem(flood);
    EXPECT_EQ(repeated.type, "probably-rejected");
    EXPECT_GE(repeated.retryAfter, std::optional<Duration>(500ms));
    EXPECT_EQ(thread().overloadProblem({"r2", "key", false}).type, "busy");
    EXPECT_EQ(thread().overloadProblem({"r3", "other", true}).type, "busy");
}

// Guards against a workspace within its share that is passed ever fewer requests, because the core
// rejects most of them for lack of room.
TEST_F(SteppedTrafficThreadTest, onlyRejectionsOverTheShareArePredicted)
{
    const CallerIdentity caller {"r1", "key", true};
    std::list<FakeCaller> callers;
    const auto rejectRequests = [&](bool isOverShare) {
        for (int i = 0; i < 10; ++i) {
            callers.emplace_back(endpoint());
            callers.back().send(requestText("POST", path, "Authorization: Bearer key\r\n", "clay"));
            reported.clear();
            while (reported.empty())
                context().run_one();
            const auto &arrived = std::get<RequestArrived>(reported.front());
            thread().sendCommand(Refuse {arrived.handle, 503, Verdict::NotRun, "rejected",
                                         "rejected", 500ms, isOverShare});
            callers.back().shutdown();
            context().poll();
        }
        return thread().overloadProblem(caller).type;
    };
    EXPECT_EQ(rejectRequests(false), "busy");
    EXPECT_EQ(rejectRequests(true), "probably-rejected");
}

// Guards against a flood over its share that is read in full until it uses up the processor of a
// node, which then sheds requests that the core would accept.
TEST_F(SteppedTrafficThreadTest, lateThreadShedsPredictedRejectionsBeforeAnyOther)
{
    const CallerIdentity flood {"r1", "key", true};
    const CallerIdentity other {"r2", "other", true};
    for (int i = 0; i < 10; ++i)
        thread().onOverShare(hash32("key"), 500ms);
    const auto shedOf = [&](const CallerIdentity &caller) {
        int shed = 0;
        for (int i = 0; i < 10; ++i)
            shed += thread().sheds(caller) ? 1 : 0;
        return shed;
    };
    clock.advance(1s);
    thread().onLag(0ms);
    EXPECT_EQ(shedOf(flood), 0);
    thread().onLag(20ms);
    EXPECT_TRUE(thread().isShedding());
    EXPECT_GE(shedOf(flood), 9);
    EXPECT_EQ(shedOf(other), 0);
}

// Guards against rejections that use almost all processor time of an overloaded thread: each may
// take only one event loop iteration.
TEST_F(SteppedTrafficThreadTest, overloadedThreadRejectsInOneIteration)
{
    for (int i = 0; i < 10; ++i)
        thread().onLag(100ms);
    std::list<FakeCaller> callers;
    for (std::size_t i = 0; i < floodSize; ++i) {
        callers.emplace_back(endpoint());
        callers.back().send(requestText("POST", path, {}, "clay"));
    }
    std::size_t iterations = 0;
    while (metrics.connectionsAccepted < floodSize)
        iterations += context().run_one();
    iterations += context().poll();
    EXPECT_LE(iterations, floodSize + floodSize / 4);
    const std::string response = callers.back().readUntil("the router has more to do than it can");
    EXPECT_NE(response.find("503"), std::string::npos) << response;
    EXPECT_NE(response.find("Retry-After"), std::string::npos) << response;
}

} // namespace
} // namespace berylridge::test
