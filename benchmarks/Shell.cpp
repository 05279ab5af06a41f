// Measures the cost of the I/O shell without decisions: processor time per request on the traffic
// and the control thread, added latency, cost of a streamed event, and memory of idle connections
// and waiting requests.
#include "berylridge/Net/RouterNode.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace berylridge;

namespace {

constexpr int callers = 8;
constexpr int requestsPerCaller = 4000;
constexpr int streamedEvents = 5000; ///< Sent 0.2 ms apart, so that each is relayed alone.
constexpr int idleCallers = 2000;
constexpr int waitingCallers = 1000;
constexpr const char *getRequest = "GET /v1/services/shop/x HTTP/1.1\r\nHost: r\r\n\r\n";
constexpr const char *postRequest
    = "POST /v1/services/shop/x HTTP/1.1\r\nHost: r\r\nContent-Length: 4\r\n\r\nclay";
constexpr const char *streamRequest = "GET /v1/services/shop/stream HTTP/1.1\r\nHost: r\r\n\r\n";
constexpr const char *targetResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Dispatches every request to one target, or holds it if isHoldingRequests.
class ForwardingCore
{
public:
    explicit ForwardingCore(Endpoint target)
        : m_target(std::move(target))
    {
    }

    void handle(const Event &event, TimePoint, WallTime, Actions &actions)
    {
        const auto *arrived = std::get_if<RequestArrived>(&event);
        if (arrived == nullptr || isHoldingRequests)
            return;
        Dispatch dispatch;
        dispatch.handle = arrived->handle;
        dispatch.attempt = 1;
        dispatch.endpoint = m_target;
        dispatch.attemptTimeout = std::chrono::seconds(60);
        dispatch.idleTimeout = std::chrono::seconds(60);
        dispatch.resendPolicy
            = arrived->method == "GET" ? ResendPolicy::Allowed : ResendPolicy::Forbidden;
        actions.emplace_back(std::move(dispatch));
    }
    TimePoint nextTimer() const { return TimePoint::max(); }

    std::atomic<bool> isHoldingRequests {false}; // NOLINT: set by the benchmark

private:
    Endpoint m_target;
};

/// Responds to each request immediately, with one thread per connection.
class FastTarget
{
public:
    FastTarget()
        : m_acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        std::thread([this] { accept(); }).detach(); // Runs until the process exits.
    }

    Endpoint endpoint() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

private:
    void accept()
    {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(m_context);
            m_acceptor.accept(*socket);
            std::thread([socket] { serve(*socket); }).detach();
        }
    }

    static void serve(tcp::socket &socket)
    {
        std::array<char, 4096> bytes {};
        boost::system::error_code error;
        socket.set_option(tcp::no_delay(true));
        while (true) {
            const std::size_t size = socket.read_some(asio::buffer(bytes), error);
            if (error)
                return;
            const std::string_view text(bytes.data(), size);
            if (text.starts_with("GET /stream"))
                stream(socket);
            else
                asio::write(socket, asio::buffer(targetResponse, std::strlen(targetResponse)),
                            error);
        }
    }

    static void stream(tcp::socket &socket)
    {
        boost::system::error_code error;
        const auto send
            = [&](const std::string &text) { asio::write(socket, asio::buffer(text), error); };
        send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= streamedEvents; ++i) {
            std::ostringstream chunk;
            const std::string event = "id: " + std::to_string(i) + "\ndata: token\n\n";
            chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
            send(chunk.str());
            std::this_thread::sleep_for(std::chrono::microseconds(200));
        }
        send("e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n");
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
};

/// A blocking client.
class Caller
{
public:
    explicit Caller(const Endpoint &endpoint)
        : m_socket(m_context)
    {
        m_socket.connect({asio::ip::make_address(endpoint.address), endpoint.port});
        m_socket.set_option(tcp::no_delay(true));
    }

    void send(std::string_view text)
    {
        asio::write(m_socket, asio::buffer(text.data(), text.size()));
    }

    void readUntil(std::string_view end)
    {
        std::string text;
        std::array<char, 65536> bytes {};
        while (!text.ends_with(end)) {
            text.append(bytes.data(), m_socket.read_some(asio::buffer(bytes)));
            if (text.size() > bytes.size())
                text.erase(0, text.size() - end.size());
        }
    }

private:
    asio::io_context m_context {1};
    tcp::socket m_socket;
};

/// Returns the processor time, in seconds, of this process's threads whose name has the prefix.
double threadSeconds(const std::string &prefix)
{
    double seconds = 0;
    for (const auto &task : std::filesystem::directory_iterator("/proc/self/task")) {
        std::string name;
        std::ifstream(task.path() / "comm") >> name;
        double nanoseconds = 0;
        if (name.starts_with(prefix) && std::ifstream(task.path() / "schedstat") >> nanoseconds)
            seconds += nanoseconds * 1e-9;
    }
    return seconds;
}

