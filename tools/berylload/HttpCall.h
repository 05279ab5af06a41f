// One HTTP request and its answer as a caller sees them: how it ended, and when the first byte
// came.
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
    Duration timeout = std::chrono::seconds(30); ///< For the whole exchange.
};

enum class CallEnd : std::uint8_t {
    Complete,      ///< The answer came to its end, by its own framing.
    Truncated,     ///< The answer began and the connection broke.
    NoResponse,    ///< The request went out and the connection broke before an answer.
    ConnectFailed, ///< Nothing went out.
    TimedOut,
};

struct CallResult
{
    CallEnd end = CallEnd::ConnectFailed;
    unsigned status = 0;                        ///< 0 where no head came.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    Duration firstByte {0}; ///< From the start to the first byte of the body.
    Duration total {0};
    std::string errorMessage; ///< Of the library, for people.

    /// A header, or an empty text.
    std::string header(const std::string &name) const;
};

/// Keeps connections between calls. Used by one thread.
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

/// Makes one call and waits for its end.
CallResult fetch(CallSpec spec);

} // namespace berylridge
