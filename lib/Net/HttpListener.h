// Implements a small HTTP server for operators and other nodes, on the control thread.
#pragma once

#include "berylridge/Net/Asio.h"

#include "berylridge/Support/Expected.h"
#include "berylridge/Support/Time.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>

namespace berylridge {

struct ListenerLimits
{
    std::uint64_t bodyLimit = 1 << 20;
    std::uint32_t connectionLimit = 256;
    Duration idleTimeout = std::chrono::seconds(60); ///< Also limits the time to receive a request.
    /// For the requests that all connections receive, in bytes. At least one of the largest fits.
    std::size_t memoryLimit = 8 << 20;
};

/// Calls a handler for each request and sends the response that it returns.
class HttpListener
{
public:
    using Handler = std::function<StringResponse(const StringRequest &)>;

    HttpListener(asio::io_context &context, ListenerLimits limits, Handler handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /// Returns an empty string on success, else the reason for the failure.
    std::string listen(const Endpoint &endpoint);

    /// Returns how many connections were closed in favour of others.
    std::uint64_t reclaimedConnections() const;

    /// Returns the bound endpoint, with the port that the system chose if port 0 was requested.
    Endpoint endpoint() const;

private:
    struct Shared;
    class Session;

    void accept();

    tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
    std::shared_ptr<Shared> m_shared;
};

/// Size of the receive buffers of accepted connections. Bytes that nobody reads count towards the
/// memory of the VM, and the system would let the buffers grow to megabytes.
inline constexpr int receiveBufferBytes = 64 << 10;

/// Opens a listening socket on the endpoint; at most `backlog` connections wait to be accepted.
/// Returns an empty string on success, else the reason for the failure.
std::string openAcceptor(tcp::acceptor &acceptor, const Endpoint &endpoint,
                         int backlog = tcp::acceptor::max_listen_connections);

/// Returns the endpoint to which a listening socket is bound.
Endpoint boundEndpoint(const tcp::acceptor &acceptor);

} // namespace berylridge
