// A model engine's stand-in: streams an answer that follows from the body, bears little while cold,
// and goes wrong on order.
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
    double tokensPerSecond = 50; ///< Of each stream.
    Duration prefillTime = std::chrono::milliseconds(20);
    Duration maxReportAge {0};        ///< How old a load report may be.
    bool isRejectingOverload = false; ///< Answers 503 when overloaded, instead of crashing.
    std::string crashMarker;          ///< A body that contains it crashes the engine.
};

/// Exit statuses of a crash, so that tests can tell one from another.
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
    Json::Value m_loadReport; ///< The last load report, kept for the lag.
    TimePoint m_reportedAt {};
};

} // namespace berylridge::standin
