#include "HttpListener.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <utility>

namespace berylridge {

namespace {

/// Delay after a failed accept. If the process has no free file descriptors, an immediate retry
/// would fail again and use up processor time.
constexpr std::chrono::milliseconds acceptRetryDelay {100};
/// Maximum size of a request's head, a chunk's head or a trailer. Beast throws at a larger field.
constexpr std::size_t maxBufferBytes = 64 << 10;

} // namespace

struct HttpListener::Shared
{
    ListenerLimits limits;
    Handler handler;
    std::uint32_t connections = 0;
    bool isOpen = true; ///< False after the listener is destroyed; sessions then end.
};

class HttpListener::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, std::shared_ptr<Shared> shared)
        : m_stream(std::move(socket))
        , m_shared(std::move(shared))
    {
        ++m_shared->connections;
    }
    ~Session() { --m_shared->connections; }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(m_shared->limits.bodyLimit);
        m_stream.expires_after(m_shared->limits.idleTimeout);
        http::async_read(m_stream, m_buffer, *m_parser,
                         [self = shared_from_this()](error_code error, std::size_t) {
                             if (!error && self->m_shared->isOpen)
                                 self->respond();
                         });
    }

private:
    void respond()
    {
        const StringRequest &request = m_parser->get();
        m_response = m_shared->handler(request);
        m_response.version(11);
        m_response.keep_alive(request.keep_alive());
        m_response.prepare_payload();
        http::async_write(m_stream, m_response,
                          [self = shared_from_this()](error_code error, std::size_t) {
                              if (!error && self->m_response.keep_alive() && self->m_shared->isOpen)
                                  self->read();
                          });
    }

    beast::tcp_stream m_stream;
    std::shared_ptr<Shared> m_shared;
    beast::flat_buffer m_buffer {maxBufferBytes};
    std::optional<http::request_parser<http::string_body>> m_parser;
    StringResponse m_response;
};

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
        if (m_shared->connections < m_shared->limits.connectionLimit)
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
