// HTTP server that the stand-ins share: it serves many connections on one thread, sends responses
// at once or in chunks, and can send faulty responses.
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

/// One request and its response. Calls have no effect once the response is finished or the caller
/// has disconnected.
class Exchange
{
public:
    Exchange(std::shared_ptr<Connection> connection, Request request);

    const Request &request() const { return m_request; }
    /// Returns a request header, or an empty string if it is missing.
    std::string header(std::string_view name) const;
    /// Returns the path without its query.
    std::string path() const;
    /// Returns a number from the query, as in "?wait=20".
    std::uint64_t queryNumber(std::string_view name, std::uint64_t defaultValue) const;

    /// Adds a header to the response that is sent next.
    void setHeader(std::string_view name, std::string_view value);
    /// Sends a complete response.
    void respond(unsigned status, std::string_view contentType, const std::string &body);
    /// Begins a response with chunked transfer encoding.
    void beginChunkedResponse(unsigned status, std::string_view contentType);
    void sendChunk(std::string_view data);
    void endChunkedResponse();
    /// Sends more body bytes than Content-Length announces.
    void respondWithExcessBytes(unsigned status, std::string_view contentType,
                                const std::string &body);
    void resetConnection();

    /// Sets a function that is called once if the caller disconnects before the response is
    /// finished.
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

/// Accepts connections and passes each request to the handler.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &io, RequestHandler handler);

    /// Starts to listen. Returns the bound endpoint, which has the actual port.
    Expected<Endpoint> listen(const Endpoint &endpoint);
    /// Resets every open connection and notifies the handlers of unfinished responses.
    void resetAll();

private:
    friend class Connection;
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    RequestHandler m_handler;
    std::shared_ptr<std::unordered_set<Connection *>> m_connections
        = std::make_shared<std::unordered_set<Connection *>>();
};

/// Calls a function after a delay, unless the context stops first.
void runAfter(boost::asio::io_context &io, Duration delay, std::function<void()> function);

/// Runs the server until SIGTERM or SIGINT. Returns the process's exit status.
int serve(boost::asio::io_context &io, HttpServer &server, const Endpoint &endpoint);

} // namespace berylridge::standin
