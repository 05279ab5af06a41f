// One connection of a caller to a stand-in: reads a request, has it finishResponse, reads the next.
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
    /// The answer is over: reads the next request once all of it is written.
    void finishResponse(bool isKeepAlive);
    void reset();
    /// Resets, and tells the handler of an unfinished answer that its caller is gone.
    void disconnect();

private:
    void watchForClose();
    void checkForClose();
    void writeNext();
    void readNextIfIdle();

    HttpServer &m_server;
    std::shared_ptr<std::unordered_set<Connection *>>
        m_openConnections; ///< May outlive the server.
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    std::shared_ptr<Exchange> m_exchange;
    std::deque<std::string> m_writeQueue;
    bool m_isResponseFinished = false;
    bool m_isKeepAlive = true;
};

} // namespace berylridge::standin
