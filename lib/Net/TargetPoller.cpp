#include "TargetPoller.h"

#include "berylridge/Net/JsonObject.h"

#include <utility>

namespace berylridge {

namespace {

constexpr Duration pollTimeout = std::chrono::seconds(1);
constexpr std::chrono::seconds idleClientTimeout {30};
constexpr unsigned okStatus = 200;
constexpr std::uint64_t maxReportBytes = 64 << 10;

} // namespace

std::optional<TargetLoadReport> parseLoadReport(const TargetId &target, const std::string &body)
{
    const auto value = parseJsonObject(body);
    if (!value || !(*value)["bootId"].isString() || !(*value)["running"].isUInt()
        || !(*value)["completed"].isUInt64())
        return std::nullopt;
    const Json::Value &age = (*value)["ageMs"];
    const std::int64_t ageMs = age.isUInt() ? std::int64_t {age.asUInt()} : 0;
    return TargetLoadReport {target,
                             (*value)["bootId"].asString(),
                             (*value)["running"].asUInt(),
                             (*value)["completed"].asUInt64(),
                             std::chrono::milliseconds(ageMs),
                             0};
}

TargetPoller::TargetPoller(asio::io_context &context, Metrics &metrics,
                           std::function<void(Event)> onEvent)
    : m_context(context)
    , m_metrics(metrics)
    , m_onEvent(std::move(onEvent))
{
}

TargetPoller::~TargetPoller()
{
    for (auto &[endpoint, client] : m_clients)
        client.http->close();
}

void TargetPoller::poll(const PollTarget &command)
{
    closeIdleClients();
    ++m_metrics.targetPolls;
    Client &client = m_clients[command.endpoint];
    if (!client.http)
        client.http = std::make_shared<HttpClient>(m_context, command.endpoint, maxReportBytes);
    client.lastUse = std::chrono::steady_clock::now();
    client.http->get(
        "/load", pollTimeout,
        [this, target = command.target, poll = command.poll](const HttpReply &reply) {
            if (reply.failure) {
                m_onEvent(TargetPollFailed {target, *reply.failure, poll});
                return;
            }
            auto report = parseLoadReport(target, reply.body);
            if (!report || reply.status != okStatus) {
                m_onEvent(TargetPollFailed {target, AttemptFailure::InvalidResponse, poll});
                return;
            }
            report->poll = poll;
            m_onEvent(std::move(*report));
        });
}

void TargetPoller::closeIdleClients()
{
    const auto now = std::chrono::steady_clock::now();
    if (now - m_lastSweep < idleClientTimeout)
        return;
    m_lastSweep = now;
    std::erase_if(m_clients, [&](auto &entry) {
        const bool isIdle
            = now - entry.second.lastUse > idleClientTimeout && entry.second.http->pending() == 0;
        if (isIdle)
            entry.second.http->close();
        return isIdle;
    });
}

} // namespace berylridge
