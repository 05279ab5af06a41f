// Runs the command of berylctl that the first argument names.
#include "Command.h"

#include "berylridge/CommandLine/CommandLine.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <string_view>

namespace {

using namespace berylridge;

struct Command
{
    std::string_view name;
    std::string_view summary;
    int (*run)(int argc, ctl::Arguments argv);
};

constexpr auto commands = std::to_array<Command>({
    {"collect", "check service files and write the documents to publish", ctl::runCollect},
    {"check", "check service files and show what publishing them would change", ctl::runCheck},
    {"status", "show nodes, active documents, targets and workspaces", ctl::runStatus},
    {"explain", "explain how a request was routed and why it waited or was refused",
     ctl::runExplain},
    {"audit", "print the audit trails of routers in order of time", ctl::runAudit},
    {"leave", "take routers out of service by a planned stop", ctl::runLeave},
    {"return", "cancel a leave that has not ended", ctl::runReturn},
    {"digest", "compute the digest of a workspace's or an operator's key", ctl::runDigest},
    {"events", "print the catalogue of log events", ctl::runEvents},
    {"charts", "check state charts and list them", ctl::runCharts},
});

void printHelp()
{
    std::cout << "NAME\n    berylctl - operate a berylridge fleet\n\n"
                 "SYNOPSIS\n    berylctl COMMAND [OPTION]...\n    berylctl COMMAND --help\n\n"
                 "COMMANDS\n";
    for (const auto &command : commands) {
        std::string name(command.name);
        name.resize(10, ' ');
        std::cout << "    " << name << command.summary << '\n';
    }
    std::cout << "\nEXIT STATUS\n    0  fine\n    1  errors were found\n    2  wrong usage\n";
}

int usageError(const std::string &message)
{
    std::cerr << "berylctl: " << message << "; see berylctl --help\n";
    return exitUsageError;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        return usageError("a command is missing");
    const std::string_view commandName = argv[1];
    if (commandName == "--help" || commandName == "-h") {
        printHelp();
        return exitSuccess;
    }
    if (commandName == "--version") {
        std::cout << "berylctl " << BERYLRIDGE_VERSION << '\n';
        return exitSuccess;
    }
    const auto *command
        = std::find_if(commands.begin(), commands.end(),
                       [&](const Command &candidate) { return candidate.name == commandName; });
    if (command == commands.end())
        return usageError("unknown command \"" + std::string(commandName) + "\"");
    return command->run(argc - 1, argv + 1);
}
