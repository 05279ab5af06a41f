// A plain service's stand-in: lookups that may be repeated and purchases that may not, each
// execution counted under its idempotency key and its request id.
#pragma once

#include "HttpServer.h"
#include "LoadMeter.h"
#include "Orders.h"

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
    void run(const std::shared_ptr<Exchange> &exchange, Duration time, std::string body);
    void finish(const std::shared_ptr<Exchange> &exchange, Misbehaviour misbehaviour,
                const std::string &body);
    void countExecution(const Exchange &exchange);
    Json::Value stats() const;

    boost::asio::io_context &m_io;
    ServiceOptions m_options;
    LoadMeter m_meter;
    Orders m_orders;
    std::map<std::string, std::uint64_t> m_byKey;
    std::map<std::string, std::uint64_t> m_byRequestId; ///< Of purchases without a key.
};

} // namespace berylridge::standin
