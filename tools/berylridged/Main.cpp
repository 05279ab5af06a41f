// The router daemon: reads its settings, builds the router core and the node that performs its I/O,
// and serves until a planned stop is complete.
#include "berylridge/Admin/AdminApi.h"
#include "berylridge/Admin/AuditTrail.h"
#include "berylridge/CommandLine/CommandLine.h"
#include "berylridge/Config/SettingsFile.h"
#include "berylridge/Net/LogSink.h"
#include "berylridge/Net/RouterNode.h"
#include "berylridge/Router/RouterCore.h"
#include "berylridge/Support/FatalSignal.h"

#include <iostream>
#include <optional>
#include <string>

using namespace berylridge;

namespace {

ManPage manPage()
{
    return {
        "berylridged",
        "router of a berylridge fleet",
        "Routes callers' requests of many workspaces to targets and shares their capacity fairly.\n"
        "SIGTERM and SIGINT begin a planned stop: running requests end first; a second one ends\n"
        "the process at once. The log is written to standard output as lines of JSON;\n"
        "`berylctl events` explains their events by number. Exit status 1 means that a listener\n"
        "could not be opened, 2 wrong arguments or settings.",
        {{"FILES", "FILE  settings, JSON with comments; docs/OPERATING.md gives an example"},
         {"EXAMPLES",
          "berylridged --settings a1.json\n"
          "berylridged --check --settings a1.json"}}};
}

SharingPolicy parseSharingPolicy(const std::string &name)
{
    if (name == "per-node")
        return SharingPolicy::PerNode;
    if (name == "round-robin")
        return SharingPolicy::RoundRobin;
    return name == "fifo" ? SharingPolicy::Fifo : SharingPolicy::Fleet;
}

CoreOptions coreOptions(const Settings &settings, WallTime startTime)
{
    CoreOptions options;
    options.node = settings.node;
    options.zone = settings.zone;
    options.endpoint = settings.advertised;
    options.incarnation = static_cast<Incarnation>(
        std::chrono::duration_cast<std::chrono::microseconds>(startTime.time_since_epoch())
            .count());
    options.seeds = settings.seeds;
    options.chartDirectory = settings.chartDirectory;
    options.policy = parseSharingPolicy(settings.sharing);
    options.heartbeatPeriod = settings.heartbeatPeriod;
    options.suspectAfter = settings.suspectAfter;
    options.leaseTerm = settings.leaseTerm;
    options.stopLimit = settings.stopLimit;
    return options;
}

int serve(const Settings &settings)
{
    const SystemClock clock;
    const CoreOptions options = coreOptions(settings, clock.wallNow());
    Expected<std::unique_ptr<RouterCore>> core
        = RouterCore::create(options, clock.now(), clock.wallNow());
    if (!core) {
        std::cerr << core.failureReason() << '\n';
        return exitUsageError;
    }
    RouterCore &routerCore = **core;
    LogSink log(parseLogLevel(settings.logLevel), log4cplusWriter());
    AuditTrail auditTrail;
    std::unique_ptr<RouterNode> node;

    AdminHooks hooks;
    hooks.node = settings.node;
    hooks.status = [&] { return routerCore.status(); };
    hooks.explain = [&](const std::string &id) { return routerCore.explain(id); };
    hooks.leave = [&](const std::string &who) { node->handleNow(LeaveOrdered {who}); };
    hooks.returnToService = [&](const std::string &who) { node->handleNow(ReturnOrdered {who}); };
    hooks.documents = [&] { return routerCore.documents(); };
    hooks.log = [&](const LogRecord &record) { log.add(record); };
    hooks.wallNow = [&] { return clock.wallNow(); };
    AdminApi admin(std::move(hooks), auditTrail);

    Expected<std::unique_ptr<RouterNode>> builtNode
        = RouterNodeBuilder(settings, options.incarnation, log)
              .core(CoreHandle::of(routerCore))
              .rpc([&](std::string_view request, bool isOperator) {
                  return admin.handleRpc(request, isOperator);
              })
              .audit([&](const AuditEntry &entry) { auditTrail.appendChange(entry); })
              .handlesSignals(true)
              .build();
    if (!builtNode) {
        std::cerr << builtNode.failureReason() << '\n';
        return exitErrorsFound;
    }
    node = *std::move(builtNode);
    log.add({LogEventId::NodeStarted,
             settings.node.str() + " zone " + settings.zone.str() + " callers at "
                 + node->callers().address + ':' + std::to_string(node->callers().port)});
    node->run();
    return exitSuccess;
}

} // namespace

int main(int argc, char **argv)
{
    installFatalSignalHandlers();
    CommandLine line(manPage());
    TCLAP::ValueArg<std::string> path("s", "settings", "the settings file, JSON with comments",
                                      true, "", "FILE", line.arguments());
    TCLAP::SwitchArg isCheckOnly("c", "check", "check the settings, print every error and exit",
                                 line.arguments());
    if (const auto status = line.parse(argc, argv))
        return *status;
    const std::optional<Settings> settings = loadSettings(path.getValue(), std::cerr);
    if (!settings)
        return exitUsageError;
    return isCheckOnly.getValue() ? exitSuccess : serve(*settings);
}
