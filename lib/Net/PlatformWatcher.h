// Watches the platform's documents and VM list with long polls, each on a connection of its own.
#pragma once

#include "berylridge/Net/Asio.h"
#include "berylridge/Net/HttpClient.h"

#include "berylridge/Net/Metrics.h"
#include "berylridge/Router/Events.h"
#include "berylridge/Support/Random.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace berylridge {

struct DocumentsResponse
{
    std::uint64_t revision = 0;
    std::vector<DocumentText> documents;
};

/// Parses the response to GET /v1/documents; returns nothing if it is invalid.
std::optional<DocumentsResponse> parseDocumentsResponse(const std::string &body);

/// Parses the response to GET /v1/vms; returns nothing if it is invalid.
std::optional<VmList> parseVmListResponse(const std::string &body);

/// Sends one long poll after another; an endpoint that fails is replaced by the next one.
class LongPoller : public std::enable_shared_from_this<LongPoller>
{
public:
    struct Handlers
    {
        /// Handles a new response. Returns its revision, or nothing if it can't be parsed.
        std::function<std::optional<std::uint64_t>(const std::string &body)> onBody;
        std::function<void()> onReachable;   ///< Called for each valid response.
        std::function<void()> onUnreachable; ///< Called when every endpoint has failed in turn.
    };

    LongPoller(asio::io_context &context, const std::vector<Endpoint> &endpoints, std::string path,
               std::uint64_t seed, Metrics &metrics, Handlers handlers);

    void start();
    void stop();

private:
    void poll();
    void onReply(const HttpReply &reply);
    void onFailure();
    void pollAfterBackoff();

    asio::io_context &m_context;
    const std::vector<Endpoint> m_endpoints;
    const std::string m_path;
    Metrics &m_metrics;
    Handlers m_handlers;
    asio::steady_timer m_timer;
    RandomEngine m_random;
    std::shared_ptr<HttpClient> m_client; ///< Connected to the current endpoint.
    std::size_t m_endpointIndex = 0;
    /// The revision of the current endpoint; other endpoints may count differently.
    std::uint64_t m_revision = 0;
    unsigned m_consecutiveFailures = 0;
    bool m_isStopped = false;
};

/// Runs on the control thread.
class PlatformWatcher
{
public:
    PlatformWatcher(asio::io_context &context, std::vector<Endpoint> endpoints, std::uint64_t seed,
                    Metrics &metrics, std::function<void(Event)> onEvent);
    ~PlatformWatcher();
    PlatformWatcher(const PlatformWatcher &) = delete;
    PlatformWatcher &operator=(const PlatformWatcher &) = delete;

    void setEnabled(bool isEnabled);

private:
    void start();
    void stop();
    std::optional<std::uint64_t> handleDocuments(const std::string &body);
    std::optional<std::uint64_t> handleVms(const std::string &body);

    asio::io_context &m_context;
    const std::vector<Endpoint> m_endpoints;
    std::uint64_t m_seed;
    Metrics &m_metrics;
    std::function<void(Event)> m_onEvent;
    std::shared_ptr<LongPoller> m_documentPoller;
    std::shared_ptr<LongPoller> m_vmListPoller;
    std::map<std::string, DocumentVersion>
        m_reportedVersions; ///< Versions that the core has received since start().
};

} // namespace berylridge
