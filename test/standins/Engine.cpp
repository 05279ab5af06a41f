#include "Engine.h"

#include "AnswerText.h"
#include "JsonText.h"

#include <charconv>
#include <cstdlib>
#include <iostream>

namespace berylridge::standin {

namespace {

constexpr std::uint64_t defaultTokens = 32;
constexpr std::uint64_t mostTokens = 100000;

[[noreturn]] void crash(int status, const char *reason)
{
    std::cerr << "crash: " << reason << std::endl;
    std::_Exit(status);
}

std::uint64_t requestedTokens(const std::string &body)
{
    const auto value = parseJson(body);
    if (!value || !value->isObject() || !(*value)["tokens"].isUInt64())
        return defaultTokens;
    return std::min<std::uint64_t>((*value)["tokens"].asUInt64(), mostTokens);
}

std::uint64_t lastEventId(const Exchange &exchange)
{
    const std::string text = exchange.header("Last-Event-ID");
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

/// Streams one response.
class Engine::Stream : public std::enable_shared_from_this<Stream>
{
public:
    Stream(Engine &engine, std::shared_ptr<Exchange> exchange, Fault fault)
        : m_engine(engine)
        , m_exchange(std::move(exchange))
        , m_fault(fault)
        , m_runningRequest(engine.m_meter.begin(m_exchange->header("X-Workspace")))
        , m_tokens(requestedTokens(m_exchange->request().body()))
        , m_nextToken(lastEventId(*m_exchange) + 1)
        , m_timer(engine.m_io)
    {
    }

    void start()
    {
        m_exchange->setDisconnectHandler([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->onCallerDisconnected();
        });
        m_timer.expires_after(m_fault == Fault::DelayedResponse ? m_engine.m_faults.responseDelay()
                                                                : m_engine.m_options.prefillTime);
        waitForTimer([](Stream &stream) { stream.begin(); });
    }

private:
    template <typename Step>
    void waitForTimer(Step step)
    {
        m_timer.async_wait([self = shared_from_this(), step](boost::system::error_code error) {
            if (!error && !self->m_isEnded)
                step(*self);
        });
    }

    void begin()
    {
        if (m_fault == Fault::Hang)
            return waitForever();
        setTargetHeaders(*m_exchange, m_engine.m_meter.bootId(), m_fault);
        if (m_fault == Fault::ServerError) {
            end(true);
            return m_exchange->respond(500, "text/plain", "injected server error\n");
        }
        if (m_fault == Fault::ExcessBytes) {
            const auto &body = m_exchange->request().body();
            end(true);
            return m_exchange->respondWithExcessBytes(200, "text/event-stream",
                                                      completeStream(body, m_tokens));
        }
        m_exchange->beginChunkedResponse(200, "text/event-stream");
        sendNext();
    }

    void waitForever()
    {
        m_timer.expires_at(std::chrono::steady_clock::time_point::max());
        waitForTimer([](Stream &) {});
    }

    void sendNext()
    {
        if (m_fault == Fault::ResetDuringResponse && m_nextToken > m_tokens / 2) {
            end(false);
            return m_exchange->resetConnection();
        }
        if (m_nextToken > m_tokens)
            return sendEnd();
        m_exchange->sendChunk(
            formatStreamEvent(m_nextToken, streamToken(m_exchange->request().body(), m_nextToken)));
        ++m_nextToken;
        const double period = 1.0 / m_engine.m_options.tokensPerSecond;
        m_timer.expires_at(m_timer.expiry() + fromSeconds(period));
        waitForTimer([](Stream &stream) { stream.sendNext(); });
    }

    void sendEnd()
    {
        end(true);
        m_exchange->sendChunk(formatStreamEvent(m_nextToken, streamEndMarker));
        m_exchange->endChunkedResponse();
    }

    void onCallerDisconnected()
    {
        m_engine.m_meter.countCancel();
        end(false);
        m_timer.cancel();
    }

    void end(bool isCompleted)
    {
        m_isEnded = true;
        m_engine.m_meter.end(m_runningRequest, isCompleted);
    }

    Engine &m_engine;
    std::shared_ptr<Exchange> m_exchange;
    Fault m_fault;
    RunningRequest m_runningRequest;
    std::uint64_t m_tokens;
    std::uint64_t m_nextToken;
    boost::asio::steady_timer m_timer;
    bool m_isEnded = false;
};

Engine::Engine(boost::asio::io_context &io, EngineOptions options)
    : m_io(io)
    , m_options(std::move(options))
    , m_meter(m_options.slots, m_options.coldSlots, m_options.warmAfter)
{
}

void Engine::handle(const std::shared_ptr<Exchange> &exchange)
{
    const std::string path = exchange->path();
    if (path == "/load")
        return report(exchange);
    if (path == "/stats")
        return exchange->respond(200, "application/json", toText(m_meter.toJson()));
    if (path == "/control")
        return m_faults.handleControlRequest(exchange);
    if (exchange->request().method() != boost::beast::http::verb::post)
        return exchange->respond(405, "text/plain", "only POST is allowed\n");
    generate(exchange);
}

void Engine::report(const std::shared_ptr<Exchange> &exchange)
{
    const auto now = SystemClock().now();
    if (m_loadReport.isNull() || now - m_reportedAt >= m_options.maxReportAge) {
        m_loadReport = m_meter.load();
        m_reportedAt = now;
    }
    auto report = m_loadReport;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_reportedAt);
    report["ageMs"] = static_cast<Json::UInt64>(age.count());
    exchange->setHeader("X-Boot-Id", m_meter.bootId());
    exchange->respond(200, "application/json", toText(report));
}

void Engine::generate(const std::shared_ptr<Exchange> &exchange)
{
    const auto &body = exchange->request().body();
    const bool isConfigured = !m_options.crashMarker.empty();
    if (m_faults.hasCrashMarker(body)
        || (isConfigured && body.find(m_options.crashMarker) != std::string::npos))
        crash(markerCrashExitStatus, "the request body contains the crash marker");
    if (m_meter.isCold() && m_meter.isFull()) {
        m_meter.countOverload();
        if (!m_options.isRejectingOverload)
            crash(overloadCrashExitStatus, "more concurrent requests than cold slots");
        setTargetHeaders(*exchange, m_meter.bootId(), Fault::None);
        return exchange->respond(503, "text/plain", "overloaded: all cold slots are in use\n");
    }
    const auto fault = m_faults.nextFault(*exchange);
    if (fault == Fault::ResetBeforeExecution)
        return exchange->resetConnection();
    std::make_shared<Stream>(*this, exchange, fault)->start();
}

} // namespace berylridge::standin
