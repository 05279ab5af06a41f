// standin-service: plays a plain service for tests and demonstrations, and counts executions.
#include "Arguments.h"
#include "Service.h"

using namespace berylridge;
using namespace berylridge::standin;

int main(int argc, char **argv)
{
    Arguments arguments("a plain service's stand-in, for tests");
    auto &slots = arguments.number("slots", "requests that it bears at once", 64);
    auto &coldSlots = arguments.number("cold-slots", "requests that it bears while cold", 64);
    auto &warmAfter = arguments.number("warm-after", "completed answers until it is warm", 0);
    auto &lookupTime = arguments.number("lookup-ms", "milliseconds of a lookup", 5);
    auto &purchaseTime = arguments.number("purchase-ms", "milliseconds of a purchase", 20);
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