/// Returns the resident memory of this process in kilobytes.
long residentKb()
{
    std::ifstream status("/proc/self/status");
    for (std::string word; status >> word;) {
        long kb = 0;
        if (word == "VmRSS:" && status >> kb)
            return kb;
    }
    return 0;
}

/// Returns the latency of each request in microseconds, sorted.
std::vector<double> measureLatencies(const Endpoint &endpoint, const char *request, int count)
{
    Caller caller(endpoint);
    std::vector<double> all;
    all.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        const auto start = std::chrono::steady_clock::now();
        caller.send(request);
        caller.readUntil("ok");
        all.push_back(
            std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start)
                .count());
    }
    std::sort(all.begin(), all.end());
    return all;
}

void printLatency(const char *name, const std::vector<double> &sorted)
{
    std::cout << "latency " << name << ": p50 " << sorted[sorted.size() / 2] << " us, p99 "
              << sorted[sorted.size() * 99 / 100] << " us\n";
}

/// Runs the work and prints the processor time of each router thread per operation.
void measure(const char *name, int operationCount, const std::function<void()> &work)
{
    const double traffic = threadSeconds("traffic");
    const double control = threadSeconds("control");
    const auto start = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double> wall = std::chrono::steady_clock::now() - start;
    std::cout << name << ": traffic " << (threadSeconds("traffic") - traffic) / operationCount * 1e6
              << " us, control " << (threadSeconds("control") - control) / operationCount * 1e6
              << " us each, " << operationCount / wall.count() << " per second\n";
}

void runCallers(const Endpoint &endpoint, const char *request)
{
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int i = 0; i < callers; ++i)
        threads.emplace_back([&] { measureLatencies(endpoint, request, requestsPerCaller); });
    for (std::thread &thread : threads)
        thread.join();
}

std::vector<std::unique_ptr<Caller>> connect(const Endpoint &endpoint, int count)
{
    std::vector<std::unique_ptr<Caller>> all;
    all.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        all.push_back(std::make_unique<Caller>(endpoint));
    return all;
}

void measureMemory(RouterNode &node, ForwardingCore &core)
{
    // The callers' objects are in this process too, so their memory is measured first, alone.
    static FastTarget baselineTarget; // Its threads run until the process exits.
    const long before = residentKb();
    const auto baselineCallers = connect(baselineTarget.endpoint(), 200);
    const double callerKb = static_cast<double>(residentKb() - before) / 200;
    const long start = residentKb();
    const auto idleConnections = connect(node.callers(), idleCallers);
    while (node.metrics().connectionsOpen < idleCallers)
        std::this_thread::yield();
    const double idleKb = static_cast<double>(residentKb() - start) / idleCallers;
    std::cout << "idle connection: " << idleKb
              << " kB with its caller; a caller (and its thread at "
              << "a target) alone " << callerKb << " kB\n";
    core.isHoldingRequests = true;
    const long waitStart = residentKb();
    const auto received = node.metrics().requestsReceived.load();
    for (int i = 0; i < waitingCallers; ++i)
        idleConnections[static_cast<std::size_t>(i)]->send(postRequest);
    while (node.metrics().requestsReceived < received + waitingCallers)
        std::this_thread::yield();
    std::cout << "1000 waiting requests: " << residentKb() - waitStart << " kB\n";
}

} // namespace

int main()
{
    FastTarget target;
    ForwardingCore core(target.endpoint());
    LogSink log(LogLevel::Error, [](LogLevel, const std::string &) {});
    Settings settings;
    settings.node = NodeId("bench");
    settings.callers = settings.peers = settings.admin = {"127.0.0.1", 0};
    settings.fleetKey = std::string(32, 'k');
    settings.trafficThreads = 1;
    auto built = RouterNodeBuilder(settings, 1, log).core(CoreHandle::of(core)).build();
    if (!built) {
        std::cerr << built.failureReason() << "\n";
        return 1;
    }
    RouterNode &node = **built;
    std::thread control([&] { node.run(); });
    std::cout << std::fixed << std::setprecision(2);

    constexpr int total = callers * requestsPerCaller;
    measure("GET on kept-alive connections", total,
            [&] { runCallers(node.callers(), getRequest); });
    measure("POST on new connections", total, [&] { runCallers(node.callers(), postRequest); });
    measure("streamed event", streamedEvents, [&] {
        Caller caller(node.callers());
        caller.send(streamRequest);
        caller.readUntil("0\r\n\r\n");
    });
    printLatency("direct", measureLatencies(target.endpoint(), getRequest, requestsPerCaller));
    printLatency("through the router",
                 measureLatencies(node.callers(), getRequest, requestsPerCaller));
    measureMemory(node, core);
    std::cout.flush();
    node.stop();
    control.join();
    std::_Exit(0); // The target's threads can't be joined: they run until the process exits.
}
