#include "NodeFixture.h"

#include <array>
#include <boost/asio/write.hpp>

namespace berylridge::test {

namespace {

Settings testSettings()
{
    Settings settings;
    settings.node = NodeId("a1");
    settings.zone = ZoneId("a");
    settings.callers = {"127.0.0.1", 0};
    settings.peers = {"127.0.0.1", 0};
    settings.admin = {"127.0.0.1", 0};
    settings.fleetKey = TestNode::fleetKey;
    return settings;
}

/// Sets a read timeout on the fakes' sockets, so that a failing test ends.
void setReadTimeout(tcp::socket &socket)
{
    const timeval limit {testTimeout.count(), 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

std::size_t contentLength(const std::string &head)
{
    const std::size_t at = head.find("Content-Length: ");
    return at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
}

} // namespace

bool eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

void FakeCore::handle(const Event &event, TimePoint, WallTime, Actions &actions)
{
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(event);
    }
    if (m_handler)
        m_handler(event, actions);
}

Dispatch makeDispatch(RequestHandle handle, Endpoint endpoint, AttemptNumber attempt)
{
    Dispatch dispatch;
    dispatch.handle = handle;
    dispatch.attempt = attempt;
    dispatch.target = TargetId("t");
    dispatch.endpoint = std::move(endpoint);
    dispatch.attemptTimeout = testTimeout;
    dispatch.idleTimeout = testTimeout;
    dispatch.workspace = WorkspaceId("potters");
    return dispatch;
}

FakeCore::EventHandler forwardTo(Endpoint endpoint, bool isIdempotent)
{
    return [endpoint = std::move(endpoint), isIdempotent](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
            Dispatch dispatch = makeDispatch(arrived->handle, endpoint);
            dispatch.resendPolicy = isIdempotent ? ResendPolicy::Allowed : ResendPolicy::Forbidden;
            dispatch.storesResponse = arrived->idempotencyKey.has_value();
            actions.emplace_back(std::move(dispatch));
        }
        if (const auto *failed = std::get_if<AttemptFailed>(&event)) {
            const Verdict verdict = failed->sentAny ? Verdict::MayHaveRun : Verdict::NotRun;
            actions.emplace_back(Refuse {failed->handle, 502, verdict, "the target failed",
                                         "target-failed", std::nullopt});
        }
        if (const auto *disconnected = std::get_if<CallerGone>(&event))
            actions.emplace_back(AbortAttempt {disconnected->handle, 1});
    };
}

bool FakeTargetConnection::readSome()
{
    std::array<char, 4096> bytes {};
    error_code error;
    const std::size_t size = m_socket.read_some(asio::buffer(bytes), error);
    m_buffer.append(bytes.data(), size);
    return !error;
}

bool FakeTargetConnection::readHead()
{
    while (m_buffer.find("\r\n\r\n") == std::string::npos)
        if (!readSome())
            return false;
    return true;
}

std::string FakeTargetConnection::readRequest()
{
    if (!readHead())
        return {};
    const std::size_t end = m_buffer.find("\r\n\r\n");
    const std::size_t length = contentLength(m_buffer.substr(0, end));
    while (m_buffer.size() < end + 4 + length)
        if (!readSome())
            return {};
    m_head = m_buffer.substr(0, end + 2);
    m_body = m_buffer.substr(end + 4, length);
    m_buffer.erase(0, end + 4 + length);
    return m_head;
}

std::string FakeTargetConnection::field(const std::string &name) const
{
    const std::size_t at = m_head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + name.size() + 4;
    return m_head.substr(begin, m_head.find("\r\n", begin) - begin);
}

bool FakeTargetConnection::send(std::string_view bytes)
{
    error_code error;
    asio::write(m_socket, asio::buffer(bytes.data(), bytes.size()), error);
    return !error;
}

bool FakeTargetConnection::waitForClose()
{
    std::array<char, 64> bytes {};
    error_code error;
    m_socket.read_some(asio::buffer(bytes), error);
    return error == asio::error::eof || error == asio::error::connection_reset;
}

void FakeTargetConnection::halfClose()
{
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void FakeTargetConnection::reset()
{
    error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

FakeTarget::FakeTarget(Script script)
    : m_script(std::move(script))
    , m_acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , m_endpoint {"127.0.0.1", m_acceptor.local_endpoint().port()}
    , m_acceptThread([this] { accept(); })
{
}

FakeTarget::~FakeTarget()
{
    // Wakes the blocking accept, which then returns an error.
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_acceptThread.join();
    for (std::thread &thread : m_threads)
        thread.join();
}

void FakeTarget::accept()
{
    while (true) {
        error_code error;
        tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        if (error)
            return;
        setReadTimeout(socket);
        ++m_connections;
        m_threads.emplace_back(
            [this, peer = FakeTargetConnection(std::move(socket))]() mutable { m_script(peer); });
    }
}

Endpoint closedPort()
{
    asio::io_context context;
    const tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

FakeCaller::FakeCaller(const Endpoint &endpoint)
    : m_socket(m_context)
{
    m_socket.connect(*asioEndpoint<tcp>(endpoint));
    setReadTimeout(m_socket);
}

void FakeCaller::send(std::string_view bytes)
{
    error_code ignored; // The router may have closed the connection already, as some tests expect.
    asio::write(m_socket, asio::buffer(bytes.data(), bytes.size()), ignored);
}

bool FakeCaller::readSome()
{
    std::array<char, 65536> bytes {};
    error_code error;
    const std::size_t size = m_socket.read_some(asio::buffer(bytes), error);
    m_read.append(bytes.data(), size);
    EXPECT_NE(error, asio::error::would_block) << "nothing more came; so far: " << m_read;
    return !error;
}

std::string FakeCaller::readUntil(std::string_view text)
{
    while (m_read.find(text) == std::string::npos) {
        if (readSome())
            continue;
        ADD_FAILURE() << "the connection ended before '" << text << "'; got: " << m_read;
        break;
    }
    return m_read;
}

std::string FakeCaller::readAll()
{
    while (readSome()) { }
    return take();
}

void FakeCaller::close()
{
    error_code ignored;
    m_socket.close(ignored);
}

void FakeCaller::halfClose()
{
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void FakeCaller::shutdown()
{
    ::shutdown(m_socket.native_handle(), SHUT_RDWR);
}

TestNode::TestNode(FakeCore &core, const std::function<void(Settings &)> &adjust, RpcHandler rpc,
                   WireProtocolHandle protocol)
    : m_log(LogLevel::Info, [this](LogLevel, const std::string &line) {
        const std::lock_guard lock(m_mutex);
        m_lines.push_back(line);
    })
{
    Settings settings = testSettings();
    if (adjust)
        adjust(settings);
    auto node = RouterNodeBuilder(settings, 7, m_log)
                    .core(CoreHandle::of(core))
                    .rpc(std::move(rpc))
                    .protocol(std::move(protocol))
                    .build();
    EXPECT_TRUE(node) << node.failureReason();
    m_node = std::move(*node);
    m_thread = std::thread([this] { m_node->run(); });
}

TestNode::~TestNode()
{
    m_node->stop();
    m_thread.join();
}

std::vector<std::string> TestNode::logLines() const
{
    const std::lock_guard lock(m_mutex);
    return m_lines;
}

WireProtocolHandle protocolWithUnframedResponses()
{
    WireProtocolHandle protocol = nativeProtocol();
    protocol.traits.streamsEndWithDoneEvent = false;
    protocol.traits.acceptsUnframedResponses = true;
    return protocol;
}

std::string requestText(const std::string &method, const std::string &path,
                        const std::string &fields, const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: router\r\n";
    text += "Authorization: Bearer key\r\n" + fields;
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

} // namespace berylridge::test
