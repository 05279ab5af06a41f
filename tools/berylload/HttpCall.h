// An HTTP/1.1 client that reports how each call ended and when the first byte of the body arrived.
#pragma once

#include "berylridge/Support/Endpoint.h"
#include "berylridge/Support/Expected.h"
#include "berylridge/Support/Time.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace berylridge {

struct CallSpec
{
    Endpoint endpoint;
    std::string method = "GET";
    std::string target = "/";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    Duration timeout = std::chrono::seconds(30); ///< From connecting to the end of the response.
};

enum class CallEnd : std::uint8_t {
    Complete,      ///< The response ended as its framing says.
    Truncated,     ///< The connection broke after the head of the response.
    NoResponse,    ///< The request may have been sent, but no response head arrived.
    ConnectFailed, ///< No connection, so nothing was sent.
    TimedOut,
};

struct CallResult
{
    CallEnd end = CallEnd::ConnectFailed;
    unsigned status = 0;                        ///< 0 if no response head arrived.
    std::map<std::string, std::string> headers; ///< Names are in lower case.
    std::string body;
    Duration firstByte {0}; ///< From the start of the call to the first byte of the body.
    Duration total {0};
    std::string errorMessage; ///< The library's message for logs; empty on success.

    /// Returns the value of a header, or an empty string if it is missing.
    std::string header(const std::string &name) const;
};

/// Reuses idle connections. Not thread-safe.
class PooledHttpClient
{
public:
    explicit PooledHttpClient(boost::asio::io_context &io);
    ~PooledHttpClient();
    PooledHttpClient(const PooledHttpClient &) = delete;
    PooledHttpClient &operator=(const PooledHttpClient &) = delete;

    void call(CallSpec spec, std::function<void(CallResult)> done);

private:
    class Call;
    class Pool;
    boost::asio::io_context &m_io;
    std::shared_ptr<Pool> m_pool;
};

/// Makes one call on a new connection and blocks until it ends.
CallResult fetch(CallSpec spec);

} // namespace berylridge
