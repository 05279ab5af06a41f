// Reads the text of a router's settings file.
#include "berylridge/Config/Settings.h"

#include "FieldReader.h"

#include <set>

namespace berylridge {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr std::size_t minFleetKeyBytes = 32; // The text of fleetKeyRule repeats both limits.
constexpr std::size_t maxFleetKeyBytes = 64;

bool isFleetKey(std::string_view text)
{
    return text.size() >= minFleetKeyBytes && text.size() <= maxFleetKeyBytes;
}

const TextRule fleetKeyRule {isFleetKey, "a string of 32 to 64 bytes"};

void readPlatform(FieldReader &fields, std::vector<Endpoint> &platform)
{
    const bool isList = fields.list(
        "platform",
        [&](const Json::Value &element, const std::string &path) {
            Endpoint endpoint;
            fields.endpointAt(element, path, endpoint);
            platform.push_back(std::move(endpoint));
        },
        Presence::Required);
    if (isList && platform.empty())
        fields.report("platform", "must name at least one endpoint");
}

void readSeeds(FieldReader &fields, std::vector<VmEntry> &seeds)
{
    std::set<NodeId> seen;
    fields.list("seeds", [&](const Json::Value &element, const std::string &path) {
        VmEntry seed;
        FieldReader entry(fields.source(), element, path);
        entry.id("node", seed.node);
        entry.id("zone", seed.zone);
        entry.text("address", seed.address, addressRule, Presence::Required);
        entry.integer("port", seed.port, 1, 65535, Presence::Required);
        entry.finish();
        if (!seed.node.isEmpty() && !seen.insert(seed.node).second)
            entry.report("node", "an earlier entry names the same node");
        seeds.push_back(std::move(seed));
    });
}

void readIdentityAndEndpoints(FieldReader &fields, Settings &settings)
{
    fields.id("node", settings.node);
    fields.id("zone", settings.zone);
    fields.endpoint("callers", settings.callers);
    fields.endpoint("peers", settings.peers);
    settings.advertised = settings.peers;
    fields.endpoint("advertised", settings.advertised, Presence::Optional);
    fields.endpoint("admin", settings.admin);
    fields.text("fleetKey", settings.fleetKey, fleetKeyRule, Presence::Required);
    fields.text("operatorsKeyDigest", settings.operatorsKeyDigest, digestRule, Presence::Required);
    readPlatform(fields, settings.platform);
    readSeeds(fields, settings.seeds);
    fields.list("seedEndpoints", [&](const Json::Value &element, const std::string &path) {
        fields.endpointAt(element, path, settings.seedEndpoints.emplace_back());
    });
    fields.text("chartDirectory", settings.chartDirectory, notEmptyRule, Presence::Required);
}

void readChoices(FieldReader &fields, Settings &settings)
{
    static const std::vector<std::string_view> sharings {"fleet", "per-node", "round-robin",
                                                         "fifo"};
    static const std::vector<std::string_view> levels {"info", "warning", "error"};
    if (const auto choice = fields.choice("sharing", sharings))
        settings.sharing = sharings[*choice];
    if (const auto choice = fields.choice("logLevel", levels))
        settings.logLevel = levels[*choice];
}

void readLimits(FieldReader &fields, Settings &settings)
{
    fields.integer("trafficThreads", settings.trafficThreads, 1, 256);
    fields.integer("headerLimit", settings.headerLimit, 1024, 1 << 20);
    fields.integer("bodyLimit", settings.bodyLimit, 1, 1ULL << 30);
    fields.integer("memoryLimitMb", settings.memoryLimitMb, 32, 1 << 20);
    fields.integer("connectionLimit", settings.connectionLimit, 1, 1'000'000);
    fields.integer("descriptorLimit", settings.descriptorLimit, 0, 100'000'000);
    fields.duration("acceptedLagMs", settings.acceptedLag, milliseconds(0), minutes(1));
    fields.duration("readTimeoutMs", settings.readTimeout, milliseconds(10), hours(1));
    fields.duration("idleTimeoutMs", settings.idleTimeout, milliseconds(10), hours(1));
    fields.duration("heartbeatPeriodMs", settings.heartbeatPeriod, milliseconds(10), minutes(1));
    fields.duration("suspectAfterMs", settings.suspectAfter, milliseconds(20), minutes(10));
    fields.duration("leaseTermMs", settings.leaseTerm, milliseconds(50), minutes(10));
    fields.boolean("leavesRotationOnOverload", settings.leavesRotationOnOverload);
    fields.number("retryRatio", settings.retryRatio, 0, 10);
    fields.number("retrySlack", settings.retrySlack, 0, 1e6);
    fields.duration("retryWindowMs", settings.retryWindow, milliseconds(100), hours(1));
    fields.duration("stopLimitMs", settings.stopLimit, milliseconds(0), hours(24));
    // Each thread has memory for two of the largest requests.
    const std::uint64_t requestLimit = settings.bodyLimit + settings.headerLimit;
    const std::uint64_t requestsLimit = 2 * requestLimit * settings.trafficThreads;
    if (requestsLimit > (settings.memoryLimitMb << 20) / 2) {
        fields.report("bodyLimit",
                      "with headerLimit must be at most a quarter of memoryLimitMb for each of "
                      "trafficThreads");
    }
    if (settings.suspectAfter < 2 * settings.heartbeatPeriod)
        fields.report("suspectAfterMs", "must be at least twice heartbeatPeriodMs");
}

} // namespace

ReadResult<Settings> readSettings(std::string_view file, std::string_view text)
{
    return readRoot<Settings>(file, text, [](FieldReader &fields, Settings &settings) {
        readIdentityAndEndpoints(fields, settings);
        readChoices(fields, settings);
        readLimits(fields, settings);
    });
}

} // namespace berylridge
