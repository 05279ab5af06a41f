#include "HttpCall.h"

#include "berylridge/Net/ResponseParser.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cctype>
#include <limits>
#include <optional>

namespace berylridge {

namespace {

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// Returns true if the peer has closed an idle connection or sent unsolicited bytes on it.
bool isStale(asio::ip::tcp::socket &socket)
{
    char byte = 0;
    error_code error;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
}

} // namespace

std::string CallResult::header(const std::string &name) const
{
    const auto found = headers.find(lowerCase(name));
    return found == headers.end() ? std::string() : found->second;
}

/// Idle connections by endpoint.
class PooledHttpClient::Pool
{
public:
    std::unique_ptr<beast::tcp_stream> acquire(const Endpoint &endpoint)
    {
        auto &idle = m_idle[{endpoint.address, endpoint.port}];
        while (!idle.empty()) {
            auto stream = std::move(idle.back());
            idle.pop_back();
            if (!isStale(stream->socket()))
                return stream;
        }
        return nullptr;
    }
    void release(const Endpoint &endpoint, std::unique_ptr<beast::tcp_stream> stream)
    {
        m_idle[{endpoint.address, endpoint.port}].push_back(std::move(stream));
    }

private:
    using Key = std::pair<std::string, std::uint16_t>;
    std::map<Key, std::vector<std::unique_ptr<beast::tcp_stream>>> m_idle;
};

class PooledHttpClient::Call : public std::enable_shared_from_this<Call>
{
public:
    Call(asio::io_context &io, std::shared_ptr<Pool> pool, CallSpec spec,
         std::function<void(CallResult)> done)
        : m_io(io)
        , m_pool(std::move(pool))
        , m_spec(std::move(spec))
        , m_done(std::move(done))
        , m_start(SystemClock().now())
    {
    }

    void start()
    {
        prepareRequest();
        m_stream = m_pool->acquire(m_spec.endpoint);
        if (m_stream) {
            m_stream->expires_after(m_spec.timeout);
            return write();
        }
        m_stream = std::make_unique<beast::tcp_stream>(m_io);
        m_stream->expires_after(m_spec.timeout);
        error_code error;
        const auto address = asio::ip::make_address(m_spec.endpoint.address, error);
        if (error)
            return end(CallEnd::ConnectFailed, error);
        m_stream->async_connect(asio::ip::tcp::endpoint(address, m_spec.endpoint.port),
                                [self = shared_from_this()](error_code failure) {
                                    if (failure)
                                        return self->end(CallEnd::ConnectFailed, failure);
                                    error_code ignored;
                                    self->m_stream->socket().set_option(
                                        asio::ip::tcp::no_delay(true), ignored);
                                    self->write();
                                });
    }

private:
    void prepareRequest()
    {
        m_request.method_string(m_spec.method);
        m_request.target(m_spec.target);
        m_request.version(11);
        m_request.set(http::field::host, m_spec.endpoint.address);
        for (const auto &[name, value] : m_spec.headers)
            m_request.set(name, value);
        m_request.body() = m_spec.body;
        m_request.prepare_payload();
        m_parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    void write()
    {
        http::async_write(*m_stream, m_request,
                          [self = shared_from_this()](error_code error, std::size_t) {
                              if (error)
                                  return self->end(CallEnd::NoResponse, error);
                              self->readHead();
                          });
    }

    void readHead()
    {
        http::async_read_header(*m_stream, m_buffer, m_parser,
                                [self = shared_from_this()](error_code error, std::size_t) {
                                    if (error)
                                        return self->end(CallEnd::NoResponse, error);
                                    self->readBody();
                                });
    }

    void readBody()
    {
        if (!m_parser.get().body().empty())
            recordFirstByte();
        if (m_parser.is_done())
            return end(CallEnd::Complete, {});
        http::async_read_some(*m_stream, m_buffer, m_parser,
                              [self = shared_from_this()](error_code error, std::size_t) {
                                  if (error)
                                      return self->end(CallEnd::Truncated, error);
                                  self->readBody();
                              });
    }

    void recordFirstByte()
    {
        if (m_result.firstByte.count() == 0)
            m_result.firstByte = SystemClock().now() - m_start;
    }

    void end(CallEnd callEnd, error_code error)
    {
        m_result.end = error == beast::error::timeout ? CallEnd::TimedOut : callEnd;
        m_result.errorMessage = error ? error.message() : "";
        m_result.total = SystemClock().now() - m_start;
        const auto &response = m_parser.get();
        m_result.status = m_parser.is_header_done() ? response.result_int() : 0;
        for (const auto &field : response)
            m_result.headers[lowerCase(std::string(field.name_string()))]
                = std::string(field.value());
        m_result.body = m_parser.get().body();
        // A connection with surplus bytes isn't reused: they would be read as the next response.
        if (callEnd == CallEnd::Complete && !error && m_parser.keep_alive()
            && m_buffer.size() == 0) {
            m_stream->expires_never();
            m_pool->release(m_spec.endpoint, std::move(m_stream));
        }
        m_stream.reset();
        m_done(std::move(m_result));
    }

    asio::io_context &m_io;
    std::shared_ptr<Pool> m_pool;
    CallSpec m_spec;
    std::function<void(CallResult)> m_done;
    TimePoint m_start;
    std::unique_ptr<beast::tcp_stream> m_stream;
    http::request<http::string_body> m_request;
    beast::flat_buffer m_buffer;
    ResponseParser<http::string_body> m_parser;
    CallResult m_result;
};

PooledHttpClient::PooledHttpClient(asio::io_context &io)
    : m_io(io)
    , m_pool(std::make_shared<Pool>())
{
}

PooledHttpClient::~PooledHttpClient() = default;

void PooledHttpClient::call(CallSpec spec, std::function<void(CallResult)> done)
{
    std::make_shared<Call>(m_io, m_pool, std::move(spec), std::move(done))->start();
}

CallResult fetch(CallSpec spec)
{
    asio::io_context io;
    PooledHttpClient client(io);
    CallResult result;
    spec.headers.emplace_back("Connection", "close");
    client.call(std::move(spec), [&](CallResult ended) { result = std::move(ended); });
    io.run();
    return result;
}

} // namespace berylridge
