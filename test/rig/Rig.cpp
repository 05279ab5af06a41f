#include "Rig.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <json/json.h>

namespace berylridge::rig {

namespace {

constexpr std::uint16_t nodePort = 7400;
constexpr std::uint16_t targetPort = 8000;
constexpr Duration loadSamplePeriod = std::chrono::milliseconds(400);
constexpr Duration versionCheckPeriod = std::chrono::milliseconds(500);
/// Covers the delay of the VM list and the nodes' agreement on witnesses.
constexpr Duration minStartTime = std::chrono::seconds(8);
constexpr Duration maxStartTime = std::chrono::seconds(20);
constexpr Duration startPollPeriod = std::chrono::milliseconds(500);
/// Nodes must stop sending new work to an evacuated zone or leaving target within "a few seconds",
/// which the check takes as 3 s.
constexpr Duration maxExclusionDelay = std::chrono::seconds(3);
/// A published configuration must be active "within seconds", which the check takes as 5 s.
constexpr Duration maxConfigurationDelay = std::chrono::seconds(5);

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
        options.callers.demandWeights.push_back(i < 3 ? 6 : 1);
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
    , simulation(seed, 2, options.workspaces)
{
    simulation.network.options = options.network;
    const ZoneId firstZone(options.zones.front());
    platform = std::make_unique<FakePlatform>(simulation,
                                              simulation.network.add(ZoneId("platform"), {"p", 1}));
    simulation.platform = platform.get();
    addServices();
    addTargets(engineService, options.engines, 0);
    addTargets(applicationService, options.applications, options.engines);
    addNodes();
    simulation.onRequestAtTarget
        = [this](const FakeNode &node, const FakeTarget &target) { checkDispatch(node, target); };
    callers = std::make_unique<Callers>(*this, options.callers);
    meter = std::make_unique<FairnessMeter>(*this);
    publishVms();
    setEvacuatedZones({});
    publishService(engineService);
    publishService(applicationService);
    platform->saveStaleSnapshot();
    sampleLoads();
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
        const HostId host = simulation.network.add(spec.zone, {spec.address, spec.port});
        targets.push_back(std::make_unique<FakeTarget>(simulation.queue, simulation.journal, host,
                                                       spec, services[service]));
        simulation.targets[host] = targets.back().get();
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
            const HostId host = simulation.network.add(node.zone, node.endpoint);
            nodes.push_back(std::make_unique<FakeNode>(simulation, host, node));
            simulation.nodes[host] = nodes.back().get();
        }
    }
}

void Rig::start()
{
    for (auto &node : nodes) {
        run(fromSeconds(0.1 * uniform(simulation.random)));
        node->start();
    }
    run(minStartTime);
    const auto isReady = [](const auto &node) { return node->isReady(); };
    for (Duration waited = minStartTime; waited < maxStartTime; waited += startPollPeriod) {
        if (std::all_of(nodes.begin(), nodes.end(), isReady))
            return;
        run(startPollPeriod);
    }
    simulation.journal.recordViolation("start", "not all nodes are ready after 20 s");
}

void Rig::drain(Duration limit)
{
    callers->stop();
    run(limit);
    if (simulation.journal.openAttempts() > 0) {
        simulation.journal.recordViolation("own answer",
                                           std::to_string(simulation.journal.openAttempts())
                                               + " requests received no response at all");
    }
}

void Rig::setEvacuatedZones(const std::vector<ZoneId> &zones)
{
    m_evacuatedZones = zones;
    Json::Value json(Json::objectValue);
    json["zonesOut"] = Json::Value(Json::arrayValue);
    for (const auto &zone : zones)
        json["zonesOut"].append(zone.str());
    for (const auto &name : options.zones) {
        if (!isZoneEvacuated(ZoneId(name)))
            m_excludedSince.erase(name);
        else
            m_excludedSince.emplace(name, simulation.queue.now());
    }
    ++m_version;
    platform->publish({"fleet", m_version, Json::writeString(Json::StreamWriterBuilder(), json)});
    m_published["fleet"] = {m_version, simulation.queue.now()};
}

