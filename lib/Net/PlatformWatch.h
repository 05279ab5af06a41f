// Watches the platform's documents and VM list by long polls, one connection each.
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

/// Reads the answer to GET /v1/documents; nothing where it is not one.
struct DocumentsAnswer
{
    std::uint64_t revision = 0;
    std::vector<DocumentText> documents;
};
std::optional<DocumentsAnswer> readDocumentsAnswer(const std::string &body);

/// Reads the answer to GET /v1/vms.
std::optional<VmList> readVmsAnswer(const std::string &body);

/// One long poll after another, over the endpoints in turn.
class LongPoll : public std::enable_shared_from_this<LongPoll>
{
public:
    struct Handlers
    {
        /// Takes in a new answer; its revision, or nothing where it can't be read.
        std::function<std::optional<std::uint64_t>(const std::string &body)> take;
        std::function<void()> reached; ///< Any proper answer.
        std::function<void()> missed;  ///< No endpoint has answered in a whole round.
    };

    LongPoll(asio::io_context &context, const std::vector<Endpoint> &endpoints, std::string path,
             std::uint64_t seed, Metrics &metrics, Handlers handlers);

    void start();
    void stop();

private:
    void poll();
    void onReply(const HttpReply &reply);
    void onFailure();
    void waitThenPoll();

    asio::io_context &m_context;
    const std::vector<Endpoint> m_endpoints;
    const std::string m_path;
    Metrics &m_metrics;
    Handlers m_handlers;
    asio::steady_timer m_timer;
    RandomEngine m_random;
    std::shared_ptr<HttpClient> m_client; ///< For the current endpoint.
    std::size_t m_current = 0;
    std::uint64_t m_revision = 0; ///< Of the current endpoint; another one may count differently.
    unsigned m_failures = 0;      ///< In a row.
    bool m_isStopped = false;
};

/// Lives on the control thread.
class PlatformWatch
{
public:
    PlatformWatch(asio::io_context &context, std::vector<Endpoint> endpoints, std::uint64_t seed,
                  Metrics &metrics, std::function<void(Event)> take);
    ~PlatformWatch();
    PlatformWatch(const PlatformWatch &) = delete;
    PlatformWatch &operator=(const PlatformWatch &) = delete;

    void set(bool isOn);

private:
    void start();
    void stop();
    std::optional<std::uint64_t> takeDocuments(const std::string &body);
    std::optional<std::uint64_t> takeVms(const std::string &body);

    asio::io_context &m_context;
    const std::vector<Endpoint> m_endpoints;
    std::uint64_t m_seed;
    Metrics &m_metrics;
    std::function<void(Event)> m_take;
    std::shared_ptr<LongPoll> m_documents;
    std::shared_ptr<LongPoll> m_vms;
    std::map<std::string, DocumentVersion> m_seen; ///< Passed on since this watch began.
};

} // namespace berylridge
