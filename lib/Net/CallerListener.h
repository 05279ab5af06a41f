// Accepts callers' connections and assigns them to the traffic threads in round-robin order.
#pragma once

#include "berylridge/Net/Asio.h"

#include "berylridge/Support/LogEvent.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace berylridge {

class TrafficThread;

/// Runs on the first traffic thread, so that a burst of connections doesn't delay the control
/// thread.
class CallerListener
{
public:
    CallerListener(std::vector<std::unique_ptr<TrafficThread>> &threads,
                   std::function<void(const LogRecord &)> log);

    /// Must be called before the threads start. Returns an empty string on success, else the reason
    /// for the failure.
    std::string listen(const Endpoint &endpoint);
    Endpoint endpoint() const { return m_endpoint; }

    /// Accepts the pending connections, stops listening and calls `closed` on the first traffic
    /// thread. May be called from any thread.
    void close(std::function<void()> closed);

private:
    void accept();
    /// Accepts the pending connections. Returns the error that stopped it, if any.
    error_code acceptPending();
    void onAcceptError(const error_code &error);

    std::vector<std::unique_ptr<TrafficThread>> &m_threads;
    std::function<void(const LogRecord &)> m_log;
    tcp::acceptor m_acceptor;
    tcp m_protocol = tcp::v4();
    asio::steady_timer m_retryTimer;
    Endpoint m_endpoint;
    std::size_t m_nextThread = 0;
};

} // namespace berylridge
