#include "Trace.h"

#include "berylridge/Net/Datagram.h"
#include "berylridge/Support/Overloaded.h"

#include <istream>
#include <memory>
#include <optional>

namespace berylridge {

namespace {

/// A trace contains messages as authenticated datagrams. The key needs no protection because a
/// trace contains no secrets.
const std::string traceKey = "the-key-of-recorded-traces-00000";

std::string toHex(const std::string &bytes)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        hex.push_back(digits[value >> 4]);
        hex.push_back(digits[value & 15]);
    }
    return hex;
}

std::string fromHex(const std::string &hex)
{
    std::string bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
        bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
    return bytes;
}

Json::Value toJson(const VmEntry &vm)
{
    Json::Value json;
    json["node"] = vm.node.str();
    json["zone"] = vm.zone.str();
    json["address"] = vm.address;
    json["port"] = vm.port;
    json["isLeaving"] = vm.isLeaving;
    return json;
}

VmEntry vmFromJson(const Json::Value &json)
{
    return {NodeId(json["node"].asString()), ZoneId(json["zone"].asString()),
            json["address"].asString(), static_cast<std::uint16_t>(json["port"].asUInt()),
            json["isLeaving"].asBool()};
}

Json::Value requestToJson(const RequestArrived &e)
{
    Json::Value json;
    json["type"] = "request";
    json["handle"] = Json::UInt64(e.handle);
    json["id"] = e.requestId;
    json["service"] = e.service.str();
    json["credential"] = e.credential;
    json["method"] = e.method;
    json["path"] = e.path;
    if (e.idempotencyKey)
        json["key"] = *e.idempotencyKey;
    json["bodyHash"] = Json::UInt64(e.bodyHash);
    json["bodyBytes"] = Json::UInt64(e.bodyBytes);
    return json;
}

RequestArrived requestFromJson(const Json::Value &json)
{
    RequestArrived e;
    e.handle = json["handle"].asUInt64();
    e.requestId = json["id"].asString();
    e.service = ServiceId(json["service"].asString());
    e.credential = json["credential"].asString();
    e.method = json["method"].asString();
    e.path = json["path"].asString();
    if (json.isMember("key"))
        e.idempotencyKey = json["key"].asString();
    e.bodyHash = json["bodyHash"].asUInt64();
    e.bodyBytes = json["bodyBytes"].asUInt64();
    return e;
}

Json::Value jsonOfType(const char *type)
{
    Json::Value json;
    json["type"] = type;
    return json;
}

Json::Value attemptToJson(const char *type, RequestHandle handle, AttemptNumber attempt)
{
    Json::Value json = jsonOfType(type);
    json["handle"] = Json::UInt64(handle);
    json["attempt"] = attempt;
    return json;
}

