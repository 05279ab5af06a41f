// Reads a service file and converts it to a service document.
#include "berylridge/Config/ServiceFile.h"

#include "ServiceFields.h"

namespace berylridge {

namespace {

void readTargetFields(JsonSource &source, const Json::Value &member, const std::string &path,
                      TargetSpec &target, std::string &at)
{
    if (member.isString()) {
        at = member.asString();
        return;
    }
    FieldReader fields(source, member, path);
    fields.text("at", at, notEmptyRule, Presence::Required);
    fields.boolean("isLeaving", target.isLeaving);
    fields.boolean("checksFencing", target.checksFencing);
    fields.finish();
}

class TargetsReader
{
public:
    TargetsReader(FieldReader &fields, ServiceDocument &document)
        : m_fields(fields)
        , m_source(fields.source())
        , m_document(document)
        , m_uniqueNames(m_source, "another zone has a target of the same name")
        , m_uniqueEndpoints(m_source, "another target has the same address and port")
    {
    }

    void read()
    {
        m_fields.members(
            "targets",
            [this](const std::string &zone, const Json::Value &targets, const std::string &path) {
                if (!nameRule.isAllowed(zone))
                    m_source.report(targets, path,
                                    "its name must be " + std::string(nameRule.allowed));
                readZone(ZoneId(zone), targets, path);
            });
    }

private:
    void readZone(const ZoneId &zone, const Json::Value &targets, const std::string &path)
    {
        FieldReader fields(m_source, targets, path);
        fields.forEachMember(
            [&](const std::string &name, const Json::Value &member, const std::string &memberPath) {
                TargetSpec target;
                target.zone = zone;
                target.target = TargetId(m_document.service.str() + "." + name);
                readTarget(name, member, memberPath, target);
                m_document.targets.push_back(std::move(target));
            });
    }

    void readTarget(const std::string &name, const Json::Value &member, const std::string &path,
                    TargetSpec &target)
    {
        m_uniqueNames.check(member, path, name);
        if (!nameRule.isAllowed(name) || !nameRule.isAllowed(target.target.str())) {
            m_source.report(member, path,
                            "its published name, SERVICE.NAME, must be "
                                + std::string(nameRule.allowed));
        }
        std::string at;
        readTargetFields(m_source, member, path, target, at);
        if (at.empty())
            return;
        const auto endpoint = parseEndpoint(at);
        if (!endpoint) {
            m_source.report(member, path, endpoint.failureReason());
            return;
        }
        m_uniqueEndpoints.check(member, path, at);
        target.address = endpoint->address;
        target.port = endpoint->port;
    }

    FieldReader &m_fields;
    JsonSource &m_source;
    ServiceDocument &m_document;
    UniquenessCheck m_uniqueNames;
    UniquenessCheck m_uniqueEndpoints;
};

void readRoute(FieldReader &fields, const std::string &name, const Json::Value &member,
               const std::string &path, ServiceDocument &document)
{
    RouteRule rule;
    const auto space = name.find(' ');
    rule.method = name.substr(0, space);
    rule.pathPrefix = space == std::string::npos ? "" : name.substr(space + 1);
    if (!methodRule.isAllowed(rule.method) || !pathPrefixRule.isAllowed(rule.pathPrefix)) {
        fields.source().report(member, path,
                               "its name must be a method and a path, as in \"POST /v1/orders\"");
    }
    const auto choice = member.isString() ? member.asString() : std::string();
    if (choice != "idempotent" && choice != "once")
        fields.source().report(member, path, R"(must be "idempotent" or "once")");
    rule.isIdempotent = choice == "idempotent";
    document.routes.push_back(std::move(rule));
}

/// One entry under "workspaces": a group or a workspace.
struct ShareEntry
{
    std::string name;
    double weight = 1;
    std::uint32_t queueLimit = WorkspaceShare().queueLimit;
};

ShareEntry readShareEntry(FieldReader &fields, const std::string &name, const Json::Value &member,
                          const std::string &path)
{
    ShareEntry entry;
    entry.name = name;
    if (!member.isObject()) {
        fields.numberAt(member, path, entry.weight, minWeight, maxWeight);
        return entry;
    }
    FieldReader object(fields.source(), member, path);
    object.number("weight", entry.weight, minWeight, maxWeight);
    object.integer("queueLimit", entry.queueLimit, 1, maxQueueLimit);
    object.finish();
    return entry;
}

class WorkspaceSharesReader
{
public:
    WorkspaceSharesReader(FieldReader &fields, const WorkspacesFile &workspaces)
        : m_fields(fields)
        , m_workspaces(workspaces)
    {
    }

    std::vector<WorkspaceShare> read()
    {
        m_fields.members(
            "workspaces",
            [this](const std::string &name, const Json::Value &member, const std::string &path) {
                add(readShareEntry(m_fields, name, member, path), member, path);
            });
        for (auto &[name, share] : m_directShares)
            m_groupShares.insert_or_assign(name, share);
        std::vector<WorkspaceShare> shares;
        for (auto &[name, share] : m_groupShares)
            shares.push_back(std::move(share));
        return shares;
    }

private:
    void add(const ShareEntry &entry, const Json::Value &member, const std::string &path)
    {
        if (m_workspaces.credentialDigests.contains(entry.name)) {
            m_directShares[entry.name] = share(entry.name, entry.weight, entry.queueLimit);
            return;
        }
        const auto group = m_workspaces.groups.find(entry.name);
        if (group == m_workspaces.groups.end()) {
            m_fields.source().report(member, path,
                                     "names no workspace and no group of the workspaces file");
            return;
        }
        for (const auto &[name, weight] : group->second)
            addGroupShare(share(name, weight * entry.weight, entry.queueLimit), member, path);
    }

    void addGroupShare(WorkspaceShare share, const Json::Value &member, const std::string &path)
    {
        const auto name = share.workspace.str();
        if (share.weight < minWeight || share.weight > maxWeight)
            m_fields.source().report(member, path, "puts the weight of " + name + " out of range");
        if (!m_groupShares.emplace(name, std::move(share)).second) {
            m_fields.source().report(member, path,
                                     "has workspace " + name + " in common with another group");
        }
    }

    WorkspaceShare share(const std::string &name, double weight, std::uint32_t queueLimit) const
    {
        return {WorkspaceId(name), weight, m_workspaces.credentialDigests.at(name), queueLimit};
    }

    FieldReader &m_fields;
    const WorkspacesFile &m_workspaces;
    std::map<std::string, WorkspaceShare> m_groupShares;
    std::map<std::string, WorkspaceShare> m_directShares;
};

} // namespace

ReadResult<ServiceDocument> readServiceFile(std::string_view file, std::string_view text,
                                            const WorkspacesFile &workspaces)
{
    return readRoot<ServiceDocument>(
        file, text, [&](FieldReader &fields, ServiceDocument &document) {
            fields.id("service", document.service);
            readServiceLimits(fields, document);
            TargetsReader(fields, document).read();
            fields.members(
                "routes",
                [&](const std::string &name, const Json::Value &member, const std::string &path) {
                    readRoute(fields, name, member, path, document);
                });
            document.workspaces = WorkspaceSharesReader(fields, workspaces).read();
        });
}

} // namespace berylridge
