// A stand-in for a plain service: it serves idempotent lookups and purchases that must not be
// repeated, and counts each purchase's executions by idempotency key, or by request id if it has no
// key.
#pragma once

#include "FaultInjector.h"
#include "HttpServer.h"
#include "LoadMeter.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace berylridge::standin {

struct ServiceOptions
{
    std::uint32_t slots = 64;
    std::uint32_t coldSlots = 64;
    std::uint64_t warmAfter = 0;
    Duration lookupTime = std::chrono::milliseconds(5);
    Duration purchaseTime = std::chrono::milliseconds(20);
};

class Service
{
public:
    Service(boost::asio::io_context &io, ServiceOptions options);

    void handle(const std::shared_ptr<Exchange> &exchange);

private:
    void execute(const std::shared_ptr<Exchange> &exchange, Duration duration, std::string body);
    void finish(const std::shared_ptr<Exchange> &exchange, Fault fault, const std::string &body);
    void countExecution(const Exchange &exchange);
    Json::Value stats() const;

    boost::asio::io_context &m_io;
    ServiceOptions m_options;
    LoadMeter m_meter;
    FaultInjector m_faults;
    std::map<std::string, std::uint64_t> m_executionsByKey;
    std::map<std::string, std::uint64_t> m_executionsByRequestId; ///< For purchases without a key.
};

} // namespace berylridge::standin
