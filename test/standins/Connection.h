// Handles one connection of a caller to a stand-in: reads a request, passes it to the handler, and
// reads the next request after the response has been written.
#pragma once

#include "HttpServer.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace berylridge::standin {

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(HttpServer &server, boost::asio::ip::tcp::socket socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void readRequest();
    void write(std::string bytes);
    /// Marks the response as finished; reads the next request once all queued bytes are written.
    void finishResponse(bool isKeepAlive);
    void reset();
    /// Resets the connection, and notifies the handler of an unfinished response that its caller
    /// disconnected.
    void disconnect();

private:
    void watchForClose();
    void checkForClose();
    void writeNext();
    void readNextIfIdle();

    HttpServer &m_server;
    std::shared_ptr<std::unordered_set<Connection *>>
        m_openConnections; ///< Shared: a connection may outlive the server.
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    std::shared_ptr<Exchange> m_exchange;
    std::deque<std::string> m_writeQueue;
    bool m_isResponseFinished = false;
    bool m_isKeepAlive = true;
};

} // namespace berylridge::standin
