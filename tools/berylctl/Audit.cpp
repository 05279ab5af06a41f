// `berylctl audit`: collects the audit trails of many nodes, so that entries survive the loss of a
// VM.
#include "Command.h"
#include "RouterClient.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <iostream>
#include <tuple>

namespace berylridge::ctl {

namespace {

struct NodeAuditEntry
{
    std::int64_t whenMs = 0;
    std::string node;
    std::uint64_t sequence = 0;
    Json::Value entry;
};

/// Appends the router's whole trail to the entries, page by page. Returns the last reply.
RpcReply fetchAuditTrail(const RouterClient &client, const Endpoint &router,
                         std::vector<NodeAuditEntry> &entries)
{
    Json::Value parameters;
    parameters["after"] = 0;
    while (true) {
        auto reply = client.call(router, "audit", parameters);
        if (!reply.isSuccess)
            return reply;
        const auto node = reply.result["node"].asString();
        if (reply.result["hasGap"].asBool())
            std::cerr << "warning: " << node << " has discarded its oldest entries\n";
        for (const auto &entry : reply.result["entries"]) {
            entries.push_back(
                {entry["whenMs"].asInt64(), node, entry["sequence"].asUInt64(), entry});
        }
        // Stops at an empty page too, so that a router that always reports more can't cause an
        // endless loop.
        if (!reply.result["hasMore"].asBool() || reply.result["entries"].empty())
            return reply;
        parameters["after"] = reply.result["last"];
    }
}

std::string formatTime(std::int64_t milliseconds)
{
    const std::time_t seconds = milliseconds / 1000;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text {};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    auto fraction = std::to_string(milliseconds % 1000);
    fraction.insert(0, 3 - std::min<std::size_t>(3, fraction.size()), '0');
    return std::string(text.data()) + "." + fraction + "Z";
}

void printEntry(const NodeAuditEntry &nodeEntry)
{
    const auto &entry = nodeEntry.entry;
    std::cout << formatTime(nodeEntry.whenMs) << ' ' << nodeEntry.node << ' '
              << entry["kind"].asString() << " by " << entry["who"].asString() << ": "
              << entry["what"].asString();
    const auto from = entry["from"].asString();
    const auto to = entry["to"].asString();
    if (!from.empty() || !to.empty())
        std::cout << " " << (from.empty() ? "none" : from) << " -> " << (to.empty() ? "none" : to);
    std::cout << '\n';
}

} // namespace

int runAudit(int argc, Arguments argv)
{
    CommandLine line(
        {"berylctl audit",
         "print the audit trails of routers in order of time",
         "Reads the whole trail of each router and prints all entries in order of time: when,\n"
         "node, kind, who, what, and the version or state before and after. Trails are held\n"
         "in memory and limited in size; run this regularly and keep its output.",
         {{"ENVIRONMENT", routerClientEnvironmentHelp},
          {"EXAMPLES", "berylctl audit --router 10.0.1.1:7500 --kind zone-state"}}});
    RouterClient client(line);
    TCLAP::ValueArg<std::string> kind("", "kind", "print entries of this kind only", false, "",
                                      "KIND", line.arguments());
    if (const auto status = client.parse(argc, argv))
        return *status;
    std::vector<NodeAuditEntry> entries;
    std::vector<RouterReply> replies;
    for (const auto &router : client.routers())
        replies.push_back({router, fetchAuditTrail(client, router, entries)});
    std::sort(entries.begin(), entries.end(), [](const NodeAuditEntry &a, const NodeAuditEntry &b) {
        return std::tie(a.whenMs, a.node, a.sequence) < std::tie(b.whenMs, b.node, b.sequence);
    });
    for (const auto &nodeEntry : entries) {
        if (!kind.isSet() || nodeEntry.entry["kind"].asString() == kind.getValue())
            printEntry(nodeEntry);
    }
    return reportFailures(replies);
}

} // namespace berylridge::ctl
