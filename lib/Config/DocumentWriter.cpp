// Writes documents and their envelopes with jsoncpp.
#include "berylridge/Config/DocumentWriter.h"

#include "FieldReader.h"

#include "berylridge/Config/JsonArray.h"

#include <json/writer.h>

namespace berylridge {

namespace {

std::string compactJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    // 15 digits reproduce weights as operators wrote them, such as 0.1 instead of
    // 0.10000000000000001.
    builder["precision"] = 15;
    return Json::writeString(builder, value);
}

Json::UInt64 milliseconds(Duration duration)
{
    return static_cast<Json::UInt64>(
        std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

Json::Value routeValue(const RouteRule &rule)
{
    Json::Value value;
    value["method"] = rule.method;
    value["pathPrefix"] = rule.pathPrefix;
    value["isIdempotent"] = rule.isIdempotent;
    return value;
}

Json::Value workspaceValue(const WorkspaceShare &share)
{
    Json::Value value;
    value["workspace"] = share.workspace.str();
    value["weight"] = share.weight;
    value["credentialDigest"] = share.credentialDigest;
    if (share.queueLimit != WorkspaceShare().queueLimit)
        value["queueLimit"] = share.queueLimit;
    return value;
}

Json::Value targetValue(const TargetSpec &target)
{
    Json::Value value;
    value["target"] = target.target.str();
    value["zone"] = target.zone.str();
    value["address"] = target.address;
    value["port"] = target.port;
    if (target.isLeaving)
        value["isLeaving"] = true;
    if (target.checksFencing)
        value["checksFencing"] = true;
    return value;
}

} // namespace

std::string writeServiceDocument(const ServiceDocument &document)
{
    Json::Value value;
    value["service"] = document.service.str();
    value["kind"] = document.kind == ServiceKind::Plain ? "plain" : "model-engine";
    value["slots"] = document.slots;
    value["coldSlots"] = document.coldSlots;
    value["warmAfter"] = document.warmAfter;
    value["queueTimeoutMs"] = milliseconds(document.queueTimeout);
    value["attemptTimeoutMs"] = milliseconds(document.attemptTimeout);
    value["idleTimeoutMs"] = milliseconds(document.idleTimeout);
    value["retryBudget"] = document.retryBudget;
    value["bodyLimit"] = Json::UInt64 {document.bodyLimit};
    value["routes"] = toJsonArray(document.routes, routeValue);
    value["workspaces"] = toJsonArray(document.workspaces, workspaceValue);
    value["targets"] = toJsonArray(document.targets, targetValue);
    return compactJson(value);
}

std::string writeFleetDocument(const FleetDocument &document)
{
    Json::Value value;
    value["zonesOut"] = Json::Value(Json::arrayValue);
    for (const auto &zone : document.zonesOut)
        value["zonesOut"].append(zone.str());
    return compactJson(value);
}

std::string writeEnvelope(const DocumentText &document)
{
    Json::Value value;
    value["name"] = document.name;
    value["version"] = Json::UInt64 {document.version};
    value["text"] = document.text;
    return compactJson(value);
}

ReadResult<DocumentText> readEnvelope(std::string_view file, std::string_view text)
{
    return readRoot<DocumentText>(file, text, [](FieldReader &fields, DocumentText &document) {
        fields.text("name", document.name, notEmptyRule, Presence::Required);
        fields.integer("version", document.version, 1, std::numeric_limits<std::int64_t>::max(),
                       Presence::Required);
        fields.text("text", document.text, notEmptyRule, Presence::Required);
    });
}

} // namespace berylridge
