#include "Platform.h"

#include "JsonText.h"

#include <algorithm>
#include <filesystem>
#include <vector>

namespace berylridge::standin {

namespace {

using boost::beast::http::verb;

/// Orders that arrive while the service is down must still be heard.
bool isForTests(const Exchange &exchange)
{
    const auto path = exchange.path();
    return path == "/control" || path == "/stats" || exchange.request().method() == verb::put;
}

std::vector<std::string> jsonFiles(const std::string &directory)
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

Platform::Platform(boost::asio::io_context &io, Duration vmLag)
    : m_io(io)
    , m_vmLag(vmLag)
    , m_documents(io, "documents")
    , m_vms(io, "vms")
{
}

std::optional<std::string> Platform::load(const std::string &directory, const std::string &vmFile)
{
    Json::Value documents(Json::arrayValue);
    for (const auto &name : jsonFiles(directory)) {
        const auto file = parseJsonFile(name);
        if (!file)
            return file.failureReason();
        if (const auto error = takeDocument(*file, documents))
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

std::optional<std::string> Platform::takeDocument(const Json::Value &file,
                                                  Json::Value &documents) const
{
    if (!file.isObject() || !file["name"].isString() || !file["version"].isUInt64())
        return "a document has a name, a version and a text or body";
    Json::Value document;
    document["name"] = file["name"];
    document["version"] = file["version"];
    document["text"] = file.isMember("body") ? Json::Value(toText(file["body"])) : file["text"];
    for (auto &known : documents) {
        if (known["name"] == document["name"]) {
            known = document;
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
    if (m_isDown && !isForTests(*exchange))
        return exchange->cut();
    if (path == "/v1/documents")
        return isPut ? putDocument(exchange) : m_documents.answer(exchange);
    if (path == "/v1/vms")
        return isPut ? putVms(exchange) : m_vms.answer(exchange);
    if (path == "/control")
        return control(exchange);
    if (path == "/stats")
        return exchange->answer(200, "application/json", stats());
    exchange->answer(404, "text/plain", "no such thing\n");
}

void Platform::putDocument(const std::shared_ptr<Exchange> &exchange)
{
    const auto file = parseJson(exchange->request().body());
    auto documents = m_documents.value();
    const auto error = file ? takeDocument(*file, documents) : "not JSON";
    if (error)
        return exchange->answer(400, "text/plain", *error + "\n");
    m_documents.set(std::move(documents));
    exchange->answer(200, "application/json", "{}");
}

void Platform::putVms(const std::shared_ptr<Exchange> &exchange)
{
    const auto list = parseJson(exchange->request().body());
    if (!list || !list->isObject() || !(*list)["vms"].isArray())
        return exchange->answer(400, "text/plain", "not a VM list\n");
    runAfter(m_io, m_vmLag, [this, vms = (*list)["vms"]] { m_vms.set(vms); });
    exchange->answer(200, "application/json", "{}");
}

/// {"mode": "normal" | "stale" | "down", "revision": R}: stale shows the documents of revision R,
/// or the last ones where R is 0 or missing.
void Platform::control(const std::shared_ptr<Exchange> &exchange)
{
    const auto order = parseJson(exchange->request().body());
    if (!order || !order->isObject())
        return exchange->answer(400, "text/plain", "not a JSON object\n");
    const std::string mode = (*order)["mode"].asString();
    if (mode != "normal" && mode != "stale" && mode != "down")
        return exchange->answer(400, "text/plain", "unknown mode\n");
    m_isDown = mode == "down";
    if (mode == "normal") {
        m_documents.showFresh();
        m_vms.showFresh();
    }
    if (mode == "stale") {
        m_documents.showStale((*order)["revision"].asUInt64());
        m_vms.showStale(0);
    }
    exchange->answer(200, "application/json", "{}");
    // Watches that wait are lost too; the order's own answer goes out first.
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
