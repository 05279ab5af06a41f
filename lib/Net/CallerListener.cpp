#include "CallerListener.h"

#include "HttpListener.h"
#include "TrafficThread.h"

#include <boost/asio/post.hpp>

namespace berylridge {

namespace {

/// Out of file descriptors: accepting at once again would only spin.
constexpr std::chrono::milliseconds acceptRetry {100};

} // namespace

CallerListener::CallerListener(std::vector<std::unique_ptr<TrafficThread>> &threads)
    : m_threads(threads)
    , m_acceptor(threads.front()->context())
    , m_retryTimer(threads.front()->context())
{
}

std::string CallerListener::listen(const Endpoint &endpoint)
{
    std::string reason = openAcceptor(m_acceptor, endpoint);
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
                                    accept();
                                    return;
                                }
                                m_retryTimer.expires_after(acceptRetry);
                                m_retryTimer.async_wait([this](error_code waitError) {
                                    if (!waitError)
                                        accept();
                                });
                            });
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
