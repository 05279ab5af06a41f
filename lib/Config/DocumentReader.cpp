// Reads the "service/<name>" and "fleet" documents.
#include "berylridge/Config/DocumentReader.h"

#include "ServiceFields.h"

namespace berylridge {

namespace {

void readRoutes(FieldReader &fields, std::vector<RouteRule> &routes)
{
    UniquenessCheck unique(fields.source(), "an earlier rule has the same method and pathPrefix");
    fields.list("routes", [&](const Json::Value &element, const std::string &path) {
        RouteRule rule;
        FieldReader entry(fields.source(), element, path);
        entry.text("method", rule.method, methodRule, Presence::Required);
        entry.text("pathPrefix", rule.pathPrefix, pathPrefixRule, Presence::Required);
        entry.boolean("isIdempotent", rule.isIdempotent);
        entry.finish();
        if (!rule.method.empty() && !rule.pathPrefix.empty())
            unique.check(element, path, rule.method + " " + rule.pathPrefix);
        routes.push_back(std::move(rule));
    });
}

void readWorkspaces(FieldReader &fields, std::vector<WorkspaceShare> &workspaces)
{
    UniquenessCheck uniqueNames(fields.source(), "an earlier entry names the same workspace");
    UniquenessCheck uniqueKeys(fields.source(), "another workspace has the same credentialDigest");
    fields.list("workspaces", [&](const Json::Value &element, const std::string &path) {
        WorkspaceShare share;
        FieldReader entry(fields.source(), element, path);
        entry.id("workspace", share.workspace);
        entry.number("weight", share.weight, minWeight, maxWeight);
        entry.text("credentialDigest", share.credentialDigest, digestRule, Presence::Required);
        entry.integer("queueLimit", share.queueLimit, 1, maxQueueLimit);
        entry.finish();
        uniqueNames.check(element, path + ".workspace", share.workspace.str());
        uniqueKeys.check(element, path + ".credentialDigest", share.credentialDigest);
        workspaces.push_back(std::move(share));
    });
}

void readTargets(FieldReader &fields, std::vector<TargetSpec> &targets)
{
    UniquenessCheck uniqueNames(fields.source(), "an earlier entry names the same target");
    UniquenessCheck uniqueEndpoints(fields.source(),
                                    "an earlier target has the same address and port");
    fields.list("targets", [&](const Json::Value &element, const std::string &path) {
        TargetSpec target;
        FieldReader entry(fields.source(), element, path);
        entry.id("target", target.target);
        entry.id("zone", target.zone);
        entry.text("address", target.address, addressRule, Presence::Required);
        entry.integer("port", target.port, 1, 65535, Presence::Required);
        entry.boolean("isLeaving", target.isLeaving);
        entry.boolean("checksFencing", target.checksFencing);
        entry.finish();
        uniqueNames.check(element, path + ".target", target.target.str());
        if (!target.address.empty() && target.port != 0) {
            uniqueEndpoints.check(element, path + ".port",
                                  target.address + " " + std::to_string(target.port));
        }
        targets.push_back(std::move(target));
    });
}

void readServiceFields(FieldReader &fields, ServiceDocument &document)
{
    fields.id("service", document.service);
    readServiceLimits(fields, document);
    readRoutes(fields, document.routes);
    readWorkspaces(fields, document.workspaces);
    readTargets(fields, document.targets);
}

void readZonesOut(FieldReader &fields, std::vector<ZoneId> &zones)
{
    UniquenessCheck unique(fields.source(), "an earlier entry names the same zone");
    fields.list("zonesOut", [&](const Json::Value &element, const std::string &path) {
        auto zone = readText(fields.source(), element, path, nameRule);
        if (!zone)
            return;
        unique.check(element, path, *zone);
        zones.emplace_back(std::move(*zone));
    });
}

} // namespace

ReadResult<ServiceDocument> readServiceDocument(std::string_view file, std::string_view text)
{
    return readRoot<ServiceDocument>(file, text, readServiceFields);
}

ReadResult<FleetDocument> readFleetDocument(std::string_view file, std::string_view text)
{
    return readRoot<FleetDocument>(file, text, [](FieldReader &fields, FleetDocument &document) {
        readZonesOut(fields, document.zonesOut);
    });
}

} // namespace berylridge
