#include "PlatformWatch.h"

#include <algorithm>
#include <json/json.h>
#include <utility>

namespace berylridge {

namespace {

constexpr int waitSeconds = 10;
constexpr Duration callTimeout = std::chrono::seconds(waitSeconds + 5);
constexpr Duration firstBackOff = std::chrono::milliseconds(200);
constexpr Duration longestBackOff = std::chrono::seconds(5);
constexpr unsigned okStatus = 200;
constexpr unsigned notModifiedStatus = 304;

std::optional<Json::Value> readJson(const std::string &text)
{
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors) || !value.isObject()
        || !value["revision"].isUInt64())
        return std::nullopt;
    return value;
}

std::optional<DocumentText> readDocument(const Json::Value &value)
{
    if (!value.isObject() || !value["name"].isString() || !value["version"].isUInt64()
        || !value["text"].isString())
        return std::nullopt;
    return DocumentText {value["name"].asString(), value["version"].asUInt64(),
                         value["text"].asString()};
}

std::optional<VmEntry> readVm(const Json::Value &value)
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

std::optional<DocumentsAnswer> readDocumentsAnswer(const std::string &body)
{
    const auto json = readJson(body);
    if (!json || !(*json)["documents"].isArray())
        return std::nullopt;
    DocumentsAnswer answer;
    answer.revision = (*json)["revision"].asUInt64();
    for (const Json::Value &each : (*json)["documents"]) {
        auto document = readDocument(each);
        if (!document)
            return std::nullopt;
        answer.documents.push_back(std::move(*document));
    }
    return answer;
}

std::optional<VmList> readVmsAnswer(const std::string &body)
{
    const auto json = readJson(body);
    if (!json || !(*json)["vms"].isArray())
        return std::nullopt;
    VmList list;
    list.revision = (*json)["revision"].asUInt64();
    for (const Json::Value &each : (*json)["vms"]) {
        auto vm = readVm(each);
        if (!vm)
            return std::nullopt;
        list.vms.push_back(std::move(*vm));
    }
    return list;
}

LongPoll::LongPoll(asio::io_context &context, const std::vector<Endpoint> &endpoints,
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

void LongPoll::start()
{
    // Readers of a fleet begin at different endpoints, so that one doesn't carry them all.
    m_current = m_random() % m_endpoints.size();
    poll();
}

void LongPoll::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    if (m_client)
        m_client->close();
}

void LongPoll::poll()
{
    if (!m_client)
        m_client = std::make_shared<HttpClient>(m_context, m_endpoints[m_current]);
    ++m_metrics.platformCalls;
    // Without a revision the endpoint is asked for what there is now.
    const int wait = m_revision == 0 ? 0 : waitSeconds;
    m_client->get(m_path + "?since=" + std::to_string(m_revision) + "&wait=" + std::to_string(wait),
                  callTimeout, [weak = weak_from_this()](const HttpReply &reply) {
                      const auto self = weak.lock();
                      if (self && !self->m_isStopped)
                          self->onReply(reply);
                  });
}

void LongPoll::onReply(const HttpReply &reply)
{
    if (!reply.failure && reply.status == notModifiedStatus && m_revision != 0) {
        m_failures = 0;
        m_handlers.reached();
        poll();
        return;
    }
    if (reply.failure || reply.status != okStatus) {
        onFailure();
        return;
    }
    const auto revision = m_handlers.take(reply.body);
    if (!revision) {
        onFailure();
        return;
    }
    // An endpoint that answers at once with what it said before must not be asked without a pause.
    const bool isNews = *revision != m_revision;
    m_revision = *revision;
    m_failures = 0;
    m_handlers.reached();
    if (isNews && m_revision != 0)
        poll();
    else
        waitThenPoll();
}

void LongPoll::onFailure()
{
    ++m_failures;
    m_client->close();
    m_client.reset();
    m_current = (m_current + 1) % m_endpoints.size();
    m_revision = 0;
    if (m_failures >= m_endpoints.size())
        m_handlers.missed();
    waitThenPoll();
}

void LongPoll::waitThenPoll()
{
    const unsigned rounds = std::min<unsigned>(m_failures / m_endpoints.size(), 6);
    const Duration longest = std::min(longestBackOff, firstBackOff * (1 << rounds));
    // Jitter, so that the readers of all zones don't come back in step after an outage.
    const double part = 0.5 + 0.5 * uniform(m_random);
    m_timer.expires_after(fromSeconds(toSeconds(longest) * part));
    m_timer.async_wait([weak = weak_from_this()](error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_isStopped)
            self->poll();
    });
}

PlatformWatch::PlatformWatch(asio::io_context &context, std::vector<Endpoint> endpoints,
                             std::uint64_t seed, Metrics &metrics, std::function<void(Event)> take)
    : m_context(context)
    , m_endpoints(std::move(endpoints))
    , m_seed(seed)
    , m_metrics(metrics)
    , m_take(std::move(take))
{
}

PlatformWatch::~PlatformWatch()
{
    stop();
}

void PlatformWatch::set(bool isOn)
{
    if (isOn == (m_documents != nullptr))
        return;
    if (isOn)
        start();
    else
        stop();
}

void PlatformWatch::start()
{
    if (m_endpoints.empty())
        return;
    m_seen.clear();
    const auto reached = [this] { m_take(PlatformReachability {true}); };
    // The VM list alone failing is no outage: documents say what is in force.
    m_documents = std::make_shared<LongPoll>(
        m_context, m_endpoints, "/v1/documents", ++m_seed, m_metrics,
        LongPoll::Handlers {[this](const std::string &body) { return takeDocuments(body); },
                            reached, [this] { m_take(PlatformReachability {false}); }});
    m_vms = std::make_shared<LongPoll>(
        m_context, m_endpoints, "/v1/vms", ++m_seed, m_metrics,
        LongPoll::Handlers {[this](const std::string &body) { return takeVms(body); }, [] {},
                            [] {}});
    m_documents->start();
    m_vms->start();
}

void PlatformWatch::stop()
{
    if (m_documents)
        m_documents->stop();
    if (m_vms)
        m_vms->stop();
    m_documents.reset();
    m_vms.reset();
}

std::optional<std::uint64_t> PlatformWatch::takeDocuments(const std::string &body)
{
    auto answer = readDocumentsAnswer(body);
    if (!answer)
        return std::nullopt;
    for (DocumentText &document : answer->documents) {
        // Each answer holds all documents; only those that changed are news to the core.
        DocumentVersion &seen = m_seen[document.name];
        if (std::exchange(seen, document.version) != document.version)
            m_take(DocumentArrived {std::move(document)});
    }
    return answer->revision;
}

std::optional<std::uint64_t> PlatformWatch::takeVms(const std::string &body)
{
    auto list = readVmsAnswer(body);
    if (!list)
        return std::nullopt;
    const std::uint64_t revision = list->revision;
    m_take(VmListArrived {std::move(*list)});
    return revision;
}

} // namespace berylridge
