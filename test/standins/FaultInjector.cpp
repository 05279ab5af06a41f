#include "FaultInjector.h"

#include "JsonText.h"

#include <array>
#include <utility>

namespace berylridge::standin {

namespace {

std::optional<Fault> faultFromName(std::string_view name)
{
    constexpr std::array<std::pair<std::string_view, Fault>, 8> names {{
        {"none", Fault::None},
        {"hang", Fault::Hang},
        {"cut-before", Fault::ResetBeforeExecution},
        {"cut-answer", Fault::ResetDuringResponse},
        {"late", Fault::DelayedResponse},
        {"crossed", Fault::WrongAttemptId},
        {"over-long", Fault::ExcessBytes},
        {"server-error", Fault::ServerError},
    }};
    for (const auto &[known, value] : names) {
        if (known == name)
            return value;
    }
    return std::nullopt;
}

} // namespace

void FaultInjector::handleControlRequest(const std::shared_ptr<Exchange> &exchange)
{
    const auto command = parseJson(exchange->request().body());
    if (!command || !command->isObject())
        return exchange->respond(400, "text/plain", "not a JSON object\n");
    if (command->isMember("order")) {
        const auto fault = faultFromName((*command)["order"].asString());
        if (!fault)
            return exchange->respond(400, "text/plain", "unknown order\n");
        m_fault = *fault;
        m_count = command->get("count", 1).asUInt64();
    }
    if (command->isMember("lateMs"))
        m_responseDelay = std::chrono::milliseconds((*command)["lateMs"].asUInt64());
    if (command->isMember("marker"))
        m_marker = (*command)["marker"].asString();
    exchange->respond(200, "application/json", "{}");
}

Fault FaultInjector::nextFault(const Exchange &exchange)
{
    if (const auto own = faultFromName(exchange.header("X-Standin-Order")))
        return *own;
    if (m_count == 0)
        return Fault::None;
    --m_count;
    return m_fault;
}

bool FaultInjector::hasCrashMarker(std::string_view body) const
{
    return !m_marker.empty() && body.find(m_marker) != std::string_view::npos;
}

void setTargetHeaders(Exchange &exchange, const std::string &bootId, Fault fault)
{
    const std::string attemptId = exchange.header("X-Attempt-Id");
    const bool isWrongAttemptId = fault == Fault::WrongAttemptId;
    if (!attemptId.empty() || isWrongAttemptId)
        exchange.setHeader("X-Attempt-Id", isWrongAttemptId ? "another-" + attemptId : attemptId);
    exchange.setHeader("X-Boot-Id", bootId);
}

} // namespace berylridge::standin
