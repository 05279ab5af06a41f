#include "Rig.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <json/json.h>

namespace berylridge::rig {

namespace {

constexpr std::uint16_t nodePort = 7400;
constexpr std::uint16_t targetPort = 8000;
constexpr Duration loadPeriod = std::chrono::milliseconds(400);
constexpr Duration versionPeriod = std::chrono::milliseconds(500);
/// Until the VM list has come through its lag and the nodes have agreed on witnesses.
constexpr Duration shortestStart = std::chrono::seconds(8);
constexpr Duration longestStart = std::chrono::seconds(20);
constexpr Duration startStep = std::chrono::milliseconds(500);
/// "A few seconds" of the brief, for new work at a zone or target that was taken out.
constexpr Duration outLimit = std::chrono::seconds(3);
/// "Within seconds" for a configuration.
constexpr Duration configLimit = std::chrono::seconds(5);

std::string addressOf(std::size_t zone, std::size_t index)
{
    return "127.0." + std::to_string(zone + 1) + "." + std::to_string(index + 1);
}

ServiceDocument baseService(const char *name, ServiceKind kind, const DeploymentOptions &options)
{
    ServiceDocument service;
    service.service = ServiceId(name);
    service.kind = kind;
    service.queueTimeout = options.queueTimeout;
    service.attemptTimeout = std::chrono::seconds(60);
    service.idleTimeout = std::chrono::seconds(5);
    return service;
}

} // namespace

DeploymentOptions menGom()
{
    return {};
}

DeploymentOptions riviereBells()
{
    DeploymentOptions options;
    options.engines = 20;
    return options;
}

DeploymentOptions alwaysBacklogged(DeploymentOptions options)
{
    options.callers.engineLoad = 2.5;
    options.callers.lookupsPerSecond = 0;
    options.callers.purchasesPerSecond = 0;
    for (std::size_t i = 0; i < options.workspaces; ++i)
        options.callers.demand.push_back(i < 3 ? 6 : 1);
    return options;
}

std::string documentText(const ServiceDocument &service)
{
    const auto ms = [](Duration time) { return Json::Int64(time.count() / 1000); };
    Json::Value json;
    json["service"] = service.service.str();
    json["kind"] = service.kind == ServiceKind::Plain ? "plain" : "model-engine";
    json["slots"] = service.slots;
    json["coldSlots"] = service.coldSlots;
    json["warmAfter"] = service.warmAfter;
    json["queueTimeoutMs"] = ms(service.queueTimeout);
    json["attemptTimeoutMs"] = ms(service.attemptTimeout);
    json["idleTimeoutMs"] = ms(service.idleTimeout);
    json["retryBudget"] = service.retryBudget;
    for (const auto &rule : service.routes) {
        Json::Value entry;
        entry["method"] = rule.method;
        entry["pathPrefix"] = rule.pathPrefix;
        entry["isIdempotent"] = rule.isIdempotent;
        json["routes"].append(entry);
    }
    for (const auto &share : service.workspaces) {
        Json::Value entry;
        entry["workspace"] = share.workspace.str();
        entry["weight"] = share.weight;
        entry["credentialDigest"] = share.credentialDigest;
        entry["queueLimit"] = share.queueLimit;
        json["workspaces"].append(entry);
    }
    for (const auto &target : service.targets) {
        Json::Value entry;
        entry["target"] = target.target.str();
        entry["zone"] = target.zone.str();
        entry["address"] = target.address;
        entry["port"] = target.port;
        entry["isLeaving"] = target.isLeaving;
        json["targets"].append(entry);
    }
    return Json::writeString(Json::StreamWriterBuilder(), json);
}

Rig::Rig(std::uint64_t seed, DeploymentOptions deployment)
    : options(std::move(deployment))
    , world(seed, 2, options.workspaces)
{
    world.links.options = options.links;
    const ZoneId firstZone(options.zones.front());
    platform = std::make_unique<FakePlatform>(world, world.links.add(ZoneId("platform"), {"p", 1}));
    world.platform = platform.get();
    addServices();
    addTargets(engineService, options.engines, 0);
    addTargets(applicationService, options.applications, options.engines);
    addNodes();
    world.dispatched
        = [this](const FakeNode &node, const FakeTarget &target) { checkDispatch(node, target); };
    callers = std::make_unique<Callers>(*this, options.callers);
    meter = std::make_unique<Meter>(*this);
    publishVms();
    takeOut({});
    publishService(engineService);
    publishService(applicationService);
    platform->keepAsStale();
    refreshLoads();
    checkVersions();
}

Rig::~Rig() = default;

void Rig::addServices()
{
    ServiceDocument engine = baseService("assistant", ServiceKind::ModelEngine, options);
    engine.slots = options.engineSlots;
    engine.coldSlots = options.coldSlots;
    engine.warmAfter = options.warmAfter;
    engine.routes = {{"POST", "/generate", true}};
    ServiceDocument application = baseService("shop", ServiceKind::Plain, options);
    application.slots = 16;
    application.coldSlots = 4;
    for (std::size_t i = 0; i < options.workspaces; ++i) {
        credentials.push_back("key-of-workspace-" + std::to_string(i));
        WorkspaceShare share;
        share.workspace = WorkspaceId("w" + std::to_string(i));
        share.weight = i == 0 ? 4 : i < 3 ? 2 : 1;
        share.credentialDigest = credentialDigest(credentials.back());
        engine.workspaces.push_back(share);
        application.workspaces.push_back(share);
    }
    services = {std::move(engine), std::move(application)};
}

void Rig::addTargets(std::size_t service, std::size_t count, std::size_t first)
{
    for (std::size_t i = 0; i < count; ++i) {
        TargetSpec spec;
        const std::size_t zone = i % options.zones.size();
        spec.target = TargetId(services[service].service.str() + "-" + std::to_string(i));
        spec.zone = ZoneId(options.zones[zone]);
        spec.address = addressOf(zone, 100 + first + i);
        spec.port = targetPort;
        services[service].targets.push_back(spec);
        const PlaceId place = world.links.add(spec.zone, {spec.address, spec.port});
        targets.push_back(std::make_unique<FakeTarget>(world.queue, world.journal, place, spec,
                                                       services[service]));
        world.targets[place] = targets.back().get();
    }
}

void Rig::addNodes()
{
    for (std::size_t zone = 0; zone < options.zones.size(); ++zone) {
        for (std::size_t i = 0; i < options.nodesPerZone; ++i) {
            CoreOptions node;
            node.node = NodeId(options.zones[zone] + std::to_string(i + 1));
            node.zone = ZoneId(options.zones[zone]);
            node.endpoint = {addressOf(zone, i), nodePort};
            node.chartDirectory = BERYLRIDGE_SOURCE_DIR "/charts";
            node.policy = options.policy;
            const PlaceId place = world.links.add(node.zone, node.endpoint);
            nodes.push_back(std::make_unique<FakeNode>(world, place, node));
            world.nodes[place] = nodes.back().get();
        }
    }
}

void Rig::start()
{
    for (auto &node : nodes) {
        run(fromSeconds(0.1 * uniform(world.random)));
        node->start();
    }
    run(shortestStart);
    const auto isReady = [](const auto &node) { return node->isReady(); };
    for (Duration waited = shortestStart; waited < longestStart; waited += startStep) {
        if (std::all_of(nodes.begin(), nodes.end(), isReady))
            return;
        run(startStep);
    }
    world.journal.fail("start", "not all nodes are ready after 20 s");
}

void Rig::drain(Duration limit)
{
    callers->stop();
    run(limit);
    if (world.journal.openTries() > 0) {
        world.journal.fail("own answer",
                           std::to_string(world.journal.openTries())
                               + " requests got no answer at all");
    }
}

void Rig::takeOut(const std::vector<ZoneId> &zones)
{
    m_zonesOut = zones;
    Json::Value json(Json::objectValue);
    json["zonesOut"] = Json::Value(Json::arrayValue);
    for (const auto &zone : zones)
        json["zonesOut"].append(zone.str());
    for (const auto &name : options.zones) {
        if (!isOut(ZoneId(name)))
            m_outSince.erase(name);
        else
            m_outSince.emplace(name, world.queue.now());
    }
    ++m_version;
    platform->publish({"fleet", m_version, Json::writeString(Json::StreamWriterBuilder(), json)});
    m_published["fleet"] = {m_version, world.queue.now()};
}

bool Rig::isOut(const ZoneId &zone) const
{
    return std::find(m_zonesOut.begin(), m_zonesOut.end(), zone) != m_zonesOut.end();
}

void Rig::publishService(std::size_t service)
{
    const std::string name = "service/" + services[service].service.str();
    ++m_version;
    platform->publish({name, m_version, documentText(services[service])});
    m_published[name] = {m_version, world.queue.now()};
}

void Rig::setTargetLeaving(std::size_t target, bool isLeaving)
{
    const std::size_t service = target < options.engines ? engineService : applicationService;
    const std::size_t index = target < options.engines ? target : target - options.engines;
    services[service].targets[index].isLeaving = isLeaving;
    const std::string name = targets[target]->spec().target.str();
    if (isLeaving)
        m_outSince.emplace(name, world.queue.now());
    else
        m_outSince.erase(name);
    publishService(service);
}

void Rig::publishVms()
{
    std::vector<VmEntry> vms;
    for (const auto &node : nodes) {
        if (node->isVmGone())
            continue;
        const auto &nodeOptions = node->options();
        vms.push_back({nodeOptions.node, nodeOptions.zone, nodeOptions.endpoint.address,
                       nodeOptions.endpoint.port, node->isLeaving()});
    }
    platform->setVms(std::move(vms));
}

std::vector<PlaceId> Rig::placesOf(const ZoneId &zone) const
{
    std::vector<PlaceId> places;
    for (const auto &[place, node] : world.nodes) {
        if (node->options().zone == zone)
            places.push_back(place);
    }
    for (const auto &[place, target] : world.targets) {
        if (target->spec().zone == zone)
            places.push_back(place);
    }
    return places;
}

void Rig::disturbAll(Duration time)
{
    for (auto &node : nodes)
        node->disturb(world.queue.now(), world.queue.now() + time);
}

void Rig::refreshLoads()
{
    for (auto &target : targets)
        target->refreshLoad();
    world.queue.after(loadPeriod, [this] { refreshLoads(); });
}

/// Nothing new goes to what operators have taken out, but from a node that can't know it yet.
void Rig::checkDispatch(const FakeNode &node, const FakeTarget &target)
{
    for (const std::string &name : {target.spec().zone.str(), target.spec().target.str()}) {
        const auto found = m_outSince.find(name);
        if (found == m_outSince.end())
            continue;
        const TimePoint since = node.couldHear(found->second, outLimit);
        if (world.queue.now() - since > outLimit) {
            world.journal.fail("out of service",
                               node.options().node.str() + " sent new work to "
                                   + target.spec().target.str() + " though " + name + " is out");
        }
    }
}

/// Versions never fall, and a node whose view was not disturbed has what was published.
void Rig::checkVersions()
{
    for (const auto &node : nodes) {
        if (!node->isUp() || node->isPaused())
            continue;
        const NodeStatus status = node->status();
        if (m_incarnationsSeen[node.get()] != status.incarnation)
            m_versionsSeen[node.get()].clear();
        m_incarnationsSeen[node.get()] = status.incarnation;
        auto &seen = m_versionsSeen[node.get()];
        for (const auto &head : status.documents) {
            if (head.version < seen[head.name]) {
                world.journal.fail("configuration",
                                   status.node.str() + " went back on " + head.name);
            }
            seen[head.name] = head.version;
        }
        for (const auto &[name, published] : m_published) {
            const TimePoint since = node->couldHear(published.second, configLimit);
            const bool isDue = world.queue.now() - since > configLimit && node->isReady();
            if (isDue && seen[name] < published.first) {
                world.journal.fail("configuration",
                                   status.node.str() + " has version " + std::to_string(seen[name])
                                       + " of " + name + ", not "
                                       + std::to_string(published.first));
            }
        }
    }
    world.queue.after(versionPeriod, [this] { checkVersions(); });
}

} // namespace berylridge::rig
