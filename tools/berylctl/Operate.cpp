// Implements `berylctl explain`, `leave` and `return`.
#include "Command.h"
#include "RequestHistory.h"
#include "RouterClient.h"
#include "Sources.h"

#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace berylridge::ctl {

namespace {

int requestStateChange(ManPage page, const std::string &method, int argc, Arguments argv)
{
    CommandLine line(std::move(page));
    RouterClient client(line);
    if (const auto status = client.parse(argc, argv))
        return *status;
    const auto replies = client.callAll(method, Json::objectValue);
    for (const auto &[router, reply] : replies) {
        if (reply.isSuccess) {
            std::cout << reply.result["node"].asString() << ": " << reply.result["state"].asString()
                      << '\n';
        }
    }
    return reportFailures(replies);
}

int explainFromLogs(const std::vector<std::string> &files, const std::string &requestId)
{
    RequestHistory history(requestId);
    for (const std::string &file : files) {
        if (file == "-") {
            history.read(std::cin);
            continue;
        }
        std::ifstream log(file);
        if (!log) {
            printError(file + ": can't be read");
            return exitErrorsFound;
        }
        history.read(log);
    }
    if (history.print(std::cout))
        return exitSuccess;
    printError("no log names the request " + requestId);
    return exitErrorsFound;
}

} // namespace

int runExplain(int argc, Arguments argv)
{
    CommandLine line(
        {"berylctl explain",
         "explain how a request was routed and why it waited or was refused",
         "Asks each router for what it recorded about the request with this X-Request-Id, and\n"
         "prints one line per step. Routers keep their latest requests only; with --log the\n"
         "answer is read from what routers logged instead.",
         {{"ENVIRONMENT", routerClientEnvironmentHelp},
          {"EXAMPLES",
           "berylctl explain --router 10.0.1.1:7500 7d1f0c\n"
           "berylctl explain --log a1.log --log b1.log 7d1f0c"}}});
    TCLAP::MultiArg<std::string> logs("l", "log", "a router's log; - is standard input", false,
                                      "FILE", line.arguments());
    RouterClient client(line, false);
    TCLAP::UnlabeledValueArg<std::string> id("id", "the X-Request-Id", true, "", "REQUEST-ID",
                                             line.arguments());
    if (const auto status = client.parse(argc, argv))
        return *status;
    if (logs.isSet())
        return explainFromLogs(logs.getValue(), id.getValue());
    if (client.routers().empty()) {
        printError("--router or --log is required");
        return exitUsageError;
    }
    Json::Value parameters;
    parameters["requestId"] = id.getValue();
    const auto replies = client.callAll("explain", parameters);
    bool isKnown = false;
    for (const auto &[router, reply] : replies) {
        for (const auto &step : reply.result["lines"]) {
            std::cout << reply.result["node"].asString() << ": " << step.asString() << '\n';
            isKnown = true;
        }
    }
    if (const auto status = reportFailures(replies); status != exitSuccess || isKnown)
        return status;
    std::cerr << "berylctl: no router knows the request " << id.getValue() << '\n';
    return exitErrorsFound;
}

int runLeave(int argc, Arguments argv)
{
    return requestStateChange(
        {"berylctl leave",
         "take routers out of service by a planned stop",
         "Each router turns its readiness off, hands over what it owns, completes what is\n"
         "running and then exits. To take a whole zone out, publish it in zonesOut instead: that\n"
         "applies to its targets too, and survives a restart.",
         {{"ENVIRONMENT", routerClientEnvironmentHelp},
          {"EXAMPLES", "berylctl leave --router 10.0.1.1:7500"}}},
        "leave", argc, argv);
}

int runReturn(int argc, Arguments argv)
{
    return requestStateChange({"berylctl return",
                               "cancel a leave that has not ended",
                               "Each router that is leaving but still runs becomes ready again.",
                               {{"ENVIRONMENT", routerClientEnvironmentHelp},
                                {"EXAMPLES", "berylctl return --router 10.0.1.1:7500"}}},
                              "return", argc, argv);
}

} // namespace berylridge::ctl
