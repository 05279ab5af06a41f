// The HTTP plumbing that the stand-ins share: one thread, many connections, answers sent whole or
// piece by piece, and ways to respond wrongly on order.
#pragma once

#include "berylridge/Support/Endpoint.h"
#include "berylridge/Support/Expected.h"
#include "berylridge/Support/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

namespace berylridge::standin {

using Request = boost::beast::http::request<boost::beast::http::string_body>;

class Connection;

/// One request and its respond. Calls on an respond that is over, or whose caller is
/// onCallerDisconnected, do nothing.
class Exchange
{
public:
    Exchange(std::shared_ptr<Connection> connection, Request request);

    const Request &request() const { return m_request; }
    /// A header of the request, or an empty text.
    std::string header(std::string_view name) const;
    /// The path without its query.
    std::string path() const;
    /// A number from the query, as in "?wait=20".
    std::uint64_t queryNumber(std::string_view name, std::uint64_t defaultValue) const;

    /// Goes into the formatHead of the respond that follows.
    void setHeader(std::string_view name, std::string_view value);
    /// Answers whole.
    void respond(unsigned status, std::string_view contentType, const std::string &body);
    /// Begins an respond in chunks.
    void beginChunkedResponse(unsigned status, std::string_view contentType);
    void sendChunk(std::string_view data);
    void endChunkedResponse();
    /// Answers with more bytes than the formatHead announces.
    void respondWithExcessBytes(unsigned status, std::string_view contentType,
                                const std::string &body);
    /// Resets the connection.
    void resetConnection();

    /// Called once if the caller goes before the respond is over.
    void setDisconnectHandler(std::function<void()> callback)
    {
        m_disconnectHandler = std::move(callback);
    }
    bool isFinished() const { return m_isFinished; }

private:
    friend class Connection;
    std::string formatHead(unsigned status, std::string_view contentType,
                           std::string_view framing) const;
    void finish();
    void onCallerDisconnected();

    std::shared_ptr<Connection> m_connection;
    Request m_request;
    std::string m_headers;
    std::function<void()> m_disconnectHandler;
    bool m_isFinished = false;
};

using RequestHandler = std::function<void(const std::shared_ptr<Exchange> &)>;

/// Listens and hands each request to the handler.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &io, RequestHandler handler);

    /// Starts to listen.
    Expected<Endpoint> listen(const Endpoint &endpoint);
    /// Resets every open connection.
    void resetAll();

private:
    friend class Connection;
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    RequestHandler m_handler;
    std::shared_ptr<std::unordered_set<Connection *>> m_connections
        = std::make_shared<std::unordered_set<Connection *>>();
};

/// Calls a function after a while, unless the context ends before.
void runAfter(boost::asio::io_context &io, Duration delay, std::function<void()> function);

/// Runs the server until SIGTERM or SIGINT. Returns the process's exit status.
int serve(boost::asio::io_context &io, HttpServer &server, const Endpoint &endpoint);

} // namespace berylridge::standin
