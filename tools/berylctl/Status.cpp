// `berylctl status`: prints the nodes, the active documents and details of single routers.
#include "Command.h"
#include "RouterClient.h"
#include "Table.h"

#include <iostream>
#include <map>
#include <set>
#include <sstream>

namespace berylridge::ctl {

namespace {

ManPage statusManPage()
{
    return {
        "berylctl status",
        "show nodes, active documents, targets and workspaces",
        "Calls each router and prints one line per node, then the version of each active "
        "document;\n"
        "a document whose versions differ between nodes is marked. With --detail, prints members, "
        "targets\n"
        "and workspaces as each node sees them.",
        {{"ENVIRONMENT", routerClientEnvironmentHelp},
         {"EXAMPLES", "berylctl status --router 10.0.1.1:7500 --router 10.0.1.2:7500"}}};
}

std::string numberText(const Json::Value &value)
{
    std::ostringstream out;
    out.precision(4);
    if (value.isIntegral())
        out << value.asUInt64();
    else
        out << value.asDouble();
    return out.str();
}

std::uint64_t sumOf(const Json::Value &list, const char *name)
{
    std::uint64_t sum = 0;
    for (const auto &element : list)
        sum += element[name].asUInt64();
    return sum;
}

std::uint64_t countOwnedTargets(const Json::Value &targets, const std::string &node)
{
    std::uint64_t count = 0;
    for (const auto &target : targets)
        count += target["owner"].asString() == node ? 1 : 0;
    return count;
}

void printNodes(const std::vector<RouterReply> &replies)
{
    Table table({"router", "node", "zone", "state", "reader", "vms", "members", "owns", "waiting",
                 "running"});
    for (const auto &[router, reply] : replies) {
        if (!reply.isSuccess)
            continue;
        const auto &node = reply.result;
        table.add({endpointText(router), node["node"].asString(), node["zone"].asString(),
                   node["state"].asString(), node["isReader"].asBool() ? "yes" : "no",
                   numberText(node["vmListRevision"]), std::to_string(node["members"].size()),
                   std::to_string(countOwnedTargets(node["targets"], node["node"].asString())),
                   std::to_string(sumOf(node["workspaces"], "waiting")),
                   std::to_string(sumOf(node["workspaces"], "running"))});
    }
    table.print();
}

/// Maps each version of a document to the names of the nodes on which it is active.
using NodesByVersion = std::map<std::uint64_t, std::set<std::string>>;

std::string joinNodes(const std::set<std::string> &nodes)
{
    std::string text;
    for (const auto &node : nodes)
        text += (text.empty() ? "" : " ") + node;
    return text;
}

void printDocuments(const std::vector<RouterReply> &replies)
{
    std::map<std::string, NodesByVersion> documents;
    for (const auto &[router, reply] : replies) {
        for (const auto &document : reply.result["documents"]) {
            documents[document["name"].asString()][document["version"].asUInt64()].insert(
                reply.result["node"].asString());
        }
    }
    Table table({"document", "version", "nodes"});
    for (const auto &[name, versions] : documents) {
        for (const auto &[version, nodes] : versions) {
            table.add({name, std::to_string(version),
                       (versions.size() == 1 ? "same: " : "differs: ") + joinNodes(nodes)});
        }
    }
    if (table.isEmpty())
        return;
    std::cout << '\n';
    table.print();
}

void printList(const Json::Value &list, const std::vector<std::string> &names)
{
    Table table(names);
    for (const auto &element : list) {
        std::vector<std::string> row;
        for (const auto &name : names) {
            const auto &value = element[name];
            row.push_back(value.isString() ? value.asString() : numberText(value));
        }
        table.add(std::move(row));
    }
    table.print("    ");
}

void printDetail(const Json::Value &node)
{
    std::cout << '\n' << node["node"].asString() << '\n';
    printList(node["members"], {"node", "zone", "state", "silentSeconds"});
    printList(
        node["targets"],
        {"service", "target", "zone", "state", "owner", "limit", "granted", "held", "running"});
    printList(node["workspaces"],
              {"service", "workspace", "weight", "virtualTime", "charged", "waiting", "running"});
}

} // namespace

int runStatus(int argc, Arguments argv)
{
    CommandLine line(statusManPage());
    RouterClient client(line);
    TCLAP::SwitchArg detail("d", "detail", "print members, targets and workspaces too",
                            line.arguments());
    if (const auto status = client.parse(argc, argv))
        return *status;
    const auto replies = client.callAll("status", Json::objectValue);
    printNodes(replies);
    printDocuments(replies);
    for (const auto &[router, reply] : replies) {
        if (detail.getValue() && reply.isSuccess)
            printDetail(reply.result);
    }
    return reportFailures(replies);
}

} // namespace berylridge::ctl
