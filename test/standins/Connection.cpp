#include "Connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace berylridge::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

Connection::Connection(HttpServer &server, asio::ip::tcp::socket socket)
    : m_server(server)
    , m_openConnections(server.m_connections)
    , m_socket(std::move(socket))
{
    m_openConnections->insert(this);
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
}

Connection::~Connection()
{
    m_openConnections->erase(this);
}

void Connection::readRequest()
{
    m_isResponseFinished = false;
    m_parser.emplace();
    m_parser->body_limit(std::uint64_t {16} << 20);
    http::async_read(
        m_socket, m_buffer, *m_parser, [self = shared_from_this()](error_code error, std::size_t) {
            if (error)
                return self->reset();
            self->m_isKeepAlive = self->m_parser->get().keep_alive();
            self->m_exchange = std::make_shared<Exchange>(self, self->m_parser->release());
            self->watchForClose();
            // The handler may end this exchange and start the next.
            const auto exchange = self->m_exchange;
            self->m_server.m_handler(exchange);
        });
}

void Connection::watchForClose()
{
    m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this(), exchange = m_exchange](error_code error) {
                            if (!error && exchange == self->m_exchange
                                && !self->m_isResponseFinished)
                                self->checkForClose();
                        });
}

void Connection::checkForClose()
{
    char byte = 0;
    error_code error;
    m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    if (!error || error == asio::error::would_block)
        return; // The bytes belong to a pipelined request, which is read after this response.
    disconnect();
}

void Connection::write(std::string bytes)
{
    m_writeQueue.push_back(std::move(bytes));
    if (m_writeQueue.size() == 1)
        writeNext();
}

void Connection::writeNext()
{
    asio::async_write(m_socket, asio::buffer(m_writeQueue.front()),
                      [self = shared_from_this()](error_code error, std::size_t) {
                          if (error)
                              return self->disconnect();
                          self->m_writeQueue.pop_front();
                          if (!self->m_writeQueue.empty())
                              return self->writeNext();
                          self->readNextIfIdle();
                      });
}

void Connection::finishResponse(bool isKeepAlive)
{
    m_isResponseFinished = true;
    m_isKeepAlive = m_isKeepAlive && isKeepAlive;
    readNextIfIdle();
}

void Connection::readNextIfIdle()
{
    if (!m_isResponseFinished || !m_writeQueue.empty())
        return;
    m_exchange.reset();
    if (m_isKeepAlive && m_socket.is_open())
        return readRequest();
    error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_socket.close(ignored);
}

void Connection::disconnect()
{
    const auto self = shared_from_this();
    const auto exchange = m_exchange;
    reset();
    if (exchange)
        exchange->onCallerDisconnected();
}

void Connection::reset()
{
    error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
    m_isKeepAlive = false;
    m_exchange.reset();
}

} // namespace berylridge::standin
