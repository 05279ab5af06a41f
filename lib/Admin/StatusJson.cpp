// Converts structs member by member, so that a new member isn't added to the API by accident.
#include "StatusJson.h"

#include "berylridge/Config/JsonArray.h"
#include "berylridge/Support/LogEvent.h"

namespace berylridge {

namespace {

Json::Value memberValue(const MemberStatus &member)
{
    Json::Value value;
    value["node"] = member.node.str();
    value["zone"] = member.zone.str();
    value["state"] = member.state;
    value["incarnation"] = Json::UInt64 {member.incarnation};
    value["silentSeconds"] = member.silentSeconds;
    return value;
}

Json::Value targetValue(const TargetStatus &target)
{
    Json::Value value;
    value["service"] = target.service.str();
    value["target"] = target.target.str();
    value["zone"] = target.zone.str();
    value["state"] = target.state;
    value["owner"] = target.owner.str();
    value["limit"] = target.limit;
    value["granted"] = target.granted;
    value["held"] = target.held;
    value["running"] = target.running;
    return value;
}

Json::Value workspaceValue(const WorkspaceStatus &workspace)
{
    Json::Value value;
    value["service"] = workspace.service.str();
    value["workspace"] = workspace.workspace.str();
    value["weight"] = workspace.weight;
    value["virtualTime"] = workspace.virtualTime;
    value["charged"] = workspace.charged;
    value["waiting"] = workspace.waiting;
    value["running"] = workspace.running;
    return value;
}

Json::Value auditEntryValue(const NumberedAuditEntry &numbered)
{
    const auto &entry = numbered.entry;
    Json::Value value;
    value["sequence"] = Json::UInt64 {numbered.sequence};
    value["kind"] = auditKindName(entry.kind);
    value["who"] = entry.who;
    value["what"] = entry.what;
    value["from"] = entry.from;
    value["to"] = entry.to;
    value["whenMs"] = Json::Int64 {entry.when.time_since_epoch().count()};
    return value;
}

} // namespace

Json::Value documentVersionValue(const DocumentVersionEntry &documentVersion)
{
    Json::Value value;
    value["name"] = documentVersion.name;
    value["version"] = Json::UInt64 {documentVersion.version};
    return value;
}

Json::Value statusValue(const NodeStatus &status)
{
    Json::Value value;
    value["node"] = status.node.str();
    value["zone"] = status.zone.str();
    value["state"] = status.state;
    value["incarnation"] = Json::UInt64 {status.incarnation};
    value["isReader"] = status.isReader;
    value["vmListRevision"] = Json::UInt64 {status.vmListRevision};
    value["documents"] = toJsonArray(status.documents, documentVersionValue);
    value["members"] = toJsonArray(status.members, memberValue);
    value["targets"] = toJsonArray(status.targets, targetValue);
    value["workspaces"] = toJsonArray(status.workspaces, workspaceValue);
    return value;
}

Json::Value auditValue(const AuditPage &page)
{
    Json::Value value;
    value["entries"] = toJsonArray(page.entries, auditEntryValue);
    value["last"] = Json::UInt64 {page.last};
    value["hasGap"] = page.hasGap;
    value["hasMore"] = page.hasMore;
    return value;
}

Json::Value eventsValue()
{
    Json::Value list(Json::arrayValue);
    for (const auto &info : logEventCatalogue()) {
        Json::Value value;
        value["number"] = static_cast<unsigned>(info.id);
        value["name"] = std::string(info.name);
        value["level"] = std::string(logLevelName(info.level));
        value["text"] = std::string(info.text);
        list.append(std::move(value));
    }
    return list;
}

} // namespace berylridge
