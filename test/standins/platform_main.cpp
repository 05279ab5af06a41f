// standin-platform: simulates the configuration service and the VM list for tests and
// demonstrations.
#include "Arguments.h"
#include "Platform.h"

#include <iostream>

using namespace berylridge;
using namespace berylridge::standin;

int main(int argc, char **argv)
{
    Arguments arguments("a stand-in for the platform's configuration service and VM list");
    auto &directory = arguments.addText("documents", "directory of documents to load (*.json)", "");
    auto &vms = arguments.addText("vms", "file with the initial VM list", "");
    auto &vmListDelay
        = arguments.addNumber("vm-lag-ms", "delay of VM list updates, in milliseconds", 0);
    if (const auto status = arguments.parse(argc, argv))
        return *status;

    boost::asio::io_context io;
    Platform platform(io, fromSeconds(vmListDelay.getValue() / 1000));
    if (const auto error = platform.load(directory.getValue(), vms.getValue())) {
        std::cerr << *error << '\n';
        return 2;
    }
    HttpServer server(io, [&](const auto &exchange) { platform.handle(exchange); });
    platform.setServer(server);
    return serve(io, server, arguments.endpoint());
}
