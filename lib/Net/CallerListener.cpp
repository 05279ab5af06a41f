#include "CallerListener.h"

#include "HttpListener.h"
#include "TrafficThread.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace berylridge {

namespace {

/// Out of file descriptors: accepting at once again would only spin.
constexpr std::chrono::milliseconds acceptRetry {100};

/// Connections that wait to be taken. A thread without processor time answers so many within the
/// second that callers wait; of a longer queue it would only take connections of callers who have
/// given up.
constexpr int queueLimit = 256;

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
    std::string reason = openAcceptor(m_acceptor, endpoint, queueLimit);
    if (!reason.empty())
        return reason;
    m_endpoint = boundEndpoint(m_acceptor);
    accept();
    return {};
}

void CallerListener::accept()
{
    TrafficThread &thread = *m_threads[m_next++ % m_threads.size()];
    m_acceptor.async_accept(thread.context(),
                            [this, &thread](error_code error, tcp::socket socket) {
                                if (error == asio::error::operation_aborted)
                                    return;
                                if (!error) {
                                    thread.adopt(std::move(socket));
                                    acceptWaiting();
                                    accept();
                                    return;
                                }
                                onFailed(error);
                                m_retryTimer.expires_after(acceptRetry);
                                m_retryTimer.async_wait([this](error_code waitError) {
                                    if (!waitError)
                                        accept();
                                });
                            });
}

void CallerListener::onFailed(const error_code &error)
{
    ++m_threads.front()->metrics().acceptFailures;
    m_log({LogEventId::AcceptFailed, error.message()});
}

void CallerListener::acceptWaiting()
{
    // Whatever waits: no measure of the thread's load sees what stays in the system's queue.
    error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        TrafficThread &thread = *m_threads[m_next % m_threads.size()];
        tcp::socket socket = m_acceptor.accept(thread.context(), error);
        if (error)
            return; // None waits, or the next wait meets the same error and reports it.
        ++m_next;
        thread.adopt(std::move(socket));
    }
}

void CallerListener::close()
{
    asio::post(m_acceptor.get_executor(), [this] {
        error_code ignored;
        m_acceptor.close(ignored);
        m_retryTimer.cancel();
    });
}

} // namespace berylridge
