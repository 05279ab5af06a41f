// Fakes by hand around a real node: a core that follows a test's rules, a target that answers by a
// script, and a caller that sends and reads bytes as they are.
#pragma once

#include "berylridge/Net/Asio.h"

#include "berylridge/Net/RouterNode.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace berylridge::test {

/// Longest wait for something that must happen; never a measure of time.
inline constexpr std::chrono::seconds testTimeout {20};

/// Waits until the condition holds; false if it doesn't within testTimeout.
bool eventually(const std::function<bool()> &condition);

/// A core that passes each event to a handler and remembers all of them.
class FakeCore
{
public:
    using EventHandler = std::function<void(const Event &, Actions &)>;

    explicit FakeCore(EventHandler handler = {})
        : m_handler(std::move(handler))
    {
    }

    void handle(const Event &event, TimePoint now, WallTime wall, Actions &actions);
    TimePoint nextTimer() const { return TimePoint::max(); }

    /// The events of a kind so far.
    template <typename T>
    std::vector<T> receivedEvents() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<T> found;
        for (const Event &event : m_events)
            if (const T *match = std::get_if<T>(&event))
                found.push_back(*match);
        return found;
    }

    /// Waits for so many events of a kind.
    template <typename T>
    std::vector<T> waitForEvents(std::size_t count)
    {
        EXPECT_TRUE(eventually([&] { return receivedEvents<T>().size() >= count; }));
        auto found = receivedEvents<T>();
        found.resize(std::max(found.size(), count)); // Tests go on to look at so many.
        return found;
    }

private:
    EventHandler m_handler;
    mutable std::mutex m_mutex;
    std::vector<Event> m_events;
};

static_assert(DecisionCore<FakeCore>);

/// A handler that sends each request to the endpoint, once; a failure is refused as may-have-run.
FakeCore::EventHandler forwardTo(Endpoint endpoint, bool isIdempotent = false);

/// The order that sends a request to an endpoint.
Dispatch makeDispatch(RequestHandle handle, Endpoint endpoint, AttemptNumber attempt = 1);

/// One connection of a target under a test's script.
class FakeTargetConnection
{
public:
    explicit FakeTargetConnection(tcp::socket socket)
        : m_socket(std::move(socket))
    {
    }

    /// The head of the next request, its body taken too; empty at the end of the connection.
    std::string readRequest();
    const std::string &body() const { return m_body; }
    /// A field of the last request's head.
    std::string field(const std::string &name) const;
    /// False where the connection is gone.
    bool send(std::string_view bytes);
    /// Waits until the router has closed the connection.
    bool waitForClose();
    /// Closes with a reset.
    void reset();

private:
    tcp::socket m_socket;
    std::string m_buffer;
    std::string m_head;
    std::string m_body;
};

/// Listens on loopback and runs the script once for each connection, on a thread of its own.
class FakeTarget
{
public:
    using Script = std::function<void(FakeTargetConnection &)>;

    explicit FakeTarget(Script script);
    ~FakeTarget();
    FakeTarget(const FakeTarget &) = delete;
    FakeTarget &operator=(const FakeTarget &) = delete;

    Endpoint endpoint() const { return m_endpoint; }
    int connections() const { return m_connections; }

private:
    void accept();

    Script m_script;
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    Endpoint m_endpoint;
    std::atomic<int> m_connections {0};
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
};

/// A port on loopback where nobody listens.
Endpoint closedPort();

/// A caller's connection.
class FakeCaller
{
public:
    explicit FakeCaller(const Endpoint &endpoint);

    void send(std::string_view bytes);
    /// Reads until the text has arrived; all that was read so far. Fails the test at an early end.
    std::string readUntil(std::string_view text);
    /// Reads to the end of the connection; all that was read since the last take().
    std::string readAll();
    /// What was read and not yet taken; begins anew.
    std::string take() { return std::exchange(m_read, {}); }
    void close();
    /// Sends nothing more, but still reads.
    void halfClose();
    /// From another thread too: wakes a blocked send.
    void shutdown();

private:
    bool readSome();

    asio::io_context m_context;
    tcp::socket m_socket;
    std::string m_read;
};

/// A node on loopback ports of the system's choice.
class TestNode
{
public:
    explicit TestNode(FakeCore &core, const std::function<void(Settings &)> &adjust = {},
                      RpcHandler rpc = {});
    ~TestNode();
    TestNode(const TestNode &) = delete;
    TestNode &operator=(const TestNode &) = delete;

    RouterNode &node() { return *m_node; }
    FakeCaller caller() const { return FakeCaller(m_node->callers()); }
    std::vector<std::string> logLines() const;

    static constexpr const char *fleetKey = "0123456789abcdef0123456789abcdef";

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_lines;
    LogSink m_log;
    std::unique_ptr<RouterNode> m_node;
    std::thread m_thread;
};

/// A whole request of a caller.
std::string requestText(const std::string &method, const std::string &path,
                        const std::string &fields = {}, const std::string &body = {});

} // namespace berylridge::test
