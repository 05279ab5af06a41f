// A whole small deployment under one paused clock: nodes with real cores, fake targets, a fake
// platform and fake callers.
#pragma once

#include "Callers.h"
#include "FairnessMeter.h"
#include "FakeNode.h"
#include "FakePlatform.h"
#include "FakeTarget.h"

#include <memory>
#include <string>
#include <vector>

namespace berylridge::rig {

/// Sizes of a deployment.
struct DeploymentOptions
{
    std::vector<std::string> zones {"a", "b", "c"};
    std::size_t nodesPerZone = 3;
    std::size_t engines = 10;
    std::size_t applications = 3;
    std::uint32_t engineSlots = 8;
    std::uint32_t coldSlots = 2;
    std::uint32_t warmAfter = 8;
    std::size_t workspaces = 16;
    Duration queueTimeout = std::chrono::seconds(10);
    SharingPolicy policy = SharingPolicy::Fleet;
    NetworkOptions network;
    CallerOptions callers;
};

DeploymentOptions menGom();
DeploymentOptions riviereBells();
/// Every workspace always has engine work waiting; three of them send several times their share.
DeploymentOptions alwaysBacklogged(DeploymentOptions options);

class Rig
{
public:
    static constexpr std::size_t engineService = 0;
    static constexpr std::size_t applicationService = 1;

    Rig(std::uint64_t seed, DeploymentOptions options);
    ~Rig();

    /// Starts all nodes and waits until the balancer would send callers.
    void start();
    void run(Duration time) { simulation.queue.runUntil(simulation.queue.now() + time); }
    /// Callers stop; everything heals; what was open must end by itself.
    void drain(Duration limit);

    /// Operators publish the fleet document with these zones out.
    void setEvacuatedZones(const std::vector<ZoneId> &zones);
    /// Operators publish a service's document anew.
    void publishService(std::size_t service);
    /// Operators mark a target as leaving or back.
    void setTargetLeaving(std::size_t target, bool isLeaving);
    /// Tells the platform which VMs live; a leaving one is still listed.
    void publishVms();
    /// All hosts of a zone, for cutting it off.
    std::vector<HostId> hostsIn(const ZoneId &zone) const;
    /// No node's view is sure to be fresh for so long.
    void addFleetOutage(Duration time);

    bool isZoneEvacuated(const ZoneId &zone) const;

    DeploymentOptions options;
    Simulation simulation;
    std::vector<ServiceDocument> services;
    std::vector<std::unique_ptr<FakeTarget>> targets;
    std::vector<std::unique_ptr<FakeNode>> nodes;
    std::unique_ptr<FakePlatform> platform;
    std::unique_ptr<Callers> callers;
    std::unique_ptr<FairnessMeter> meter;
    std::vector<std::string> credentials;

private:
    void addServices();
    void addTargets(std::size_t service, std::size_t count, std::size_t first);
    void addNodes();
    void sampleLoads();
    void checkDispatch(const FakeNode &node, const FakeTarget &target);
    void checkVersions();

    DocumentVersion m_version = 1;
    std::vector<ZoneId> m_evacuatedZones;
    std::map<std::string, TimePoint>
        m_excludedSince; ///< Zone or target: new work is forbidden since.
    std::map<const FakeNode *, std::map<std::string, DocumentVersion>> m_seenVersions;
    std::map<const FakeNode *, Incarnation> m_seenIncarnations;
    std::map<std::string, std::pair<DocumentVersion, TimePoint>> m_published;
};

/// The JSON text of a service's document, as the publishing step would write it.
std::string documentText(const ServiceDocument &service);

} // namespace berylridge::rig
