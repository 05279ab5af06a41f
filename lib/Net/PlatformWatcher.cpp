#include "PlatformWatcher.h"

#include "berylridge/Net/JsonObject.h"

#include <algorithm>
#include <utility>

namespace berylridge {

namespace {

constexpr int longPollSeconds = 10;
constexpr Duration callTimeout = std::chrono::seconds(longPollSeconds + 5);
constexpr Duration minBackoff = std::chrono::milliseconds(200);
constexpr Duration maxBackoff = std::chrono::seconds(5);
constexpr unsigned okStatus = 200;
constexpr unsigned notModifiedStatus = 304;

std::optional<Json::Value> parseRevisionedJson(const std::string &text)
{
    auto value = parseJsonObject(text);
    if (!value || !(*value)["revision"].isUInt64())
        return std::nullopt;
    return value;
}

std::optional<DocumentText> parseDocument(const Json::Value &value)
{
    if (!value.isObject() || !value["name"].isString() || !value["version"].isUInt64()
        || !value["text"].isString())
        return std::nullopt;
    return DocumentText {value["name"].asString(), value["version"].asUInt64(),
                         value["text"].asString()};
}

std::optional<VmEntry> parseVm(const Json::Value &value)
{
    if (!value.isObject() || !value["node"].isString() || !value["zone"].isString()
        || !value["address"].isString() || !value["port"].isUInt()
        || value["port"].asUInt() > UINT16_MAX)
        return std::nullopt;
    const Json::Value &leaving = value["leaving"];
    return VmEntry {NodeId(value["node"].asString()), ZoneId(value["zone"].asString()),
                    value["address"].asString(), static_cast<std::uint16_t>(value["port"].asUInt()),
                    leaving.isBool() && leaving.asBool()};
}

} // namespace

std::optional<DocumentsResponse> parseDocumentsResponse(const std::string &body)
{
    const auto json = parseRevisionedJson(body);
    if (!json || !(*json)["documents"].isArray())
        return std::nullopt;
    DocumentsResponse response;
    response.revision = (*json)["revision"].asUInt64();
    for (const Json::Value &each : (*json)["documents"]) {
        auto document = parseDocument(each);
        if (!document)
            return std::nullopt;
        response.documents.push_back(std::move(*document));
    }
    return response;
}

std::optional<VmList> parseVmListResponse(const std::string &body)
{
    const auto json = parseRevisionedJson(body);
    if (!json || !(*json)["vms"].isArray())
        return std::nullopt;
    VmList list;
    list.revision = (*json)["revision"].asUInt64();
    for (const Json::Value &each : (*json)["vms"]) {
        auto vm = parseVm(each);
        if (!vm)
            return std::nullopt;
        list.vms.push_back(std::move(*vm));
    }
    return list;
}

LongPoller::LongPoller(asio::io_context &context, const std::vector<Endpoint> &endpoints,
                       std::string path, std::uint64_t seed, Metrics &metrics, Handlers handlers)
    : m_context(context)
    , m_endpoints(endpoints)
    , m_path(std::move(path))
    , m_metrics(metrics)
    , m_handlers(std::move(handlers))
    , m_timer(context)
    , m_random(seed)
{
}

void LongPoller::start()
{
    // Readers start at random endpoints, so that the load of the fleet is spread over all of them.
    m_endpointIndex = m_random() % m_endpoints.size();
    poll();
}

void LongPoller::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    if (m_client)
        m_client->close();
}

void LongPoller::poll()
{
    if (!m_client)
        m_client = std::make_shared<HttpClient>(m_context, m_endpoints[m_endpointIndex]);
    ++m_metrics.platformCalls;
    // Without a revision the endpoint returns its current state immediately.
    const int wait = m_revision == 0 ? 0 : longPollSeconds;
    m_client->get(m_path + "?since=" + std::to_string(m_revision) + "&wait=" + std::to_string(wait),
                  callTimeout, [weak = weak_from_this()](const HttpReply &reply) {
                      const auto self = weak.lock();
                      if (self && !self->m_isStopped)
                          self->onReply(reply);
                  });
}

