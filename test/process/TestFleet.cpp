#include "TestFleet.h"

#include "JsonText.h"
#include "Uuid.h"

#include "berylridge/Support/Hash.h"

#include <boost/asio/ip/address.hpp>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <unistd.h>

namespace berylridge::test {

namespace {

constexpr std::uint16_t callersPort = 8080;
constexpr std::uint16_t peersPort = 7400;
constexpr std::uint16_t adminPort = 7500;
constexpr std::uint16_t targetPort = 9000;
constexpr std::uint16_t platformPort = 8500;
constexpr unsigned reservationGroup = 250;
constexpr unsigned platformGroup = 200;
constexpr unsigned relayGroup = 150; ///< The zone's number is added.
constexpr unsigned serviceGroup = 100;
constexpr unsigned engineGroup = 50;
constexpr unsigned firstBlock = 20;
constexpr unsigned blockCount = 200;

const char *const engineService = "assistant";
const char *const plainService = "catalogue";

std::string workspaceName(std::uint32_t index)
{
    return "ws" + std::to_string(index + 1);
}

std::string workspaceKey(std::uint32_t index)
{
    return "key-of-" + workspaceName(index);
}

Json::Value toJson(const Endpoint &endpoint)
{
    Json::Value value;
    value["address"] = endpoint.address;
    value["port"] = endpoint.port;
    return value;
}

Json::Value toJson(const std::vector<TargetLocation> &targets)
{
    Json::Value list(Json::arrayValue);
    for (const auto &target : targets)
        list.append(toJson(target.endpoint));
    return list;
}

void writeJson(const std::string &path, const Json::Value &value)
{
    std::ofstream(path) << toText(value) << '\n';
}

CallResult send(const Endpoint &endpoint, const std::string &method, const std::string &target,
                const std::string &body)
{
    CallSpec spec;
    spec.endpoint = endpoint;
    spec.method = method;
    spec.target = target;
    spec.body = body;
    return fetch(std::move(spec));
}

bool isListening(const Endpoint &endpoint)
{
    return send(endpoint, "GET", "/stats", "").end == CallEnd::Complete;
}

} // namespace

TestFleet::TestFleet(FleetOptions options)
    : m_options(std::move(options))
{
    std::string name = (std::filesystem::temp_directory_path() / "berylridge-XXXXXX").string();
    m_directory = mkdtemp(name.data());
    reserveAddresses();
    assignAddresses();
}

TestFleet::~TestFleet()
{
    m_routerProcesses.clear();
    m_engineProcesses.clear();
    m_serviceProcesses.clear();
    m_platformProcess.reset();
    if (testing::Test::HasFailure())
        std::cerr << "the logs are in " << m_directory << '\n';
    else
        std::filesystem::remove_all(m_directory);
}

/// Reserves a block of addresses, because other runs of these tests may use the machine at the same
/// time: a socket that stays bound for the fleet's lifetime marks the block as in use.
void TestFleet::reserveAddresses()
{
    for (unsigned i = 0; i < blockCount && !m_reservationSocket; ++i) {
        m_block = firstBlock + (static_cast<unsigned>(getpid()) + i) % blockCount;
        auto reservation = std::make_unique<boost::asio::ip::tcp::acceptor>(m_io);
        boost::system::error_code error;
        reservation->open(boost::asio::ip::tcp::v4(), error);
        reservation->bind(
            {boost::asio::ip::make_address(address(reservationGroup, 1)), platformPort}, error);
        if (!error)
            m_reservationSocket = std::move(reservation);
    }
}

std::string TestFleet::address(unsigned group, unsigned number) const
{
    return "127." + std::to_string(m_block) + "." + std::to_string(group) + "."
        + std::to_string(number);
}

void TestFleet::assignAddresses()
{
    m_platform = {address(platformGroup, 1), platformPort};
    unsigned zoneNumber = 0;
    for (const auto &zone : m_options.zones) {
        ++zoneNumber;
        for (unsigned i = 1; i <= m_options.routersPerZone; ++i) {
            RouterLocation router;
            router.node = zone + std::to_string(i);
            router.zone = zone;
            const auto routerAddress = address(zoneNumber, i);
            router.callers = {routerAddress, callersPort};
            router.peers = {routerAddress, peersPort};
            router.admin = {routerAddress, adminPort};
            router.advertised = router.peers;
            if (m_options.hasRelay)
                router.advertised.address = address(relayGroup + zoneNumber, i);
            m_routers.push_back(router);
        }
        assignTargetAddresses(zone, "engine-", engineGroup + zoneNumber, m_options.enginesPerZone,
                              m_engines);
        assignTargetAddresses(zone, "catalogue-", serviceGroup + zoneNumber,
                              m_options.servicesPerZone, m_services);
    }
}

void TestFleet::assignTargetAddresses(const std::string &zone, const std::string &prefix,
                                      unsigned group, unsigned count,
                                      std::vector<TargetLocation> &targets) const
{
    for (unsigned i = 1; i <= count; ++i) {
        const Endpoint endpoint {address(group, i), targetPort};
        targets.push_back({prefix + zone + std::to_string(i), zone, endpoint});
    }
}

bool TestFleet::start()
{
    startStandIns();
    startRelay();
    m_engineProcesses.resize(m_engines.size());
    for (std::size_t i = 0; i < m_engines.size(); ++i)
        startEngine(i);
    m_routerProcesses.resize(m_routers.size());
    for (std::size_t i = 0; i < m_routers.size(); ++i)
        startRouter(i);
    return waitUntil([this] {
        for (std::size_t i = 0; i < m_routers.size(); ++i) {
            if (!isReady(i) || !acceptsPurchases(i))
                return false;
        }
        return true;
    });
}

/// Returns true if a router accepts purchases. Nodes that have just started cannot prove that a key
/// created before their start is unused, so a new fleet rejects purchases for a short time.
bool TestFleet::acceptsPurchases(std::size_t router) const
{
    static RandomEngine random(1);
    auto spec = callSpec(router, 0, "POST", "/v1/services/catalogue/purchases");
    spec.headers.emplace_back("Idempotency-Key", uuidV7(SystemClock().wallNow(), random));
    spec.body = "{}";
    return fetch(std::move(spec)).status == 200;
}

void TestFleet::startStandIns()
{
    writeJson(file("vms.json"), vmList());
    m_platformProcess = std::make_unique<ChildProcess>(
        "standin-platform",
        std::vector<std::string> {"--address", m_platform.address, "--port",
                                  std::to_string(m_platform.port), "--vms", file("vms.json")},
        file("platform.log"));
    for (const auto &service : m_services) {
        m_serviceProcesses.push_back(std::make_unique<ChildProcess>(
            "standin-service",
            std::vector<std::string> {"--address", service.endpoint.address, "--port",
                                      std::to_string(service.endpoint.port)},
            file(service.name + ".log")));
    }
    waitUntil([this] { return isListening(m_platform); });
    for (const auto &service : m_services)
        waitUntil([&] { return isListening(service.endpoint); });
    putDocument("service/assistant", serviceDocument(engineService, m_engines, true));
    putDocument("service/catalogue", serviceDocument(plainService, m_services, false));
    publishEvacuatedZones({});
}

void TestFleet::startRelay()
{
    if (!m_options.hasRelay)
        return;
    m_relay = std::make_unique<LinkRelay>();
    for (const auto &router : m_routers)
        m_relay->addLink(router.advertised, router.zone, router.peers);
    m_relay->run();
}

void TestFleet::startEngine(std::size_t index)
{
    const auto &engine = m_engines[index];
    m_restartedOverloads += hasOverloadCrash(index) ? 1 : 0;
    m_engineProcesses[index].reset();
    m_engineProcesses[index] = std::make_unique<ChildProcess>(
        "standin-engine",
        std::vector<std::string> {"--address", engine.endpoint.address, "--port",
                                  std::to_string(engine.endpoint.port), "--slots",
                                  std::to_string(m_options.slots), "--cold-slots",
                                  std::to_string(m_options.coldSlots), "--warm-after",
                                  std::to_string(m_options.warmAfter), "--tokens-per-second",
                                  std::to_string(m_options.tokensPerSecond)},
        file(engine.name + ".log"));
    waitUntil([&] { return isListening(engine.endpoint); });
}

bool TestFleet::hasOverloadCrash(std::size_t engine) const
{
    constexpr int overloadCrashExitStatus = 70; // Exit status of standin-engine.
    return m_engineProcesses[engine]
        && m_engineProcesses[engine]->status() == overloadCrashExitStatus;
}

std::uint32_t TestFleet::countOverloadCrashes() const
{
    std::uint32_t overloads = m_restartedOverloads;
    for (std::size_t i = 0; i < m_engines.size(); ++i)
        overloads += hasOverloadCrash(i) ? 1 : 0;
    return overloads;
}

void TestFleet::startRouter(std::size_t index)
{
    const auto &router = m_routers[index];
    writeSettings(router);
    m_routerProcesses[index].reset();
    m_routerProcesses[index] = std::make_unique<ChildProcess>(
        "berylridged",
        std::vector<std::string> {"--settings", file(router.node + ".settings.json")},
        file(router.node + ".log"));
}

bool TestFleet::isReady(std::size_t index) const
{
    return send(m_routers[index].admin, "GET", "/readyz", "").status == 200;
}

void TestFleet::writeSettings(const RouterLocation &router) const
{
    Json::Value settings;
    settings["node"] = router.node;
    settings["zone"] = router.zone;
    settings["callers"] = toJson(router.callers);
    settings["peers"] = toJson(router.peers);
    settings["admin"] = toJson(router.admin);
    if (m_options.hasRelay)
        settings["advertised"] = toJson(router.advertised);
    settings["fleetKey"] = "a key that only the tests' fleet uses";
    settings["operatorsKeyDigest"] = credentialDigest("operators");
    settings["platform"].append(toJson(m_platform));
    settings["chartDirectory"] = BERYLRIDGE_SOURCE_DIR "/charts";
    for (const std::string &name : m_options.routerSettings.getMemberNames())
        settings[name] = m_options.routerSettings[name];
    writeJson(file(router.node + ".settings.json"), settings);
}

Json::Value TestFleet::vmList() const
{
    Json::Value list;
    for (const auto &router : m_routers) {
        Json::Value vm = toJson(router.advertised);
        vm["node"] = router.node;
        vm["zone"] = router.zone;
        vm["leaving"] = false;
        list["vms"].append(vm);
    }
    return list;
}

Json::Value TestFleet::serviceDocument(const std::string &name,
                                       const std::vector<TargetLocation> &targets,
                                       bool isEngine) const
{
    Json::Value document;
    document["service"] = name;
    document["kind"] = isEngine ? "model-engine" : "plain";
    document["slots"] = isEngine ? m_options.slots : 32;
    document["coldSlots"] = isEngine ? m_options.coldSlots : 32;
    document["warmAfter"] = m_options.warmAfter;
    document["idleTimeoutMs"] = 5000;
    if (isEngine) {
        // A prompt may be executed again, because it has no effect besides its response.
        Json::Value route;
        route["method"] = "POST";
        route["pathPrefix"] = "/generate";
        route["isIdempotent"] = true;
        document["routes"].append(route);
    }
    for (const auto &target : targets) {
        Json::Value entry = toJson(target.endpoint);
        entry["target"] = target.name;
        entry["zone"] = target.zone;
        document["targets"].append(entry);
    }
    for (std::uint32_t i = 0; i < m_options.workspaces; ++i) {
        Json::Value share;
        share["workspace"] = workspaceName(i);
        share["weight"] = 1;
        share["credentialDigest"] = credentialDigest(workspaceKey(i));
        document["workspaces"].append(share);
    }
    return document;
}

void TestFleet::putDocument(const std::string &name, const Json::Value &body)
{
    Json::Value document;
    document["name"] = name;
    document["version"] = static_cast<Json::UInt64>(++m_documentVersion);
    document["text"] = toText(body);
    const auto response = send(m_platform, "PUT", "/v1/documents", toText(document));
    EXPECT_EQ(response.status, 200U) << "the platform did not accept " << name;
}

void TestFleet::publishEvacuatedZones(const std::vector<std::string> &zones)
{
    Json::Value document;
    document["zonesOut"] = Json::Value(Json::arrayValue);
    for (const auto &zone : zones)
        document["zonesOut"].append(zone);
    putDocument("fleet", document);
}

void TestFleet::controlPlatform(const std::string &command)
{
    EXPECT_EQ(send(m_platform, "POST", "/control", command).status, 200U);
}

void TestFleet::controlTarget(const Endpoint &target, const std::string &command) const
{
    EXPECT_EQ(send(target, "POST", "/control", command).status, 200U);
}

Json::Value TestFleet::stats(const Endpoint &endpoint)
{
    const auto value = parseJson(send(endpoint, "GET", "/stats", "").body);
    return value ? *value : Json::Value(Json::objectValue);
}

Json::Value TestFleet::engineStats(std::size_t index) const
{
    return stats(m_engines[index].endpoint);
}

Json::Value TestFleet::serviceStats(std::size_t index) const
{
    return stats(m_services[index].endpoint);
}

std::uint64_t TestFleet::executionCount(const std::string &key) const
{
    std::uint64_t executions = 0;
    for (std::size_t i = 0; i < m_services.size(); ++i)
        executions += serviceStats(i)["executionsByKey"][key].asUInt64();
    return executions;
}

CallSpec TestFleet::callSpec(std::size_t router, std::uint32_t workspace, const std::string &method,
                             const std::string &target) const
{
    CallSpec spec;
    spec.endpoint = m_routers[router].callers;
    spec.method = method;
    spec.target = target;
    spec.headers = {{"Authorization", "Bearer " + workspaceKey(workspace)}};
    return spec;
}

Json::Value TestFleet::profile(double seconds) const
{
    Json::Value profile;
    profile["seconds"] = seconds;
    profile["engines"] = toJson(m_engines);
    profile["services"] = toJson(m_services);
    profile["timeoutMs"] = 40000;
    for (const auto &router : m_routers)
        profile["routers"].append(toJson(router.callers));
    for (std::uint32_t i = 0; i < m_options.workspaces; ++i) {
        Json::Value workspace;
        workspace["name"] = workspaceName(i);
        workspace["key"] = workspaceKey(i);
        workspace["streams"] = 3;
        workspace["lookups"] = 10;
        workspace["purchases"] = 8;
        profile["workspaces"].append(workspace);
    }
    return profile;
}

std::unique_ptr<ChildProcess> TestFleet::startLoad(const Json::Value &profile)
{
    writeJson(file("profile.json"), profile);
    return std::make_unique<ChildProcess>(
        "berylload",
        std::vector<std::string> {"--profile", file("profile.json"), "--json", file("report.json")},
        file("load.log"));
}

Json::Value TestFleet::loadReport() const
{
    const auto report = parseJsonFile(file("report.json"));
    return report ? *report : Json::Value(Json::objectValue);
}

std::string TestFleet::logs() const
{
    constexpr std::size_t maxBytesPerLog = 3000;
    std::ostringstream output;
    for (const auto &entry : std::filesystem::directory_iterator(m_directory)) {
        if (entry.path().extension() != ".log")
            continue;
        std::ostringstream text;
        text << std::ifstream(entry.path()).rdbuf();
        const std::string fullText = text.str();
        output << "--- " << entry.path().filename() << '\n'
               << (fullText.size() > maxBytesPerLog
                       ? fullText.substr(fullText.size() - maxBytesPerLog)
                       : fullText);
    }
    return output.str();
}

} // namespace berylridge::test
