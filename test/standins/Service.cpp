#include "Service.h"

#include "AnswerText.h"
#include "JsonText.h"

namespace berylridge::standin {

namespace {

Json::Value countsToJson(const std::map<std::string, std::uint64_t> &counts)
{
    Json::Value value(Json::objectValue);
    for (const auto &[name, count] : counts)
        value[name] = static_cast<Json::UInt64>(count);
    return value;
}

} // namespace

Service::Service(boost::asio::io_context &io, ServiceOptions options)
    : m_io(io)
    , m_options(options)
    , m_meter(options.slots, options.coldSlots, options.warmAfter)
{
}

void Service::handle(const std::shared_ptr<Exchange> &exchange)
{
    const std::string path = exchange->path();
    if (path == "/stats")
        return exchange->respond(200, "application/json", toText(stats()));
    if (path == "/control")
        return m_faults.handleControlRequest(exchange);
    if (path == "/load")
        return exchange->respond(200, "application/json", toText(m_meter.load()));
    if (exchange->request().method() == boost::beast::http::verb::get)
        return execute(exchange, m_options.lookupTime,
                       lookupResponse(std::string(exchange->request().target())));
    if (path != "/purchases")
        return exchange->respond(404, "text/plain", "unknown path\n");
    execute(exchange, m_options.purchaseTime, purchaseResponse(exchange->request().body()));
}

void Service::execute(const std::shared_ptr<Exchange> &exchange, Duration duration,
                      std::string body)
{
    const auto fault = m_faults.nextFault(*exchange);
    if (fault == Fault::ResetBeforeExecution)
        return exchange->resetConnection();
    if (exchange->request().method() == boost::beast::http::verb::post)
        countExecution(*exchange);
    if (fault == Fault::Hang)
        return exchange->setDisconnectHandler([exchange] {});
    const auto runningRequest = m_meter.begin(exchange->header("X-Workspace"));
    const auto delay = fault == Fault::DelayedResponse ? m_faults.responseDelay() : duration;
    // Execution continues when the caller disconnects: a purchase that has begun is completed.
    runAfter(m_io, delay, [this, exchange, runningRequest, fault, body = std::move(body)] {
        m_meter.end(runningRequest, true);
        finish(exchange, fault, body);
    });
}

void Service::finish(const std::shared_ptr<Exchange> &exchange, Fault fault,
                     const std::string &body)
{
    if (fault == Fault::ResetDuringResponse)
        return exchange->resetConnection();
    setTargetHeaders(*exchange, m_meter.bootId(), fault);
    if (fault == Fault::ExcessBytes)
        return exchange->respondWithExcessBytes(200, "application/json", body);
    if (fault == Fault::ServerError)
        return exchange->respond(500, "text/plain", "injected server error\n");
    exchange->respond(200, "application/json", body);
}

void Service::countExecution(const Exchange &exchange)
{
    const std::string key = exchange.header("Idempotency-Key");
    if (key.empty())
        ++m_executionsByRequestId[exchange.header("X-Request-Id")];
    else
        ++m_executionsByKey[key];
}

Json::Value Service::stats() const
{
    auto value = m_meter.toJson();
    value["executionsByKey"] = countsToJson(m_executionsByKey);
    value["executionsByRequestId"] = countsToJson(m_executionsByRequestId);
    return value;
}

} // namespace berylridge::standin
