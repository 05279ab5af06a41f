// Simulates a site under one clock: the nodes of a fleet, which are killed and cut off by zone, and
// targets that the platform lists with some delay.
#pragma once

#include "SimulatedFleet.h"
#include "StepSchedule.h"

#include "berylridge/Support/Random.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace berylridge::test {

struct SimulatedSiteOptions
{
    std::uint64_t seed = 1;
    std::size_t zones = 3;
    std::size_t nodesPerZone = 3;
    std::size_t targets = 9;
    std::uint32_t slots = 8;
    std::size_t workspaces = 1;
};

/// Derived classes add the callers and what targets do with their requests.
class SimulatedSite
{
protected:
    using Node = SimulatedFleet::Node;

    struct Target
    {
        std::string id;
        std::string version;
        std::string zone;
        std::uint64_t revision = 0;
        std::uint32_t running = 0;
        bool isDraining = false;
        bool isGone = false;
    };
    using TargetHandle = std::shared_ptr<Target>;

    static constexpr Duration linkDelay = std::chrono::microseconds(1400);
    static constexpr Duration maxListingDelay = std::chrono::milliseconds(300);
    static constexpr Duration zoneCutTime = std::chrono::seconds(5);
    static constexpr Duration restartTime = std::chrono::milliseconds(700);

    explicit SimulatedSite(const SimulatedSiteOptions &options)
        : m_site(options)
        , m_random(options.seed)
        , m_fleet(options.zones, options.nodesPerZone)
    {
        m_fleet.keepActions();
        m_fleet.setPlatformRevision([this](const Node &node) {
            return node.zone == m_cutZone ? std::nullopt : std::optional(m_revision);
        });
        m_fleet.start();
        for (std::size_t i = 0; i < options.targets; ++i)
            addTarget("v1");
        for (Node &node : m_fleet.nodes())
            installState(node);
    }
    virtual ~SimulatedSite() = default;

    /// Called when the node's process has ended, with all requests that it had.
    virtual void onNodeKilled(Node &node) = 0;

    void schedule(Duration delay, std::function<void()> run)
    {
        m_schedule.add(delay, std::move(run));
    }

    Duration randomTime(Duration from, Duration to)
    {
        return from + fromSeconds(toSeconds(to - from) * uniform(m_random));
    }

    std::size_t randomIndex(std::size_t size)
    {
        return static_cast<std::size_t>(uniform(m_random) * static_cast<double>(size));
    }

    static std::string credentialOf(std::size_t workspace)
    {
        return "key" + std::to_string(workspace);
    }

    // The platform: catalog, listed targets, and nodes that learn of changes one after the other.

    void installState(Node &node)
    {
        Catalog catalog;
        catalog.version = 1;
        RouteSpec route;
        route.host = "h";
        route.pathPrefix = "/";
        route.kind = static_cast<std::uint8_t>(RequestKind::Stream);
        route.timeoutMs = 8000;
        route.latencyTargetMs = 400;
        route.attempts = 2;
        route.isResumable = true;
        route.services = {{"s", 1}};
        catalog.routes = {route};
        catalog.services = {{"s", 100, 3000, 0, true, m_site.slots, 1000000}};
        for (std::size_t i = 0; i < m_site.workspaces; ++i)
            catalog.workspaces.push_back({"w" + std::to_string(i), {credentialOf(i)}});
        m_fleet.handle(node, CatalogArrived {std::make_shared<const Catalog>(catalog)});
        listTargets(node);
    }

    void listTargets(Node &node)
    {
        if (!node.core || node.zone == m_cutZone)
            return;
        DirectoryUpdate update;
        update.revision = m_revision;
        update.isFullSnapshot = true;
        for (const TargetHandle &target : m_targets) {
            if (target->isGone)
                continue;
            TargetRecord record;
            record.id = target->id;
            record.revision = target->revision;
            record.service = "s";
            record.address = "10.1.0.1";
            record.port = 80;
            record.zone = target->zone;
            record.slots = m_site.slots;
            record.isDraining = target->isDraining;
            record.startedAtMs = 1;
            record.softwareVersion = target->version;
            update.targets.push_back(record);
        }
        m_fleet.handle(node, DirectoryArrived {update});
    }

    void listTargetsSoon()
    {
        for (Node &node : m_fleet.nodes())
            schedule(randomTime(Duration(0), maxListingDelay),
                     [this, &node] { listTargets(node); });
    }

    TargetHandle addTarget(const std::string &version)
    {
        auto target = std::make_shared<Target>();
        target->id = "t" + std::to_string(++m_lastTarget);
        target->version = version;
        target->zone = "z" + std::to_string(m_lastTarget % m_site.zones);
        target->revision = ++m_revision;
        m_targets.push_back(target);
        listTargetsSoon();
        return target;
    }

    template <typename Matches>
    TargetHandle findTarget(Matches matches)
    {
        std::vector<TargetHandle> found;
        for (const TargetHandle &target : m_targets) {
            if (!target->isGone && matches(*target))
                found.push_back(target);
        }
        return found.empty() ? nullptr : found[randomIndex(found.size())];
    }

    void endTarget(const TargetHandle &target)
    {
        target->isGone = true;
        ++m_revision;
        listTargetsSoon();
    }

    /// Ends a target without notice. Another one with the same version takes its place.
    void crashTarget(const TargetHandle &target,
                     Duration replacementTime = std::chrono::milliseconds(500))
    {
        target->isGone = true;
        schedule(std::chrono::milliseconds(900), [this] {
            ++m_revision;
            listTargetsSoon();
        });
        schedule(replacementTime, [this, target] { addTarget(target->version); });
    }

    void killNode(Node &node)
    {
        if (!node.core)
            return;
        SimulatedFleet::stopNode(node);
        onNodeKilled(node);
        schedule(restartTime, [this, &node] {
            m_fleet.startNode(node);
            installState(node);
        });
    }

    void cutZone()
    {
        m_cutZone = "z" + std::to_string(randomIndex(m_site.zones));
        m_fleet.cutZone(m_cutZone);
        schedule(std::chrono::seconds(1), [this] { setPlatformReachable(m_cutZone, false); });
        schedule(zoneCutTime, [this] {
            const std::string zone = std::exchange(m_cutZone, {});
            m_fleet.cutZone({});
            setPlatformReachable(zone, true);
            listTargetsSoon();
        });
    }

    void setPlatformReachable(const std::string &zone, bool isReachable)
    {
        for (Node &node : m_fleet.nodes()) {
            if (node.core && node.zone == zone)
                m_fleet.handle(node, PlatformReachability {isReachable});
        }
    }

    /// Returns a node of the zone, or of any zone if all nodes of it are down.
    Node *selectNode(std::size_t zone)
    {
        std::vector<Node *> nodes;
        for (const bool isAnyZone : {false, true}) {
            for (Node &node : m_fleet.nodes()) {
                if (node.core && (isAnyZone || node.zone == "z" + std::to_string(zone)))
                    nodes.push_back(&node);
            }
            if (!nodes.empty())
                return nodes[randomIndex(nodes.size())];
        }
        return nullptr;
    }

    const SimulatedSiteOptions m_site;
    RandomEngine m_random;
    SimulatedFleet m_fleet;
    StepSchedule m_schedule {[this](Duration time) { m_fleet.advance(time); }};
    std::vector<TargetHandle> m_targets; ///< Includes those that are gone.
    std::size_t m_lastTarget = 0;
    std::uint64_t m_revision = 0;
    std::string m_cutZone;
};

} // namespace berylridge::test
