// Calls routers concurrently, so that a few unresponsive ones don't delay the others.
#include "RouterClient.h"

#include "Files.h"
#include "HttpTransport.h"
#include "Sources.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace berylridge::ctl {

namespace {

constexpr std::size_t maxConcurrentCalls = 16;

std::string environmentOr(const char *name, const std::string &defaultValue)
{
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe): before any thread
    return value && *value ? value : defaultValue;
}

} // namespace

RouterClient::RouterClient(CommandLine &line, bool isRequired)
    : m_line(line)
    , m_routers("r", "router", "administration listener of a router", isRequired, "ADDRESS:PORT",
                line.arguments())
    , m_keyFile("k", "key-file", "file with the operators' key", false, "", "FILE",
                line.arguments())
    , m_timeout("", "timeout", "seconds to wait for a router; 5 by default", false, 5, "SECONDS",
                line.arguments())
    , m_who("", "who", "operator named in the audit trail", false, "", "NAME", line.arguments())
{
}

std::optional<int> RouterClient::parse(int argc, const char *const *argv)
{
    if (const auto status = m_line.parse(argc, argv))
        return status;
    for (const auto &text : m_routers.getValue()) {
        auto endpoint = parseEndpoint(text);
        if (!endpoint) {
            printError("--router " + text + ": " + endpoint.failureReason());
            return exitUsageError;
        }
        m_endpoints.push_back(*std::move(endpoint));
    }
    if (m_timeout.getValue() == 0 || m_timeout.getValue() > 3600) {
        printError("--timeout: must be from 1 to 3600");
        return exitUsageError;
    }
    if (m_endpoints.empty())
        return std::nullopt;
    auto key = readKey();
    if (!key)
        return exitUsageError;
    m_key = *std::move(key);
    return std::nullopt;
}

std::optional<std::string> RouterClient::readKey()
{
    if (!m_keyFile.isSet()) {
        auto key = environmentOr("BERYLRIDGE_OPERATORS_KEY", "");
        if (!key.empty())
            return key;
        printError("no operators' key: give --key-file or set BERYLRIDGE_OPERATORS_KEY");
        return std::nullopt;
    }
    auto text = readFile(m_keyFile.getValue());
    if (!text) {
        printError(text.failureReason());
        return std::nullopt;
    }
    return text->substr(0, text->find_first_of("\r\n"));
}

RpcReply RouterClient::call(const Endpoint &router, const std::string &method,
                            Json::Value parameters) const
{
    parameters["who"] = m_who.isSet() ? m_who.getValue() : environmentOr("USER", "operator");
    const auto timeout = std::chrono::seconds(m_timeout.getValue());
    return callRpc(httpTransport(router, m_key, timeout), method, parameters);
}

std::vector<RouterReply> RouterClient::callAll(const std::string &method,
                                               const Json::Value &parameters) const
{
    std::vector<RouterReply> replies(m_endpoints.size());
    std::atomic<std::size_t> next = 0;
    const auto worker = [&] {
        for (auto i = next++; i < replies.size(); i = next++)
            replies[i] = {m_endpoints[i], call(m_endpoints[i], method, parameters)};
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(maxConcurrentCalls, replies.size()); ++i)
        threads.emplace_back(worker);
    for (auto &thread : threads)
        thread.join();
    return replies;
}

std::optional<DocumentSet> publishedDocuments(const std::string &folder, const RouterClient &client)
{
    auto documents = folder.empty() ? Expected(DocumentSet()) : readDocuments(folder);
    if (!documents) {
        printError(documents.failureReason());
        return std::nullopt;
    }
    Json::Value parameters;
    parameters["withText"] = true;
    const auto replies = client.callAll("documents", parameters);
    if (reportFailures(replies) != exitSuccess)
        return std::nullopt;
    for (const auto &[router, reply] : replies) {
        for (const auto &document : reply.result["documents"]) {
            mergeNewer(*documents,
                       {document["name"].asString(), document["version"].asUInt64(),
                        document["text"].asString()});
        }
    }
    return *std::move(documents);
}

int reportFailures(const std::vector<RouterReply> &replies)
{
    int status = exitSuccess;
    for (const auto &[router, reply] : replies) {
        if (reply.isSuccess)
            continue;
        printError(endpointText(router) + ": " + reply.reason);
        status = exitErrorsFound;
    }
    return status;
}

} // namespace berylridge::ctl
