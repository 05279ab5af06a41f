#include "CallerListener.h"

#include "HttpListener.h"
#include "TrafficThread.h"

#include <boost/asio/post.hpp>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace berylridge {

namespace {

/// Delay after a failed accept. If the process has no free file descriptors, an immediate retry
/// would fail again and use up processor time.
constexpr std::chrono::milliseconds acceptRetryDelay {100};

/// Limits the connections that wait to be accepted. A thread that gets almost no processor time
/// still responds to this many within the second for which callers wait; from a longer queue it
/// would only accept connections of callers that have already timed out.
constexpr int maxPendingConnections = 256;

} // namespace

CallerListener::CallerListener(std::vector<std::unique_ptr<TrafficThread>> &threads,
                               std::function<void(const LogRecord &)> log)
    : m_threads(threads)
    , m_log(std::move(log))
    , m_acceptor(threads.front()->context())
    , m_retryTimer(threads.front()->context())
{
}

std::string CallerListener::listen(const Endpoint &endpoint)
{
    std::string reason = openAcceptor(m_acceptor, endpoint, maxPendingConnections);
    if (!reason.empty())
        return reason;
    m_endpoint = boundEndpoint(m_acceptor);
    error_code error;
    m_acceptor.non_blocking(true, error);
    if (error)
        return error.message();
    m_protocol = m_acceptor.local_endpoint(error).protocol();
    accept();
    return {};
}

void CallerListener::accept()
{
    m_acceptor.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (!error)
            error = acceptPending();
        if (!error) {
            accept();
            return;
        }
        onAcceptError(error);
        m_retryTimer.expires_after(acceptRetryDelay);
        m_retryTimer.async_wait([this](error_code waitError) {
            if (!waitError)
                accept();
        });
    });
}

void CallerListener::onAcceptError(const error_code &error)
{
    ++m_threads.front()->metrics().acceptFailures;
    m_log({LogEventId::AcceptFailed, error.message()});
}

error_code CallerListener::acceptPending()
{
    // Accepts every pending connection, because the measurement of the thread's load doesn't
    // include connections that stay in the system's queue. Calls accept4() directly, because Asio
    // registers each connection with the event loop before its first bytes are examined. The count
    // is bounded, so that a flood doesn't delay the thread's other work.
    for (int i = 0; i < maxPendingConnections; ++i) {
        FileDescriptor connection(
            ::accept4(m_acceptor.native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (connection.isOpen()) {
            m_threads[m_nextThread++ % m_threads.size()]->adopt(std::move(connection), m_protocol);
            continue;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK)
            return {};
        if (errno != EINTR && errno != ECONNABORTED)
            return {errno, boost::system::system_category()};
    }
    return {};
}

void CallerListener::close(std::function<void()> closed)
{
    asio::post(m_acceptor.get_executor(), [this, closed = std::move(closed)] {
        // Closing the acceptor resets the connections that wait to be accepted.
        if (const error_code error = acceptPending())
            onAcceptError(error);
        error_code ignored;
        m_acceptor.close(ignored);
        m_retryTimer.cancel();
        closed();
    });
}

} // namespace berylridge
