// A stand-in for a model engine: streams a response that is a function of the request body, has few
// slots while cold, and injects faults on request.
#pragma once

#include "FaultInjector.h"
#include "HttpServer.h"
#include "LoadMeter.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace berylridge::standin {

struct EngineOptions
{
    std::uint32_t slots = 8;
    std::uint32_t coldSlots = 1;
    std::uint64_t warmAfter = 8;
    double tokensPerSecond = 50; ///< Rate of each stream.
    Duration prefillTime = std::chrono::milliseconds(20);
    Duration maxReportAge {0};        ///< A load report is reused until it has this age.
    bool isRejectingOverload = false; ///< Returns 503 when overloaded, instead of crashing.
    std::string crashMarker;          ///< A request body that contains it crashes the engine.
};

/// Exit statuses that let tests distinguish the causes of a crash.
inline constexpr int overloadCrashExitStatus = 70;
inline constexpr int markerCrashExitStatus = 71;

class Engine
{
public:
    Engine(boost::asio::io_context &io, EngineOptions options);

    void handle(const std::shared_ptr<Exchange> &exchange);

private:
    class Stream;
    void generate(const std::shared_ptr<Exchange> &exchange);
    void report(const std::shared_ptr<Exchange> &exchange);

    boost::asio::io_context &m_io;
    EngineOptions m_options;
    LoadMeter m_meter;
    FaultInjector m_faults;
    Json::Value m_loadReport; ///< Last load report, reused until maxReportAge.
    TimePoint m_reportedAt {};
};

} // namespace berylridge::standin
