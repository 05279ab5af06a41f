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

[[noreturn]] void crash(int status, const char *why)
{
    std::cerr << "crash: " << why << std::endl;
    std::_Exit(status);
}

std::uint64_t tokensAsked(const std::string &body)
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

/// One answer on its way.
class Engine::Stream : public std::enable_shared_from_this<Stream>
{
public:
    Stream(Engine &engine, std::shared_ptr<Exchange> exchange, Misbehaviour misbehaviour)
        : m_engine(engine)
        , m_exchange(std::move(exchange))
        , m_misbehaviour(misbehaviour)
        , m_work(engine.m_meter.begin(m_exchange->header("X-Workspace")))
        , m_tokens(tokensAsked(m_exchange->request().body()))
        , m_next(lastEventId(*m_exchange) + 1)
        , m_timer(engine.m_io)
    {
    }

    void start()
    {
        m_exchange->onGone([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->cancelled();
        });
        m_timer.expires_after(m_misbehaviour == Misbehaviour::Late ? m_engine.m_orders.lateBy()
                                                                   : m_engine.m_options.prefill);
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
        if (m_misbehaviour == Misbehaviour::Hang)
            return waitForever();
        setTargetHeaders(*m_exchange, m_engine.m_meter.bootId(), m_misbehaviour);
        if (m_misbehaviour == Misbehaviour::ServerError) {
            end(true);
            return m_exchange->answer(500, "text/plain", "ordered to fail\n");
        }
        if (m_misbehaviour == Misbehaviour::OverLong) {
            const auto &body = m_exchange->request().body();
            end(true);
            return m_exchange->answerOverLong(200, "text/event-stream",
                                              wholeStream(body, m_tokens));
        }
        m_exchange->beginChunks(200, "text/event-stream");
        sendNext();
    }

    void waitForever()
    {
        m_timer.expires_at(std::chrono::steady_clock::time_point::max());
        waitForTimer([](Stream &) {});
    }

    void sendNext()
    {
        if (m_misbehaviour == Misbehaviour::CutAnswer && m_next > m_tokens / 2) {
            end(false);
            return m_exchange->cut();
        }
        if (m_next > m_tokens)
            return sendEnd();
        m_exchange->sendChunk(
            streamEvent(m_next, streamToken(m_exchange->request().body(), m_next)));
        ++m_next;
        const double period = 1.0 / m_engine.m_options.tokensPerSecond;
        m_timer.expires_at(m_timer.expiry() + fromSeconds(period));
        waitForTimer([](Stream &stream) { stream.sendNext(); });
    }

    void sendEnd()
    {
        end(true);
        m_exchange->sendChunk(streamEvent(m_next, streamEnd));
        m_exchange->endChunks();
    }

    void cancelled()
    {
        m_engine.m_meter.countCancel();
        end(false);
        m_timer.cancel();
    }

    void end(bool isCompleted)
    {
        m_isEnded = true;
        m_engine.m_meter.end(m_work, isCompleted);
    }

    Engine &m_engine;
    std::shared_ptr<Exchange> m_exchange;
    Misbehaviour m_misbehaviour;
    RunningWork m_work;
    std::uint64_t m_tokens;
    std::uint64_t m_next;
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
        return exchange->answer(200, "application/json", toText(m_meter.toJson()));
    if (path == "/control")
        return m_orders.take(exchange);
    if (exchange->request().method() != boost::beast::http::verb::post)
        return exchange->answer(405, "text/plain", "only POST generates\n");
    generate(exchange);
}

void Engine::report(const std::shared_ptr<Exchange> &exchange)
{
    const auto now = SystemClock().now();
    if (m_report.isNull() || now - m_reportedAt >= m_options.loadLag) {
        m_report = m_meter.load();
        m_reportedAt = now;
    }
    auto report = m_report;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_reportedAt);
    report["ageMs"] = static_cast<Json::UInt64>(age.count());
    exchange->setHeader("X-Boot-Id", m_meter.bootId());
    exchange->answer(200, "application/json", toText(report));
}

void Engine::generate(const std::shared_ptr<Exchange> &exchange)
{
    const auto &body = exchange->request().body();
    const bool isConfigured = !m_options.deadlyMarker.empty();
    if (m_orders.isDeadly(body)
        || (isConfigured && body.find(m_options.deadlyMarker) != std::string::npos))
        crash(deadlyExitStatus, "a body that no engine survives");
    if (m_meter.isCold() && m_meter.isFull()) {
        m_meter.countOverload();
        if (!m_options.isRejecting)
            crash(overloadExitStatus, "more work than a cold engine bears");
        setTargetHeaders(*exchange, m_meter.bootId(), Misbehaviour::None);
        return exchange->answer(503, "text/plain", "cold and full\n");
    }
    const auto misbehaviour = m_orders.next(*exchange);
    if (misbehaviour == Misbehaviour::CutBefore)
        return exchange->cut();
    std::make_shared<Stream>(*this, exchange, misbehaviour)->start();
}

} // namespace berylridge::standin
