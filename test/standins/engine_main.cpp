// standin-engine: simulates a model engine for tests and demonstrations.
#include "Arguments.h"
#include "Engine.h"

using namespace berylridge;
using namespace berylridge::standin;

int main(int argc, char **argv)
{
    Arguments arguments("a stand-in for a model engine, for tests");
    auto &slots = arguments.addNumber("slots", "concurrent requests that it can run when warm", 8);
    auto &coldSlots
        = arguments.addNumber("cold-slots", "concurrent requests that it can run while cold", 1);
    auto &warmAfter = arguments.addNumber("warm-after", "completed responses until it is warm", 8);
    auto &rate = arguments.addNumber("tokens-per-second", "tokens per second of each stream", 50);
    auto &prefillTime
        = arguments.addNumber("prefill-ms", "milliseconds before the first token", 20);
    auto &maxReportAge
        = arguments.addNumber("load-lag-ms", "maximum age of a load report, in milliseconds", 0);
    auto &crashMode
        = arguments.addText("crash-mode", "what an overloaded engine does: exit or reject", "exit");
    auto &marker
        = arguments.addText("deadly-marker", "text in a request body that crashes the engine", "");
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
