// Polls targets for their load reports.
#pragma once

#include "berylridge/Net/Asio.h"
#include "berylridge/Net/HttpClient.h"

#include "berylridge/Net/Metrics.h"
#include "berylridge/Router/Actions.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace berylridge {

/// Parses the response to GET /load; returns nothing if it is malformed.
std::optional<TargetLoadReport> parseLoadReport(const TargetId &target, const std::string &body);

/// Runs on the control thread.
class TargetPoller
{
public:
    TargetPoller(asio::io_context &context, Metrics &metrics, std::function<void(Event)> onEvent);
    ~TargetPoller();
    TargetPoller(const TargetPoller &) = delete;
    TargetPoller &operator=(const TargetPoller &) = delete;

    void poll(const PollTarget &command);

private:
    struct Client
    {
        std::shared_ptr<HttpClient> http;
        std::chrono::steady_clock::time_point lastUse;
    };

    void closeIdleClients();

    asio::io_context &m_context;
    Metrics &m_metrics;
    std::function<void(Event)> m_onEvent;
    std::map<Endpoint, Client> m_clients;
    std::chrono::steady_clock::time_point m_lastSweep {};
};

} // namespace berylridge
