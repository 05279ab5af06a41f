// A node to which more connections come than it can serve.
#include "CallerListener.h"
#include "NodeFixture.h"
#include "TrafficThread.h"

#include <list>
#include <vector>

namespace berylridge::test {
namespace {

constexpr std::size_t flood = 200;
constexpr const char *path = "/v1/services/shop/orders";

/// A listener on a traffic thread whose turns the test takes one by one.
class HeldThreadTest : public ::testing::Test
{
protected:
    HeldThreadTest()
    {
        m_options.report = [this](std::vector<Event> &events) {
            reported.insert(reported.end(), events.begin(), events.end());
        };
        m_threads.push_back(std::make_unique<TrafficThread>(0, m_options, metrics));
        m_listener = std::make_unique<CallerListener>(m_threads, [](const LogRecord &) {});
        EXPECT_EQ(m_listener->listen({"127.0.0.1", 0}), "");
    }

    Endpoint endpoint() const { return m_listener->endpoint(); }
    TrafficThread &thread() { return *m_threads.front(); }
    asio::io_context &context() { return thread().context(); }

    Metrics metrics;
    std::vector<Event> reported;

private:
    TrafficOptions m_options;
    std::vector<std::unique_ptr<TrafficThread>> m_threads;
    std::unique_ptr<CallerListener> m_listener;
};

// Guards against a listen queue that only grows: connections taken more slowly than they come.
TEST_F(HeldThreadTest, takesAllConnectionsThatWaitInOneTurn)
{
    std::list<FakeCaller> callers;
    for (std::size_t i = 0; i < flood; ++i)
        callers.emplace_back(endpoint());
    context().run_one();
    EXPECT_EQ(metrics.connectionsAccepted, flood);
}

// Guards against work for callers that gave up while their connections waited to be taken.
TEST_F(HeldThreadTest, requestsOfCallersThatLeftInTheQueueAreDropped)
{
    for (std::size_t i = 0; i < flood; ++i) {
        FakeCaller left(endpoint());
        left.send(requestText("POST", path, {}, "clay"));
        left.close();
    }
    FakeCaller waiting(endpoint());
    waiting.send(requestText("POST", path, {}, "clay"));
    while (metrics.requestsReceived == 0 || reported.empty())
        context().run_one();
    context().poll();
    EXPECT_EQ(reported.size(), 1U);
    EXPECT_EQ(metrics.callersGoneUnread, flood);
}

} // namespace
} // namespace berylridge::test
