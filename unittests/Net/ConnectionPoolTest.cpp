// Tests which idle connections a request may use.
#include "ConnectionPool.h"

#include <gtest/gtest.h>

namespace berylridge::test {
namespace {

using namespace std::chrono_literals;

const Endpoint target {"127.0.0.1", 1};

class ConnectionPoolTest : public ::testing::Test
{
protected:
    /// Returns one end of a connection; the other end stays open in `peers`.
    tcp::socket connected()
    {
        tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
        tcp::socket socket(context);
        socket.connect(acceptor.local_endpoint());
        peers.push_back(acceptor.accept());
        return socket;
    }

    void putConnection(std::optional<std::chrono::seconds> announced)
    {
        pool.put(target, connected(), announced, 8, now);
    }

    bool hasConnectionFor(ResendPolicy resendPolicy)
    {
        return pool.take(target, resendPolicy, now).has_value();
    }

    asio::io_context context;
    std::vector<tcp::socket> peers;
    ConnectionPool pool;
    ConnectionPool::Clock::time_point now = ConnectionPool::Clock::now();
};

// Guards against requests with unknown outcome: a target closes a connection as idle while a
// purchase is on its way. A purchase must not be resent, so it uses a connection only in the first
// half of the announced idle timeout; a lookup may be resent and uses it for longer.
TEST_F(ConnectionPoolTest, NonResendableRequestUsesOnlyTheFirstHalfOfTheIdleTimeout)
{
    putConnection(4s);
    now += 1900ms;
    EXPECT_TRUE(hasConnectionFor(ResendPolicy::Forbidden));
    putConnection(4s);
    now += 2100ms;
    EXPECT_FALSE(hasConnectionFor(ResendPolicy::Forbidden));
    EXPECT_TRUE(hasConnectionFor(ResendPolicy::Allowed));
    putConnection(4s);
    now += 3300ms;
    EXPECT_FALSE(hasConnectionFor(ResendPolicy::Allowed));
}

// Servers announce whole seconds, so a target that announces nothing may close a connection within
// one second.
TEST_F(ConnectionPoolTest, NonResendableRequestUsesUnannouncedConnectionOnlyBriefly)
{
    putConnection(std::nullopt);
    now += 200ms;
    EXPECT_TRUE(hasConnectionFor(ResendPolicy::Forbidden));
    putConnection(std::nullopt);
    now += 300ms;
    EXPECT_FALSE(hasConnectionFor(ResendPolicy::Forbidden));
    EXPECT_TRUE(hasConnectionFor(ResendPolicy::Allowed));
}

TEST_F(ConnectionPoolTest, ClosedConnectionIsNotReused)
{
    putConnection(10s);
    peers.clear();
    EXPECT_FALSE(hasConnectionFor(ResendPolicy::Allowed));
}

// Guards against requests that use connections to a failed target: after one connection broke, the
// next request opens a new one, which fails before anything is sent if the target is down.
TEST_F(ConnectionPoolTest, DropClosesAllConnectionsToTheTarget)
{
    putConnection(10s);
    putConnection(10s);
    pool.drop(target);
    EXPECT_FALSE(hasConnectionFor(ResendPolicy::Allowed));
}

TEST_F(ConnectionPoolTest, PoolSizeIsLimited)
{
    for (int i = 0; i < 3; ++i)
        pool.put(target, connected(), 10s, 2, now);
    EXPECT_TRUE(hasConnectionFor(ResendPolicy::Allowed));
    EXPECT_TRUE(hasConnectionFor(ResendPolicy::Allowed));
    EXPECT_FALSE(hasConnectionFor(ResendPolicy::Allowed));
}

TEST(AnnouncedIdleTimeout, IsParsedFromTheKeepAliveField)
{
    http::fields head;
    EXPECT_FALSE(announcedIdleTimeout(head));
    head.set(http::field::keep_alive, "timeout=10, max=100");
    EXPECT_EQ(announcedIdleTimeout(head), 10s);
    head.set(http::field::keep_alive, "timeout=soon");
    EXPECT_FALSE(announcedIdleTimeout(head));
}

} // namespace
} // namespace berylridge::test
