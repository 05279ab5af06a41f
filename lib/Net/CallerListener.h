// Accepts callers' connections and deals them out to the traffic threads in turn.
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

/// Lives on the first traffic thread, so that a burst of connections doesn't hold up control.
class CallerListener
{
public:
    CallerListener(std::vector<std::unique_ptr<TrafficThread>> &threads,
                   std::function<void(const LogRecord &)> log);

    /// Before the threads start. Empty where it listens, else why it can't.
    std::string listen(const Endpoint &endpoint);
    Endpoint endpoint() const { return m_endpoint; }

    /// From any thread.
    void close();

private:
    void accept();
    /// Takes the connections that wait; the error that ended it, if any.
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