Json::Value eventFieldsToJson(const Event &event)
{
    return std::visit(
        Overloaded {
            [](const RequestArrived &e) { return requestToJson(e); },
            [](const KeyIssueRequested &e) {
                Json::Value json = jsonOfType("keyIssue");
                json["handle"] = Json::UInt64(e.handle);
                json["id"] = e.requestId;
                json["credential"] = e.credential;
                return json;
            },
            [](const CallerGone &e) {
                Json::Value json = jsonOfType("callerGone");
                json["handle"] = Json::UInt64(e.handle);
                return json;
            },
            [](const AttemptHead &e) {
                Json::Value json = attemptToJson("head", e.handle, e.attempt);
                json["status"] = e.status;
                json["boot"] = e.bootId;
                return json;
            },
            [](const AttemptDone &e) {
                Json::Value json = attemptToJson("done", e.handle, e.attempt);
                json["status"] = e.status;
                json["boot"] = e.bootId;
                json["bodyBytes"] = Json::UInt64(e.bodyBytes);
                if (e.storedBody)
                    json["body"] = *e.storedBody;
                return json;
            },
            [](const AttemptFailed &e) {
                Json::Value json = attemptToJson("failed", e.handle, e.attempt);
                json["failure"] = static_cast<unsigned>(e.failure);
                json["sentAny"] = e.sentAny;
                json["answerBegun"] = e.answerBegun;
                return json;
            },
            [](const TargetLoadReport &e) {
                Json::Value json = jsonOfType("report");
                json["target"] = e.target.str();
                json["boot"] = e.bootId;
                json["running"] = e.running;
                json["completed"] = Json::UInt64(e.completed);
                json["ageUs"] = Json::Int64(e.age.count());
                json["poll"] = Json::UInt64(e.poll);
                return json;
            },
            [](const TargetPollFailed &e) {
                Json::Value json = jsonOfType("pollFailed");
                json["target"] = e.target.str();
                json["failure"] = static_cast<unsigned>(e.failure);
                json["poll"] = Json::UInt64(e.poll);
                return json;
            },
            [](const NodeMessage &e) {
                Json::Value json = jsonOfType("message");
                const std::string packed = packPeerMessage(e.message);
                json["datagram"] = toHex(
                    DatagramEncoder(e.from, e.incarnation, traceKey).encode(std::span(&packed, 1)));
                return json;
            },
            [](const ProbeEnded &e) {
                Json::Value json = jsonOfType("probe");
                json["node"] = e.node.str();
                json["incarnation"] = Json::UInt64(e.incarnation);
                json["isRefused"] = e.isRefused;
                return json;
            },
            [](const DocumentArrived &e) {
                Json::Value json = jsonOfType("document");
                json["name"] = e.document.name;
                json["version"] = Json::UInt64(e.document.version);
                json["text"] = e.document.text;
                return json;
            },
            [](const VmListArrived &e) {
                Json::Value json = jsonOfType("vms");
                json["revision"] = Json::UInt64(e.list.revision);
                json["vms"] = Json::Value(Json::arrayValue);
                for (const VmEntry &vm : e.list.vms)
                    json["vms"].append(toJson(vm));
                return json;
            },
            [](const PlatformReachability &e) {
                Json::Value json = jsonOfType("platform");
                json["isReachable"] = e.isReachable;
                return json;
            },
            // Traces are recorded from the router core, which shares by leases and ignores these
            // events.
            [](const CatalogArrived &) { return jsonOfType("catalog"); },
            [](const DirectoryArrived &) { return jsonOfType("directory"); },
            [](const SeedsChanged &) { return jsonOfType("seeds"); },
            [](const TrafficThreadReport &) { return jsonOfType("lag"); },
            [](const AttemptSilent &) { return jsonOfType("silent"); },
            [](const FirstEventRelayed &) { return jsonOfType("first event"); },
            [](const PlatformRevisionRead &) { return jsonOfType("platform revision"); },
            [](const ResponseCut &) { return jsonOfType("cut"); },
            [](const TargetAdviceArrived &) { return jsonOfType("advice"); },
            [](const LeaveOrdered &e) {
                Json::Value json = jsonOfType("leave");
                json["who"] = e.who;
                return json;
            },
            [](const ReturnOrdered &e) {
                Json::Value json = jsonOfType("return");
                json["who"] = e.who;
                return json;
            },
            [](const TimerDue &) { return jsonOfType("timer"); },
        },
        event);
}

std::optional<Event> messageFromJson(const Json::Value &json)
{
    const std::string bytes = fromHex(json["datagram"].asString());
    auto datagram = decodeDatagram(traceKey, std::as_bytes(std::span(bytes)));
    if (!datagram || datagram->messages.size() != 1)
        return std::nullopt;
    return NodeMessage {datagram->from, datagram->incarnation, datagram->messages.front()};
}

std::optional<Event> targetEventFromJson(const std::string &type, const Json::Value &json)
{
    const RequestHandle handle = json["handle"].asUInt64();
    const AttemptNumber attempt = json["attempt"].asUInt();
    const std::string boot = json["boot"].asString();
    const auto failure = static_cast<AttemptFailure>(json["failure"].asUInt());
    const TargetId target(json["target"].asString());
    if (type == "head")
        return AttemptHead {handle, attempt, json["status"].asUInt(), boot};
    if (type == "done") {
        AttemptDone done {
            handle, attempt, json["status"].asUInt(), boot, json["bodyBytes"].asUInt64(), {}, {}};
        if (json.isMember("body"))
            done.storedBody = json["body"].asString();
        return done;
    }
    if (type == "failed")
        return AttemptFailed {handle, attempt, failure, json["sentAny"].asBool(),
                              json["answerBegun"].asBool()};
    if (type == "report") {
        return TargetLoadReport {target,
                                 boot,
                                 json["running"].asUInt(),
                                 json["completed"].asUInt64(),
                                 Duration(json["ageUs"].asInt64()),
                                 json["poll"].asUInt64()};
    }
    if (type == "pollFailed")
        return TargetPollFailed {target, failure, json["poll"].asUInt64()};
    return std::nullopt;
}