void LongPoller::onReply(const HttpReply &reply)
{
    if (!reply.failure && reply.status == notModifiedStatus && m_revision != 0) {
        m_consecutiveFailures = 0;
        m_handlers.onReachable();
        poll();
        return;
    }
    if (reply.failure || reply.status != okStatus) {
        onFailure();
        return;
    }
    const auto revision = m_handlers.onBody(reply.body);
    if (!revision) {
        onFailure();
        return;
    }
    // An endpoint that immediately repeats its previous response is polled again only after a
    // delay.
    const bool hasChanged = *revision != m_revision;
    m_revision = *revision;
    m_consecutiveFailures = 0;
    m_handlers.onReachable();
    if (hasChanged && m_revision != 0)
        poll();
    else
        pollAfterBackoff();
}

void LongPoller::onFailure()
{
    ++m_consecutiveFailures;
    m_client->close();
    m_client.reset();
    m_endpointIndex = (m_endpointIndex + 1) % m_endpoints.size();
    m_revision = 0;
    if (m_consecutiveFailures >= m_endpoints.size())
        m_handlers.onUnreachable();
    pollAfterBackoff();
}

void LongPoller::pollAfterBackoff()
{
    const unsigned failedPasses = std::min<unsigned>(m_consecutiveFailures / m_endpoints.size(), 6);
    const Duration backoff = std::min(maxBackoff, minBackoff * (1 << failedPasses));
    // Jitter keeps the readers of all zones from polling in step after an outage.
    const double jitter = 0.5 + 0.5 * uniform(m_random);
    m_timer.expires_after(fromSeconds(toSeconds(backoff) * jitter));
    m_timer.async_wait([weak = weak_from_this()](error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_isStopped)
            self->poll();
    });
}

PlatformWatcher::PlatformWatcher(asio::io_context &context, std::vector<Endpoint> endpoints,
                                 std::uint64_t seed, Metrics &metrics,
                                 std::function<void(Event)> onEvent)
    : m_context(context)
    , m_endpoints(std::move(endpoints))
    , m_seed(seed)
    , m_metrics(metrics)
    , m_onEvent(std::move(onEvent))
{
}

PlatformWatcher::~PlatformWatcher()
{
    stop();
}

void PlatformWatcher::setEnabled(bool isEnabled)
{
    if (isEnabled == (m_documentPoller != nullptr))
        return;
    if (isEnabled)
        start();
    else
        stop();
}

void PlatformWatcher::start()
{
    if (m_endpoints.empty())
        return;
    m_reportedVersions.clear();
    const auto onReachable = [this] { m_onEvent(PlatformReachability {true}); };
    // A failure of the VM list alone isn't reported as an outage, because the documents determine
    // the active configuration.
    m_documentPoller = std::make_shared<LongPoller>(
        m_context, m_endpoints, "/v1/documents", ++m_seed, m_metrics,
        LongPoller::Handlers {[this](const std::string &body) { return handleDocuments(body); },
                              onReachable, [this] { m_onEvent(PlatformReachability {false}); }});
    m_vmListPoller = std::make_shared<LongPoller>(
        m_context, m_endpoints, "/v1/vms", ++m_seed, m_metrics,
        LongPoller::Handlers {[this](const std::string &body) { return handleVms(body); }, [] {},
                              [] {}});
    m_documentPoller->start();
    m_vmListPoller->start();
}

void PlatformWatcher::stop()
{
    if (m_documentPoller)
        m_documentPoller->stop();
    if (m_vmListPoller)
        m_vmListPoller->stop();
    m_documentPoller.reset();
    m_vmListPoller.reset();
}

std::optional<std::uint64_t> PlatformWatcher::handleDocuments(const std::string &body)
{
    auto response = parseDocumentsResponse(body);
    if (!response)
        return std::nullopt;
    for (DocumentText &document : response->documents) {
        // Each response contains all documents; the core receives only those whose version changed.
        DocumentVersion &reportedVersion = m_reportedVersions[document.name];
        if (std::exchange(reportedVersion, document.version) != document.version)
            m_onEvent(DocumentArrived {std::move(document)});
    }
    return response->revision;
}

std::optional<std::uint64_t> PlatformWatcher::handleVms(const std::string &body)
{
    auto list = parseVmListResponse(body);
    if (!list)
        return std::nullopt;
    const std::uint64_t revision = list->revision;
    m_onEvent(VmListArrived {std::move(*list)});
    return revision;
}

} // namespace berylridge
