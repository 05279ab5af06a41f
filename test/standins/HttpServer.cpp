#include "HttpServer.h"

#include "Connection.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <iostream>
#include <sstream>
#include <vector>

namespace berylridge::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

boost::beast::string_view toBeastView(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

Exchange::Exchange(std::shared_ptr<Connection> connection, Request request)
    : m_connection(std::move(connection))
    , m_request(std::move(request))
{
}

std::string Exchange::header(std::string_view name) const
{
    return std::string(m_request[toBeastView(name)]);
}

std::string Exchange::path() const
{
    const std::string target(m_request.target());
    return target.substr(0, target.find('?'));
}

std::uint64_t Exchange::queryNumber(std::string_view name, std::uint64_t defaultValue) const
{
    const std::string target(m_request.target());
    const std::string parameterPrefix = std::string(name) + "=";
    std::size_t position = target.find('?');
    while (position != std::string::npos) {
        ++position;
        if (target.compare(position, parameterPrefix.size(), parameterPrefix) == 0) {
            std::uint64_t number = defaultValue;
            std::from_chars(target.data() + position + parameterPrefix.size(),
                            target.data() + target.size(), number);
            return number;
        }
        position = target.find('&', position);
    }
    return defaultValue;
}

void Exchange::setHeader(std::string_view name, std::string_view value)
{
    m_headers.append(name).append(": ").append(value).append("\r\n");
}

std::string Exchange::formatHead(unsigned status, std::string_view contentType,
                                 std::string_view framing) const
{
    std::ostringstream out;
    out << "HTTP/1.1 " << status << ' ' << http::obsolete_reason(http::int_to_status(status))
        << "\r\nContent-Type: " << contentType << "\r\n"
        << m_headers << framing << "\r\n\r\n";
    return out.str();
}

void Exchange::respond(unsigned status, std::string_view contentType, const std::string &body)
{
    if (m_isFinished)
        return;
    m_connection->write(
        formatHead(status, contentType, "Content-Length: " + std::to_string(body.size())) + body);
    finish();
}

void Exchange::beginChunkedResponse(unsigned status, std::string_view contentType)
{
    if (!m_isFinished)
        m_connection->write(formatHead(status, contentType, "Transfer-Encoding: chunked"));
}

void Exchange::sendChunk(std::string_view data)
{
    if (m_isFinished)
        return;
    std::ostringstream chunk;
    chunk << std::hex << data.size() << "\r\n" << data << "\r\n";
    m_connection->write(chunk.str());
}

void Exchange::endChunkedResponse()
{
    if (m_isFinished)
        return;
    m_connection->write("0\r\n\r\n");
    finish();
}

void Exchange::respondWithExcessBytes(unsigned status, std::string_view contentType,
                                      const std::string &body)
{
    if (m_isFinished)
        return;
    m_connection->write(
        formatHead(status, contentType, "Content-Length: " + std::to_string(body.size())) + body
        + "bytes beyond the content length");
    finish();
}

void Exchange::resetConnection()
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    const auto connection = std::move(m_connection);
    m_disconnectHandler = nullptr;
    connection->reset();
}

void Exchange::finish()
{
    m_isFinished = true;
    m_disconnectHandler = nullptr;
    const auto connection = std::move(m_connection);
    connection->finishResponse(true);
}

void Exchange::onCallerDisconnected()
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    m_connection.reset();
    const auto callback = std::move(m_disconnectHandler);
    m_disconnectHandler = nullptr;
    if (callback)
        callback();
}

HttpServer::HttpServer(asio::io_context &io, RequestHandler handler)
    : m_acceptor(io)
    , m_handler(std::move(handler))
{
}

Expected<Endpoint> HttpServer::listen(const Endpoint &endpoint)
{
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error)
        return Reason {endpoint.address + ": not an IP address"};
    const asio::ip::tcp::endpoint local(address, endpoint.port);
    m_acceptor.open(local.protocol(), error);
    m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    m_acceptor.bind(local, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return Reason {endpoint.address + ":" + std::to_string(endpoint.port) + ": "
                       + error.message()};
    accept();
    return Endpoint {endpoint.address, m_acceptor.local_endpoint().port()};
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this](error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            std::make_shared<Connection>(*this, std::move(socket))->readRequest();
        accept();
    });
}

void HttpServer::resetAll()
{
    const std::vector<Connection *> open(m_connections->begin(), m_connections->end());
    for (auto *connection : open)
        connection->disconnect();
}

void runAfter(asio::io_context &io, Duration delay, std::function<void()> function)
{
    auto timer = std::make_shared<asio::steady_timer>(io, delay);
    timer->async_wait([timer, function = std::move(function)](error_code error) {
        if (!error)
            function();
    });
}

int serve(asio::io_context &io, HttpServer &server, const Endpoint &endpoint)
{
    const auto listening = server.listen(endpoint);
    if (!listening) {
        std::cerr << listening.failureReason() << '\n';
        return 1;
    }
    std::cout << "listening on " << listening->address << ':' << listening->port << std::endl;
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](error_code, int) { io.stop(); });
    io.run();
    return 0;
}

} // namespace berylridge::standin