std::optional<Event> eventFromJson(const Json::Value &json)
{
    const std::string type = json["type"].asString();
    if (type == "request")
        return requestFromJson(json);
    if (type == "keyIssue")
        return KeyIssueRequested {json["handle"].asUInt64(), json["id"].asString(),
                                  json["credential"].asString()};
    if (type == "callerGone")
        return CallerGone {json["handle"].asUInt64()};
    if (type == "message")
        return messageFromJson(json);
    if (type == "probe")
        return ProbeEnded {NodeId(json["node"].asString()), json["incarnation"].asUInt64(),
                           json["isRefused"].asBool()};
    if (type == "document")
        return DocumentArrived {
            {json["name"].asString(), json["version"].asUInt64(), json["text"].asString()}};
    if (type == "vms") {
        VmListArrived event;
        event.list.revision = json["revision"].asUInt64();
        for (const auto &vm : json["vms"])
            event.list.vms.push_back(vmFromJson(vm));
        return event;
    }
    if (type == "platform")
        return PlatformReachability {json["isReachable"].asBool()};
    if (type == "leave")
        return LeaveOrdered {json["who"].asString()};
    if (type == "return")
        return ReturnOrdered {json["who"].asString()};
    if (type == "timer")
        return TimerDue {};
    return targetEventFromJson(type, json);
}

void readHeader(const Json::Value &json, Trace &trace)
{
    trace.options.node = NodeId(json["node"].asString());
    trace.options.zone = ZoneId(json["zone"].asString());
    trace.options.endpoint
        = {json["address"].asString(), static_cast<std::uint16_t>(json["port"].asUInt())};
    trace.options.incarnation = json["incarnation"].asUInt64();
    trace.options.seed = json["seed"].asUInt64();
    trace.start = TimePoint(Duration(json["at"].asInt64()));
    trace.startWall = WallTime(std::chrono::milliseconds(json["wall"].asInt64()));
}

/// Adds one line to the trace. Returns false if it is not a valid line.
bool parseLine(const Json::Value &json, bool isFirst, Trace &trace)
{
    if (isFirst) {
        readHeader(json, trace);
        return json.isMember("node");
    }
    if (json.isMember("expected")) {
        for (const auto &name : json["expected"].getMemberNames())
            trace.expected[name] = json["expected"][name].asUInt64();
        return true;
    }
    auto event = eventFromJson(json);
    if (!event)
        return false;
    trace.events.push_back({TimePoint(Duration(json["at"].asInt64())),
                            WallTime(std::chrono::milliseconds(json["wall"].asInt64())),
                            *std::move(event)});
    return true;
}

} // namespace

Json::Value headerToJson(const CoreOptions &options, TimePoint now, WallTime wall)
{
    Json::Value json;
    json["at"] = Json::Int64(now.time_since_epoch().count());
    json["wall"] = Json::Int64(wall.time_since_epoch().count());
    json["node"] = options.node.str();
    json["zone"] = options.zone.str();
    json["address"] = options.endpoint.address;
    json["port"] = options.endpoint.port;
    json["incarnation"] = Json::UInt64(options.incarnation);
    json["seed"] = Json::UInt64(options.seed);
    return json;
}

Json::Value eventToJson(const Event &event, TimePoint now, WallTime wall)
{
    Json::Value json = eventFieldsToJson(event);
    json["at"] = Json::Int64(now.time_since_epoch().count());
    json["wall"] = Json::Int64(wall.time_since_epoch().count());
    return json;
}

Expected<Trace> readTrace(const std::string &file, std::istream &in)
{
    Trace trace;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    std::string line;
    for (int lineNumber = 1; std::getline(in, line); ++lineNumber) {
        Json::Value json;
        std::string errors;
        const std::string location = file + ":" + std::to_string(lineNumber) + ": ";
        try {
            if (!reader->parse(line.data(), line.data() + line.size(), &json, &errors))
                return Reason {location + "not a JSON object"};
            if (!parseLine(json, lineNumber == 1, trace))
                return Reason {location + "not a valid trace line"};
            const TimePoint before
                = trace.events.size() > 1 ? trace.events.end()[-2].at : trace.start;
            if (!trace.events.empty() && trace.events.back().at < before)
                return Reason {location + "time steps back from that of the previous event"};
        } catch (const std::exception &error) {
            return Reason {location + error.what()};
        }
    }
    return trace;
}

} // namespace berylridge
