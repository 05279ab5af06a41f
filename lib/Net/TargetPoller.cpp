#include "TargetPoller.h"

#include <json/json.h>
#include <utility>

namespace berylridge {

namespace {

constexpr Duration pollTimeout = std::chrono::seconds(1);
constexpr std::chrono::seconds unusedLimit {30};
constexpr unsigned okStatus = 200;

} // namespace

std::optional<TargetLoadReport> readLoadAnswer(const TargetId &target, const std::string &body)
{
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    if (!reader->parse(body.data(), body.data() + body.size(), &value, &errors) || !value.isObject()
        || !value["bootId"].isString() || !value["running"].isUInt()
        || !value["completed"].isUInt64())
        return std::nullopt;
    const Json::Value &age = value["ageMs"];
    const std::int64_t ageMs = age.isUInt() ? std::int64_t {age.asUInt()} : 0;
    return TargetLoadReport {target,
                             value["bootId"].asString(),
                             value["running"].asUInt(),
                             value["completed"].asUInt64(),
                             std::chrono::milliseconds(ageMs),
                             0};
}

TargetPoller::TargetPoller(asio::io_context &context, Metrics &metrics,
                           std::function<void(Event)> take)
    : m_context(context)
    , m_metrics(metrics)
    , m_take(std::move(take))
{
}

TargetPoller::~TargetPoller()
{
    for (auto &[endpoint, client] : m_clients)
        client.http->close();
}

void TargetPoller::poll(const PollTarget &order)
{
    closeUnused();
    ++m_metrics.targetPolls;
    Client &client = m_clients[order.endpoint];
    if (!client.http)
        client.http = std::make_shared<HttpClient>(m_context, order.endpoint);
    client.lastUse = std::chrono::steady_clock::now();
    client.http->get(
        "/load", pollTimeout,
        [this, target = order.target, poll = order.poll](const HttpReply &reply) {
            if (reply.failure) {
                m_take(TargetPollFailed {target, *reply.failure, poll});
                return;
            }
            auto report = readLoadAnswer(target, reply.body);
            if (!report || reply.status != okStatus) {
                m_take(TargetPollFailed {target, AttemptFailure::InvalidResponse, poll});
                return;
            }
            report->poll = poll;
            m_take(std::move(*report));
        });
}

void TargetPoller::closeUnused()
{
    const auto now = std::chrono::steady_clock::now();
    if (now - m_lastSweep < unusedLimit)
        return;
    m_lastSweep = now;
    std::erase_if(m_clients, [&](auto &entry) {
        const bool isUnused
            = now - entry.second.lastUse > unusedLimit && entry.second.http->pending() == 0;
        if (isUnused)
            entry.second.http->close();
        return isUnused;
    });
}

} // namespace berylridge
