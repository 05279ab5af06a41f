// standin-engine: plays a model engine for tests and demonstrations.
#include "Arguments.h"
#include "Engine.h"

using namespace berylridge;
using namespace berylridge::standin;

int main(int argc, char **argv)
{
    Arguments arguments("a model engine's stand-in, for tests");
    auto &slots = arguments.number("slots", "requests that it bears when warm", 8);
    auto &coldSlots = arguments.number("cold-slots", "requests that it bears while cold", 1);
    auto &warmAfter = arguments.number("warm-after", "completed answers until it is warm", 8);
    auto &rate = arguments.number("tokens-per-second", "tokens a second of each stream", 50);
    auto &prefillTime = arguments.number("prefill-ms", "milliseconds before the first token", 20);
    auto &maxReportAge = arguments.number("load-lag-ms", "oldest age of a load report", 0);
    auto &crashMode = arguments.text("crash-mode", "when overloaded: exit or reject", "exit");
    auto &marker = arguments.text("deadly-marker", "a body with this text crashes it", "");
    if (const auto status = arguments.parse(argc, argv))
        return *status;

    EngineOptions options;
    options.slots = static_cast<std::uint32_t>(slots.getValue());
    options.coldSlots = static_cast<std::uint32_t>(coldSlots.getValue());
    options.warmAfter = static_cast<std::uint64_t>(warmAfter.getValue());
    options.tokensPerSecond = rate.getValue();
    options.prefillTime = fromSeconds(prefillTime.getValue() / 1000);
    options.maxReportAge = fromSeconds(maxReportAge.getValue() / 1000);
    options.isRejectingOverload = crashMode.getValue() == "reject";
    options.crashMarker = marker.getValue();

    boost::asio::io_context io;
    Engine engine(io, options);
    HttpServer server(io, [&](const auto &exchange) { engine.handle(exchange); });
    return serve(io, server, arguments.endpoint());
}
