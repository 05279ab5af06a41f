#include "Platform.h"

#include "JsonText.h"

#include <algorithm>
#include <filesystem>
#include <vector>

namespace berylridge::standin {

namespace {

using boost::beast::http::verb;

/// Returns true for requests by which tests control the stand-in; they are handled even while it
/// simulates an outage.
bool isTestControlRequest(const Exchange &exchange)
{
    const auto path = exchange.path();
    return path == "/control" || path == "/stats" || exchange.request().method() == verb::put;
}

std::vector<std::string> listJsonFiles(const std::string &directory)
{
    std::vector<std::string> files;
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator(directory, error)) {
        if (entry.path().extension() == ".json")
            files.push_back(entry.path().string());
    }
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace

Platform::Platform(boost::asio::io_context &io, Duration vmListDelay)
    : m_io(io)
    , m_vmListDelay(vmListDelay)
    , m_documents(io, "documents")
    , m_vms(io, "vms")
{
}

std::optional<std::string> Platform::load(const std::string &directory, const std::string &vmFile)
{
    Json::Value documents(Json::arrayValue);
    for (const auto &name : listJsonFiles(directory)) {
        const auto file = parseJsonFile(name);
        if (!file)
            return file.failureReason();
        if (const auto error = addDocument(*file, documents))
            return name + ": " + *error;
    }
    m_documents.set(documents);
    if (vmFile.empty())
        return std::nullopt;
    const auto list = parseJsonFile(vmFile);
    if (!list)
        return list.failureReason();
    m_vms.set((*list)["vms"]);
    return std::nullopt;
}

std::optional<std::string> Platform::addDocument(const Json::Value &file,
                                                 Json::Value &documents) const
{
    if (!file.isObject() || !file["name"].isString() || !file["version"].isUInt64())
        return "a document needs a name, a version, and a text or a body";
    Json::Value document;
    document["name"] = file["name"];
    document["version"] = file["version"];
    document["text"] = file.isMember("body") ? Json::Value(toText(file["body"])) : file["text"];
    for (auto &existing : documents) {
        if (existing["name"] == document["name"]) {
            existing = document;
            return std::nullopt;
        }
    }
    documents.append(document);
    return std::nullopt;
}

void Platform::handle(const std::shared_ptr<Exchange> &exchange)
{
    const std::string path = exchange->path();
    const bool isPut = exchange->request().method() == verb::put;
    ++m_calls[std::string(exchange->request().method_string()) + " " + path];
    if (m_isDown && !isTestControlRequest(*exchange))
        return exchange->resetConnection();
    if (path == "/v1/documents")
        return isPut ? putDocument(exchange) : m_documents.respond(exchange);
    if (path == "/v1/vms")
        return isPut ? putVms(exchange) : m_vms.respond(exchange);
    if (path == "/control")
        return handleControlRequest(exchange);
    if (path == "/stats")
        return exchange->respond(200, "application/json", stats());
    exchange->respond(404, "text/plain", "unknown path\n");
}

void Platform::putDocument(const std::shared_ptr<Exchange> &exchange)
{
    const auto file = parseJson(exchange->request().body());
    auto documents = m_documents.value();
    const auto error = file ? addDocument(*file, documents) : "not JSON";
    if (error)
        return exchange->respond(400, "text/plain", *error + "\n");
    m_documents.set(std::move(documents));
    exchange->respond(200, "application/json", "{}");
}

void Platform::putVms(const std::shared_ptr<Exchange> &exchange)
{
    const auto list = parseJson(exchange->request().body());
    if (!list || !list->isObject() || !(*list)["vms"].isArray())
        return exchange->respond(400, "text/plain", "not a VM list\n");
    runAfter(m_io, m_vmListDelay, [this, vms = (*list)["vms"]] { m_vms.set(vms); });
    exchange->respond(200, "application/json", "{}");
}

/// Handles {"mode": "normal" | "stale" | "down", "revision": R}. In stale mode, it serves the
/// documents of revision R, or the latest ones if R is 0 or missing.
void Platform::handleControlRequest(const std::shared_ptr<Exchange> &exchange)
{
    const auto command = parseJson(exchange->request().body());
    if (!command || !command->isObject())
        return exchange->respond(400, "text/plain", "not a JSON object\n");
    const std::string mode = (*command)["mode"].asString();
    if (mode != "normal" && mode != "stale" && mode != "down")
        return exchange->respond(400, "text/plain", "unknown mode\n");
    m_isDown = mode == "down";
    if (mode == "normal") {
        m_documents.serveLatestRevision();
        m_vms.serveLatestRevision();
    }
    if (mode == "stale") {
        m_documents.serveStaleRevision((*command)["revision"].asUInt64());
        m_vms.serveStaleRevision(0);
    }
    exchange->respond(200, "application/json", "{}");
    // Pending watches are reset too. The delay lets the response to this command be sent first.
    if (m_isDown)
        runAfter(m_io, std::chrono::milliseconds(20), [this] { m_server->resetAll(); });
}

std::string Platform::stats() const
{
    Json::Value value;
    auto &calls = value["calls"] = Json::Value(Json::objectValue);
    for (const auto &[kind, count] : m_calls)
        calls[kind] = static_cast<Json::UInt64>(count);
    return toText(value);
}

} // namespace berylridge::standin
