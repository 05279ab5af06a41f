// A small deployment simulated under one manual clock: nodes with real router cores, and simulated
// targets, platform and callers.
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

/// Sizes and settings of a deployment.
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

/// Returns the sizes of the deployment men-gom: 10 engines.
DeploymentOptions menGom();
/// Returns the sizes of the deployment riviere-bells: 20 engines.
DeploymentOptions riviereBells();
/// Returns the options with an overload of engine requests, under which every workspace always has
/// requests waiting. The first three workspaces send six times as much as each of the others.
DeploymentOptions alwaysBacklogged(DeploymentOptions options);

class Rig
{
public:
    static constexpr std::size_t engineService = 0;
    static constexpr std::size_t applicationService = 1;

    Rig(std::uint64_t seed, DeploymentOptions options);
    ~Rig();

    /// Starts all nodes and runs until they are ready.
    void start();
    /// Advances the clock by that time and runs all events that are due.
    void run(Duration time) { simulation.queue.runUntil(simulation.queue.now() + time); }
    /// Stops the callers and checks that all open attempts end within the limit.
    void drain(Duration limit);

    /// Publishes a fleet document with these zones evacuated, and no others.
    void setEvacuatedZones(const std::vector<ZoneId> &zones);
    /// Publishes a service's document under a new version.
    void publishService(std::size_t service);
    /// Publishes a target's state as leaving or as back in service.
    void setTargetLeaving(std::size_t target, bool isLeaving);
    /// Updates the platform's VM list. It contains leaving VMs too.
    void publishVms();
    /// Returns all nodes and targets of a zone.
    std::vector<HostId> hostsIn(const ZoneId &zone) const;
    /// Records for all nodes that they may miss updates for that time from now on.
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
    /// The time since when a zone or target must receive no new work, by its name.
    std::map<std::string, TimePoint> m_excludedSince;
    std::map<const FakeNode *, std::map<std::string, DocumentVersion>> m_seenVersions;
    std::map<const FakeNode *, Incarnation> m_seenIncarnations;
    std::map<std::string, std::pair<DocumentVersion, TimePoint>> m_published;
};

/// Returns the JSON text of a service's document, as the publishing step would write it.
std::string documentText(const ServiceDocument &service);

} // namespace berylridge::rig
