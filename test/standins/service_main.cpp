// standin-service: simulates a plain service for tests and demonstrations, and counts executions.
#include "Arguments.h"
#include "Service.h"

using namespace berylridge;
using namespace berylridge::standin;

int main(int argc, char **argv)
{
    Arguments arguments("a stand-in for a plain service, for tests");
    auto &slots = arguments.addNumber("slots", "concurrent requests that it can run when warm", 64);
    auto &coldSlots
        = arguments.addNumber("cold-slots", "concurrent requests that it can run while cold", 64);
    auto &warmAfter = arguments.addNumber("warm-after", "completed responses until it is warm", 0);
    auto &lookupTime = arguments.addNumber("lookup-ms", "duration of a lookup, in milliseconds", 5);
    auto &purchaseTime
        = arguments.addNumber("purchase-ms", "duration of a purchase, in milliseconds", 20);
    if (const auto status = arguments.parse(argc, argv))
        return *status;

    ServiceOptions options;
    options.slots = static_cast<std::uint32_t>(slots.getValue());
    options.coldSlots = static_cast<std::uint32_t>(coldSlots.getValue());
    options.warmAfter = static_cast<std::uint64_t>(warmAfter.getValue());
    options.lookupTime = fromSeconds(lookupTime.getValue() / 1000);
    options.purchaseTime = fromSeconds(purchaseTime.getValue() / 1000);

    boost::asio::io_context io;
    Service service(io, options);
    HttpServer server(io, [&](const auto &exchange) { service.handle(exchange); });
    return serve(io, server, arguments.endpoint());
}
