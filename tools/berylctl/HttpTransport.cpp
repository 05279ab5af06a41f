// Implements one HTTP exchange with Boost.Beast. It uses asynchronous operations because only these
// observe the timeout.
#include "HttpTransport.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace berylridge::ctl {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::uint64_t maxResponseBytes = 64 << 20;

class HttpExchange
{
public:
    HttpExchange(const Endpoint &router, const std::string &key, const std::string &body)
        : m_request(http::verb::post, "/rpc", 11)
    {
        m_endpoint = tcp::endpoint(asio::ip::make_address(router.address), router.port);
        m_request.set(http::field::host, endpointText(router));
        m_request.set(http::field::authorization, "Bearer " + key);
        m_request.set(http::field::content_type, "application/json");
        m_request.body() = body;
        m_request.prepare_payload();
        m_response.body_limit(maxResponseBytes);
    }

    /// Returns an empty string if a response was received, otherwise the reason.
    std::string run(std::chrono::milliseconds timeout)
    {
        m_stream.expires_after(timeout);
        m_stream.async_connect(m_endpoint, [this](ErrorCode error) {
            if (succeeded(error))
                write();
        });
        m_context.run();
        return m_error ? m_error.message() : std::string();
    }

    unsigned status() { return m_response.get().result_int(); }
    std::string takeBody() { return std::move(m_response.get().body()); }

private:
    bool succeeded(ErrorCode error)
    {
        m_error = error;
        return !error;
    }

    void write()
    {
        http::async_write(m_stream, m_request, [this](ErrorCode error, std::size_t /*bytes*/) {
            if (succeeded(error))
                read();
        });
    }

    void read()
    {
        http::async_read(m_stream, m_buffer, m_response,
                         [this](ErrorCode error, std::size_t /*bytes*/) { succeeded(error); });
    }

    asio::io_context m_context;
    beast::tcp_stream m_stream {m_context};
    tcp::endpoint m_endpoint;
    http::request<http::string_body> m_request;
    beast::flat_buffer m_buffer;
    http::response_parser<http::string_body> m_response;
    ErrorCode m_error;
};

} // namespace

RpcTransport httpTransport(const Endpoint &router, const std::string &operatorsKey,
                           std::chrono::milliseconds timeout)
{
    return [=](const std::string &request, std::string &response) {
        HttpExchange exchange(router, operatorsKey, request);
        response = exchange.run(timeout);
        if (!response.empty())
            return false;
        // The body of a 401 is a JSON-RPC error that explains it; other errors have no such body.
        response = exchange.takeBody();
        if (exchange.status() == 200 || exchange.status() == 401)
            return true;
        response = "answered with HTTP status " + std::to_string(exchange.status());
        return false;
    };
}

} // namespace berylridge::ctl
