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
        return exchange->answer(200, "application/json", toText(stats()));
    if (path == "/control")
        return m_orders.take(exchange);
    if (path == "/load")
        return exchange->answer(200, "application/json", toText(m_meter.load()));
    if (exchange->request().method() == boost::beast::http::verb::get)
        return run(exchange, m_options.lookupTime,
                   lookupAnswer(std::string(exchange->request().target())));
    if (path != "/purchases")
        return exchange->answer(404, "text/plain", "no such thing\n");
    run(exchange, m_options.purchaseTime, purchaseAnswer(exchange->request().body()));
}

void Service::run(const std::shared_ptr<Exchange> &exchange, Duration time, std::string body)
{
    const auto misbehaviour = m_orders.next(*exchange);
    if (misbehaviour == Misbehaviour::CutBefore)
        return exchange->cut();
    if (exchange->request().method() == boost::beast::http::verb::post)
        countExecution(*exchange);
    if (misbehaviour == Misbehaviour::Hang)
        return exchange->onGone([exchange] {});
    const auto work = m_meter.begin(exchange->header("X-Workspace"));
    const auto delay = misbehaviour == Misbehaviour::Late ? m_orders.lateBy() : time;
    // Work goes on when its caller leaves: a purchase that began is executed.
    runAfter(m_io, delay, [this, exchange, work, misbehaviour, body = std::move(body)] {
        m_meter.end(work, true);
        finish(exchange, misbehaviour, body);
    });
}

void Service::finish(const std::shared_ptr<Exchange> &exchange, Misbehaviour misbehaviour,
                     const std::string &body)
{
    if (misbehaviour == Misbehaviour::CutAnswer)
        return exchange->cut();
    setTargetHeaders(*exchange, m_meter.bootId(), misbehaviour);
    if (misbehaviour == Misbehaviour::OverLong)
        return exchange->answerOverLong(200, "application/json", body);
    if (misbehaviour == Misbehaviour::ServerError)
        return exchange->answer(500, "text/plain", "ordered to fail\n");
    exchange->answer(200, "application/json", body);
}

void Service::countExecution(const Exchange &exchange)
{
    const std::string key = exchange.header("Idempotency-Key");
    if (key.empty())
        ++m_byRequestId[exchange.header("X-Request-Id")];
    else
        ++m_byKey[key];
}

Json::Value Service::stats() const
{
    auto value = m_meter.toJson();
    value["executionsByKey"] = countsToJson(m_byKey);
    value["executionsByRequestId"] = countsToJson(m_byRequestId);
    return value;
}

} // namespace berylridge::standin
