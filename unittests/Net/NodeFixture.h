// Hand-written fakes around a real node: a core that calls a test's handler, a target that runs a
// script, and a caller that sends and reads raw bytes.
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

/// Longest wait for something that must happen. No test measures time with it.
inline constexpr std::chrono::seconds testTimeout {20};

/// Waits until the condition holds. Returns false if it doesn't within testTimeout.
bool eventually(const std::function<bool()> &condition);

/// A core that records each event and passes it to a handler.
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

    /// Returns the events of one type received so far.
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

    /// Waits for at least count events of one type.
    template <typename T>
    std::vector<T> waitForEvents(std::size_t count)
    {
        EXPECT_TRUE(eventually([&] { return receivedEvents<T>().size() >= count; }));
        auto found = receivedEvents<T>();
        // Tests access this many elements even after a failure.
        found.resize(std::max(found.size(), count));
        return found;
    }

private:
    EventHandler m_handler;
    mutable std::mutex m_mutex;
    std::vector<Event> m_events;
};

static_assert(DecisionCore<FakeCore>);

/// Returns a handler that dispatches each request to the endpoint once. If the attempt fails after
/// data was sent, the request is rejected with the verdict MayHaveRun, otherwise NotRun.
FakeCore::EventHandler forwardTo(Endpoint endpoint, bool isIdempotent = false);

/// Returns an action that sends a request to an endpoint.
Dispatch makeDispatch(RequestHandle handle, Endpoint endpoint, AttemptNumber attempt = 1);

/// One connection of a FakeTarget, which a test's script uses.
class FakeTargetConnection
{
public:
    explicit FakeTargetConnection(tcp::socket socket)
        : m_socket(std::move(socket))
    {
    }

    /// Reads the next request and returns its head; returns an empty string when the connection
    /// ends.
    std::string readRequest();
    /// Reads until the next request's head has arrived, and leaves the rest of its body unread.
    /// Returns false when the connection ends.
    bool readHead();
    const std::string &body() const { return m_body; }
    /// Returns a field of the last request's head.
    std::string field(const std::string &name) const;
    /// Returns false if the connection is closed.
    bool send(std::string_view bytes);
    /// Waits until the router closes the connection. Returns whether it did.
    bool waitForClose();
    /// Closes the sending direction only.
    void halfClose();
    /// Closes the connection with a TCP reset.
    void reset();

private:
    bool readSome();

    tcp::socket m_socket;
    std::string m_buffer;
    std::string m_head;
    std::string m_body;
};

/// Listens on loopback and runs the script for each connection, on a thread of its own.
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

/// Returns an endpoint on loopback without a listener.
Endpoint closedPort();

/// A caller's connection to the router.
class FakeCaller
{
public:
    explicit FakeCaller(const Endpoint &endpoint);

    void send(std::string_view bytes);
    /// Reads until the text has arrived and returns everything read since the last take(). Fails
    /// the test if the connection ends before.
    std::string readUntil(std::string_view text);
    /// Reads to the end of the connection and returns everything read since the last take().
    std::string readAll();
    /// Returns the bytes read since the last take(), and clears them.
    std::string take() { return std::exchange(m_read, {}); }
    void close();
    /// Closes the sending direction only.
    void halfClose();
    /// Wakes a blocked send; may be called from another thread.
    void shutdown();

private:
    bool readSome();

    asio::io_context m_context;
    tcp::socket m_socket;
    std::string m_read;
};

/// A node that listens on loopback ports chosen by the system.
class TestNode
{
public:
    explicit TestNode(FakeCore &core, const std::function<void(Settings &)> &adjust = {},
                      RpcHandler rpc = {}, WireProtocolHandle protocol = nativeProtocol());
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

/// Returns the native protocol with responses that end with their connection, as other protocols
/// accept them.
WireProtocolHandle protocolWithUnframedResponses();

/// Returns the text of a complete request.
std::string requestText(const std::string &method, const std::string &path,
                        const std::string &fields = {}, const std::string &body = {});

} // namespace berylridge::test
