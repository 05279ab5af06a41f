#include "HttpListener.h"

#include "ReclaimCandidates.h"
#include "RequestParser.h"
#include "berylridge/Policy/Reclaim.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

namespace berylridge {

namespace {

/// Delay after a failed accept. If the process has no free file descriptors, an immediate retry
/// would fail again and use up processor time.
constexpr std::chrono::milliseconds acceptRetryDelay {100};
/// Maximum size of a request's head, a chunk's head or a trailer. Beast throws at a larger field.
constexpr std::size_t maxBufferBytes = 64 << 10;
/// Fraction of the connection limit that is reclaimed at once.
constexpr std::uint32_t reclaimedConnectionsDivisor = 32;

} // namespace

struct HttpListener::Shared
{
    ListenerLimits limits;
    Handler handler;
    std::unordered_set<Session *> sessions; ///< Whose connections are open.
    std::size_t heldBytes = 0;              ///< Of the requests that are being received.
    std::uint64_t reclaimedConnections = 0;
    bool isOpen = true; ///< False after the listener is destroyed; sessions then end.

    MemoryUse memory() const
    {
        return {heldBytes, std::max(limits.memoryLimit, limits.bodyLimit / 2 * 3)};
    }
    void reclaimConnections();
    void reclaimMemory();
};

class HttpListener::Session : public std::enable_shared_from_this<Session>
{
public:
    using Clock = std::chrono::steady_clock;

    Session(tcp::socket socket, std::shared_ptr<Shared> shared)
        : m_stream(std::move(socket))
        , m_shared(std::move(shared))
    {
        m_shared->sessions.insert(this);
    }
    ~Session() { leave(); }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(m_shared->limits.bodyLimit);
        m_parser->eager(true);
        m_isResponding = false;
        m_readSince = Clock::now();
        m_stream.expires_after(m_shared->limits.idleTimeout);
        readSome();
    }

    /// Returns the request that is being received; nothing while a response is sent.
    std::optional<PartialRequest> partialRequest() const
    {
        if (m_isResponding)
            return std::nullopt;
        return PartialRequest {0, m_heldBytes, age()};
    }
    /// Returns the state of the connection; nothing while a response is sent.
    std::optional<WaitingConnection> waitingConnection() const
    {
        if (m_isResponding)
            return std::nullopt;
        const ConnectionUse idle = m_hadRequest ? ConnectionUse::KeptAlive : ConnectionUse::Unused;
        return WaitingConnection {m_parser->got_some() ? ConnectionUse::Receiving : idle, age()};
    }
    void close()
    {
        ++m_shared->reclaimedConnections;
        leave();
        m_stream.close();
    }

private:
    Duration age() const
    {
        return std::chrono::duration_cast<Duration>(Clock::now() - m_readSince);
    }

    void leave()
    {
        hold(0);
        m_shared->sessions.erase(this);
    }

    void hold(std::size_t bytes)
    {
        m_shared->heldBytes += bytes - m_heldBytes;
        m_heldBytes = bytes;
    }

    void readSome()
    {
        http::async_read_some(m_stream, m_buffer, *m_parser,
                              [self = shared_from_this()](error_code error, std::size_t) {
                                  if (!error && self->m_shared->isOpen)
                                      self->onRead();
                              });
    }

    void onRead()
    {
        hold(m_buffer.capacity() + m_parser->memoryBytes());
        m_shared->reclaimMemory();
        if (!m_stream.socket().is_open())
            return;
        if (m_parser->is_done())
            respond();
        else
            readSome();
    }

    void respond()
    {
        m_isResponding = true;
        m_hadRequest = true;
        m_response = m_shared->handler(m_parser->get());
        m_response.version(11);
        m_response.keep_alive(m_parser->get().keep_alive());
        m_response.prepare_payload();
        m_parser.reset();
        if (m_buffer.size() == 0)
            m_buffer.shrink_to_fit();
        hold(m_buffer.capacity());
        http::async_write(m_stream, m_response,
                          [self = shared_from_this()](error_code error, std::size_t) {
                              if (!error && self->m_response.keep_alive() && self->m_shared->isOpen)
                                  self->read();
                          });
    }

    beast::tcp_stream m_stream;
    std::shared_ptr<Shared> m_shared;
    beast::flat_buffer m_buffer {maxBufferBytes};
    std::optional<RequestParser> m_parser;
    StringResponse m_response;
    std::size_t m_heldBytes = 0;
    Clock::time_point m_readSince; ///< Start of the idle time before a request.
    bool m_isResponding = false;
    bool m_hadRequest = false;
};

/// Closes connections without a complete request if a new one would exceed the limit.
void HttpListener::Shared::reclaimConnections()
{
    if (sessions.size() < limits.connectionLimit)
        return;
    const ReclaimCandidates candidates(sessions, &Session::waitingConnection);
    const std::size_t count = 1 + limits.connectionLimit / reclaimedConnectionsDivisor;
    for (const std::size_t index : selectConnectionsToClose(candidates.states, count))
        candidates.sessions[index]->close();
}

/// Closes connections whose requests exceed the memory together.
void HttpListener::Shared::reclaimMemory()
{
    if (!memory().isReclaimNeeded())
        return;
    const ReclaimCandidates candidates(sessions, &Session::partialRequest);
    for (const std::size_t index : selectRequestsToDrop(candidates.states, memory()))
        candidates.sessions[index]->close();
}

HttpListener::HttpListener(asio::io_context &context, ListenerLimits limits, Handler handler)
    : m_acceptor(context)
    , m_retryTimer(context)
    , m_shared(std::make_shared<Shared>())
{
    m_shared->limits = limits;
    m_shared->handler = std::move(handler);
}

HttpListener::~HttpListener()
{
    m_shared->isOpen = false;
    m_shared->handler = nullptr;
}

std::string HttpListener::listen(const Endpoint &endpoint)
{
    std::string reason = openAcceptor(m_acceptor, endpoint);
    if (reason.empty())
        accept();
    return reason;
}

std::uint64_t HttpListener::reclaimedConnections() const
{
    return m_shared->reclaimedConnections;
}

Endpoint HttpListener::endpoint() const
{
    return boundEndpoint(m_acceptor);
}

void HttpListener::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            m_retryTimer.expires_after(acceptRetryDelay);
            m_retryTimer.async_wait([this](error_code waitError) {
                if (!waitError)
                    accept();
            });
            return;
        }
        m_shared->reclaimConnections();
        if (m_shared->sessions.size() < m_shared->limits.connectionLimit)
            std::make_shared<Session>(std::move(socket), m_shared)->read();
        accept();
    });
}

std::string openAcceptor(tcp::acceptor &acceptor, const Endpoint &endpoint, int backlog)
{
    const auto tcpEndpoint = asioEndpoint<tcp>(endpoint);
    if (!tcpEndpoint)
        return tcpEndpoint.failureReason();
    error_code error;
    acceptor.open(tcpEndpoint->protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(*tcpEndpoint, error);
    if (!error)
        acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), error);
    if (!error)
        acceptor.listen(backlog, error);
    if (!error)
        return {};
    return endpoint.address + ":" + std::to_string(endpoint.port)
        + ": can't listen: " + error.message();
}

Endpoint boundEndpoint(const tcp::acceptor &acceptor)
{
    error_code error;
    const auto tcpEndpoint = acceptor.local_endpoint(error);
    return {tcpEndpoint.address().to_string(), tcpEndpoint.port()};
}

} // namespace berylridge