bool Rig::isZoneEvacuated(const ZoneId &zone) const
{
    return std::find(m_evacuatedZones.begin(), m_evacuatedZones.end(), zone)
        != m_evacuatedZones.end();
}

void Rig::publishService(std::size_t service)
{
    const std::string name = "service/" + services[service].service.str();
    ++m_version;
    platform->publish({name, m_version, documentText(services[service])});
    m_published[name] = {m_version, simulation.queue.now()};
}

void Rig::setTargetLeaving(std::size_t target, bool isLeaving)
{
    const std::size_t service = target < options.engines ? engineService : applicationService;
    const std::size_t index = target < options.engines ? target : target - options.engines;
    services[service].targets[index].isLeaving = isLeaving;
    const std::string name = targets[target]->spec().target.str();
    if (isLeaving)
        m_excludedSince.emplace(name, simulation.queue.now());
    else
        m_excludedSince.erase(name);
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

std::vector<HostId> Rig::hostsIn(const ZoneId &zone) const
{
    std::vector<HostId> hosts;
    for (const auto &[host, node] : simulation.nodes) {
        if (node->options().zone == zone)
            hosts.push_back(host);
    }
    for (const auto &[host, target] : simulation.targets) {
        if (target->spec().zone == zone)
            hosts.push_back(host);
    }
    return hosts;
}

void Rig::addFleetOutage(Duration time)
{
    for (auto &node : nodes)
        node->addOutage(simulation.queue.now(), simulation.queue.now() + time);
}

void Rig::sampleLoads()
{
    for (auto &target : targets)
        target->sampleLoad();
    simulation.queue.scheduleAfter(loadSamplePeriod, [this] { sampleLoads(); });
}

/// Checks that evacuated zones and leaving targets receive no new work, except from nodes that
/// can't have received the update yet.
void Rig::checkDispatch(const FakeNode &node, const FakeTarget &target)
{
    for (const std::string &name : {target.spec().zone.str(), target.spec().target.str()}) {
        const auto found = m_excludedSince.find(name);
        if (found == m_excludedSince.end())
            continue;
        const TimePoint since = node.effectivePublishTime(found->second, maxExclusionDelay);
        if (simulation.queue.now() - since > maxExclusionDelay) {
            simulation.journal.recordViolation("out of service",
                                               node.options().node.str() + " sent new work to "
                                                   + target.spec().target.str() + " although "
                                                   + name + " is evacuated or leaving");
        }
    }
}

/// Checks that no node's document versions decrease within an incarnation, and that a node without
/// outages has the published versions.
void Rig::checkVersions()
{
    for (const auto &node : nodes) {
        if (!node->isUp() || node->isPaused())
            continue;
        const NodeStatus status = node->status();
        if (m_seenIncarnations[node.get()] != status.incarnation)
            m_seenVersions[node.get()].clear();
        m_seenIncarnations[node.get()] = status.incarnation;
        auto &seen = m_seenVersions[node.get()];
        for (const auto &head : status.documents) {
            if (head.version < seen[head.name]) {
                simulation.journal.recordViolation(
                    "configuration",
                    status.node.str() + " is on an older version than before of " + head.name);
            }
            seen[head.name] = head.version;
        }
        for (const auto &[name, published] : m_published) {
            const TimePoint since
                = node->effectivePublishTime(published.second, maxConfigurationDelay);
            const bool isDue
                = simulation.queue.now() - since > maxConfigurationDelay && node->isReady();
            if (isDue && seen[name] < published.first) {
                simulation.journal.recordViolation(
                    "configuration",
                    status.node.str() + " has version " + std::to_string(seen[name]) + " of " + name
                        + ", not " + std::to_string(published.first));
            }
        }
    }
    simulation.queue.scheduleAfter(versionCheckPeriod, [this] { checkVersions(); });
}

} // namespace berylridge::rig
