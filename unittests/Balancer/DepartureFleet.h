// A simulated fleet whose targets leave, and whose catalog changes, while parts of it fail.
#pragma once

#include "SimulatedStore.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace berylridge::test {

/// A fleet whose targets have one service and one route each, so that a request tells whether a
/// node uses a target.
class DepartureFleet
{
protected:
    using Node = SimulatedFleet::Node;

    struct Target
    {
        std::string id;
        std::optional<Duration> leftAt {};
    };

    static constexpr std::size_t zones = 3;
    /// The third node of a zone doesn't read the store.
    static constexpr std::size_t smallZone = 3;
    /// Nodes of other zones receive summaries.
    static constexpr std::size_t largeZone = 7;
    static constexpr std::size_t targetCount = 9;
    static constexpr Duration startTime = std::chrono::seconds(5);

    DepartureFleet(std::uint64_t seed, std::size_t nodesPerZone)
        : m_random(seed)
        , m_fleet(zones, nodesPerZone)
        , m_schedule([this](Duration time) { m_fleet.advance(time); })
        , m_store(m_fleet, m_schedule, m_random)
    {
        for (std::size_t i = 0; i < targetCount; ++i)
            m_targets.push_back({"t" + std::to_string(i)});
        for (const Target &target : m_targets)
            m_store.list(recordOf(target));
        m_fleet.start();
        m_store.publish(catalog());
        m_schedule.runUntil(startTime);
    }

    static TargetRecord recordOf(const Target &target)
    {
        TargetRecord record;
        record.id = target.id;
        record.service = target.id;
        record.address = "10.1.0.1";
        record.port = 80;
        record.zone = "z0";
        record.slots = 256; // More than there are nodes, which may all send a request at once.
        record.startedAtMs = 1;
        record.softwareVersion = "v1";
        return record;
    }

    /// Returns the next version of the catalog.
    std::shared_ptr<const Catalog> catalog(const std::string &credential = "key")
    {
        Catalog catalog;
        catalog.version = ++m_catalogVersion;
        for (const Target &target : m_targets) {
            RouteSpec route;
            route.host = "h";
            route.pathPrefix = "/" + target.id + "/";
            route.kind = static_cast<std::uint8_t>(RequestKind::Idempotent);
            route.timeoutMs = 4000;
            route.latencyTargetMs = 400;
            route.attempts = 1;
            route.services = {{target.id, 1}};
            catalog.routes.push_back(route);
            ServiceSpec service;
            service.name = target.id;
            catalog.services.push_back(service);
        }
        catalog.workspaces = {{"w", {credential}}};
        return std::make_shared<const Catalog>(catalog);
    }

    Duration now() const { return m_schedule.now(); }
    void runFor(Duration time)
    {
        // The schedule's clock stands at its last step.
        m_schedule.add(time, [] {});
        m_schedule.runUntil(now() + time);
    }

    Duration randomTime(Duration from, Duration to)
    {
        return from + fromSeconds(toSeconds(to - from) * uniform(m_random));
    }
    std::size_t randomIndex(std::size_t size)
    {
        return static_cast<std::size_t>(uniform(m_random) * static_cast<double>(size));
    }

    Node &node(std::size_t index) { return m_fleet.nodes().at(index); }

    /// Returns whether the node sends a request to the target.
    bool isUsed(Node &node, const Target &target)
    {
        RequestArrived request;
        request.handle = ++m_lastHandle;
        request.requestId = "r" + std::to_string(m_lastHandle);
        request.host = "h";
        request.path = "/" + target.id + "/1";
        request.credential = "key";
        request.deadline = std::chrono::seconds(4);
        m_fleet.handle(node, request);
        const bool isSent
            = std::any_of(node.actions.begin(), node.actions.end(), [](const Action &action) {
                  return std::holds_alternative<Dispatch>(action);
              });
        m_fleet.handle(node, CallerGone {m_lastHandle});
        return isSent;
    }

    void leave(Target &target)
    {
        target.leftAt = now();
        m_store.remove(target.id);
    }

    RandomEngine m_random;
    SimulatedFleet m_fleet;
    StepSchedule m_schedule;
    SimulatedStore m_store;
    std::vector<Target> m_targets;
    RequestHandle m_lastHandle = 0;
    std::uint64_t m_catalogVersion = 0;
};

} // namespace berylridge::test
