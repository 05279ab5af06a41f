// Simulates streams behind a SimulatedFleet while targets are replaced by ones with other software
// versions, targets crash, nodes are killed and a zone is cut off. Callers take broken streams up
// through other nodes.
#pragma once

#include "SimulatedFleet.h"
#include "StepSchedule.h"

#include "berylridge/Support/Random.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace berylridge::test {

struct SimulatedStreamsOptions
{
    std::uint64_t seed = 1;
    std::size_t zones = 3;
    std::size_t nodesPerZone = 3;
    std::size_t targets = 9;
    std::uint32_t slots = 8;
    Duration time = std::chrono::seconds(40);
    double streamsPerSecond = 60;
    bool hasVersions = true; ///< Whether replaced targets get other versions.
};

class SimulatedStreams
{
public:
    struct Result
    {
        std::uint64_t requested = 0; ///< Requests for new streams.
        std::uint64_t begun = 0;
        std::uint64_t takenUp = 0; ///< Requests that continue a stream.
        std::uint64_t wentOn = 0;  ///< Those of them that continue at the version that began it.
        std::uint64_t wentOnWithinResponse = 0;
        std::uint64_t joined = 0; ///< Streams that hold events of two versions.
        std::uint64_t messages = 0;

        double beginShare() const { return share(begun, requested); }
        double goOnShare() const { return share(wentOn, takenUp); }

    private:
        static double share(std::uint64_t part, std::uint64_t whole)
        {
            return whole == 0 ? 1 : static_cast<double>(part) / static_cast<double>(whole);
        }
    };

    explicit SimulatedStreams(const SimulatedStreamsOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_fleet(options.zones, options.nodesPerZone)
    {
        m_fleet.keepActions();
        m_fleet.start();
        for (std::size_t i = 0; i < options.targets; ++i)
            addTarget("v1");
        for (Node &node : m_fleet.nodes())
            installState(node);
    }

    Result run()
    {
        scheduleFaults();
        scheduleNextStream();
        m_schedule.runUntil(m_options.time);
        for (const Node &node : m_fleet.nodes())
            m_result.messages += node.messagesSent;
        return m_result;
    }

private:
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

    /// A stream as its caller sees it, over all of the caller's requests.
    struct Stream
    {
        std::size_t zone = 0; ///< Zone of the caller.
        Duration endsBy {0};
        std::uint32_t requestsLeft = 3;
        std::string firstRequestId; ///< Request that brought the first event; empty before it.
        std::string version;        ///< Version of the target that wrote the first event.
        bool isJoined = false;
    };
    using StreamHandle = std::shared_ptr<Stream>;

    /// The caller's current request for a stream.
    struct Request
    {
        StreamHandle stream;
        Node *node = nullptr;
        Incarnation incarnation = 0;
        std::string id;
        bool isTakingUp = false; ///< The caller had events before this request.
        bool hasEvents = false;  ///< This request has brought events.
    };

    static constexpr Duration linkDelay = std::chrono::microseconds(1400);
    static constexpr Duration callerTime = std::chrono::seconds(8);
    static constexpr Duration maxListingDelay = std::chrono::milliseconds(300);
    static constexpr Duration drainTime = std::chrono::milliseconds(2000);

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
        catalog.services = {{"s", 100, 3000, 0, true, m_options.slots, 1000000}};
        catalog.workspaces = {{"potters", {"key"}}};
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
            record.slots = m_options.slots;
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
        target->zone = "z" + std::to_string(m_lastTarget % m_options.zones);
        target->revision = ++m_revision;
        m_targets.push_back(target);
        listTargetsSoon();
        return target;
    }

    // Faults.

    void scheduleFaults()
    {
        const Duration end = m_options.time;
        scheduleRelease(end / 10, m_options.targets / 2, "v2");
        scheduleRelease(end / 2, m_options.targets / 2, "v3");
        scheduleRelease(end * 8 / 10, m_options.targets, "v2");
        for (Duration at = end / 8; at < end; at += end / 16)
            schedule(at, [this] { crashTarget(); });
        for (Duration at = end / 6; at < end; at += end / 8)
            schedule(at,
                     [this] { killNode(m_fleet.nodes()[randomIndex(m_fleet.nodes().size())]); });
        schedule(end * 3 / 8, [this] { cutZone(); });
    }

    void scheduleRelease(Duration at, std::size_t count, const std::string &version)
    {
        constexpr Duration step = std::chrono::milliseconds(400);
        for (std::size_t i = 0; i < count; ++i) {
            schedule(at + step * static_cast<std::int64_t>(i), [this, version] {
                const TargetHandle old = findTarget([&](const Target &target) {
                    return !target.isDraining && target.version != version;
                });
                if (!old)
                    return;
                addTarget(m_options.hasVersions ? version : "v1");
                schedule(std::chrono::seconds(1), [this, old] { drain(old); });
            });
        }
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

    void drain(const TargetHandle &target)
    {
        target->isDraining = true;
        target->revision = ++m_revision;
        listTargetsSoon();
        schedule(drainTime, [this, target] { endTarget(target); });
    }

    void endTarget(const TargetHandle &target)
    {
        target->isGone = true;
        ++m_revision;
        listTargetsSoon();
    }

    /// Ends a target without notice. Another one with the same version takes its place.
    void crashTarget()
    {
        const TargetHandle target = findTarget([](const Target &) { return true; });
        if (!target)
            return;
        target->isGone = true;
        schedule(std::chrono::milliseconds(900), [this] {
            ++m_revision;
            listTargetsSoon();
        });
        schedule(std::chrono::milliseconds(500), [this, target] { addTarget(target->version); });
    }

    void killNode(Node &node)
    {
        if (!node.core)
            return;
        SimulatedFleet::stopNode(node);
        for (auto entry = m_requests.begin(); entry != m_requests.end();) {
            if (entry->second.node != &node) {
                ++entry;
                continue;
            }
            const Request request = entry->second;
            entry = m_requests.erase(entry);
            comeBack(request, randomTime(linkDelay, std::chrono::milliseconds(50)));
        }
        schedule(std::chrono::milliseconds(700), [this, &node] {
            m_fleet.startNode(node);
            installState(node);
        });
    }

    void cutZone()
    {
        m_cutZone = "z" + std::to_string(randomIndex(m_options.zones));
        m_fleet.cutZone(m_cutZone);
        schedule(std::chrono::seconds(1), [this] { setPlatformReachable(m_cutZone, false); });
        schedule(std::chrono::seconds(5), [this] {
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

    // Callers.

    void scheduleNextStream()
    {
        schedule(fromSeconds(2 * uniform(m_random) / m_options.streamsPerSecond), [this] {
            const auto stream = std::make_shared<Stream>();
            stream->zone = randomIndex(m_options.zones);
            stream->endsBy = m_schedule.now() + callerTime;
            send(stream);
            scheduleNextStream();
        });
    }

    /// Returns a node of the caller's zone, or of any zone if all nodes of it are down.
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

    void send(const StreamHandle &stream)
    {
        Node *node = selectNode(stream->zone);
        const Duration left = stream->endsBy - m_schedule.now();
        if (!node || left <= Duration(0) || stream->requestsLeft == 0)
            return;
        --stream->requestsLeft;
        RequestArrived event;
        event.handle = ++m_lastHandle;
        event.requestId = "r" + std::to_string(m_lastHandle);
        event.host = "h";
        event.path = "/" + std::to_string(m_lastHandle);
        event.credential = "key";
        event.deadline = left;
        event.prompt = Prompt {"m", {{m_lastHandle, 2000}}, 2000, 100};
        Request &request = m_requests[m_lastHandle];
        request
            = {stream, node, node->incarnation, event.requestId, !stream->version.empty(), false};
        if (request.isTakingUp) {
            event.resumption = StreamResumption {stream->firstRequestId};
            ++m_result.takenUp;
        } else {
            ++m_result.requested;
        }
        handle(*node, event);
    }

    void comeBack(const Request &request, Duration delay)
    {
        schedule(delay, [this, stream = request.stream] { send(stream); });
    }

    void refuse(const Refuse &action)
    {
        const auto found = m_requests.find(action.handle);
        if (found == m_requests.end())
            return;
        const Request request = found->second;
        m_requests.erase(found);
        const Duration pause = action.retryAfter.value_or(std::chrono::milliseconds(20));
        comeBack(request, request.hasEvents ? std::chrono::milliseconds(20) : pause);
    }

    // Nodes and targets.

    void handle(Node &node, const Event &event)
    {
        if (!node.core)
            return;
        m_fleet.handle(node, event);
        takeActions();
    }

    /// A lookup ends with a message or a timer at any node, so actions of all nodes are taken.
    void takeActions()
    {
        for (Node &node : m_fleet.nodes()) {
            for (const Action &action : std::exchange(node.pending, {})) {
                if (const auto *refusal = std::get_if<Refuse>(&action))
                    refuse(*refusal);
                if (const auto *dispatch = std::get_if<Dispatch>(&action))
                    schedule(linkDelay, [this, sent = *dispatch] { arrive(sent); });
            }
        }
    }

    /// Returns the request of the dispatch, unless its node has been killed since.
    Request *findRequest(const Dispatch &dispatch)
    {
        const auto found = m_requests.find(dispatch.handle);
        if (found == m_requests.end())
            return nullptr;
        Request &request = found->second;
        const bool isAlive = request.node->core && request.node->incarnation == request.incarnation;
        return isAlive ? &request : nullptr;
    }

    void arrive(const Dispatch &dispatch)
    {
        takeActions();
        if (!findRequest(dispatch))
            return;
        const auto found = std::find_if(m_targets.begin(), m_targets.end(), [&](const auto &each) {
            return each->id == dispatch.target.str();
        });
        const TargetHandle target = *found;
        if (target->isGone) {
            fail(dispatch, AttemptFailure::ConnectRefused, false);
            return;
        }
        if (target->running >= 2 * m_options.slots) {
            fail(dispatch, AttemptFailure::NotRun, true);
            return;
        }
        ++target->running;
        const double load = static_cast<double>(target->running) / m_options.slots;
        const Duration wait = fromSeconds(0.03 + 0.03 * std::max(0.0, load - 1));
        schedule(wait, [this, dispatch, target] { beginEvents(dispatch, target); });
    }

    /// Returns the request that the target runs. Ends the run if the caller's node or the target is
    /// gone.
    Request *findRunningRequest(const Dispatch &dispatch, const TargetHandle &target)
    {
        Request *request = findRequest(dispatch);
        if (request && !target->isGone)
            return request;
        --target->running;
        if (request)
            fail(dispatch, AttemptFailure::Reset, true);
        return nullptr;
    }

    void beginEvents(const Dispatch &dispatch, const TargetHandle &target)
    {
        Request *request = findRunningRequest(dispatch, target);
        if (!request)
            return;
        Stream &stream = *request->stream;
        if (!stream.version.empty() && stream.version != target->version
            && !std::exchange(stream.isJoined, true))
            ++m_result.joined;
        if (stream.version.empty()) {
            stream.version = target->version;
            stream.firstRequestId = request->id;
            ++m_result.begun;
        } else if (request->hasEvents) {
            ++m_result.wentOnWithinResponse;
        } else {
            m_result.wentOn += stream.version == target->version ? 1 : 0;
        }
        request->hasEvents = true;
        handle(*request->node, AttemptHead {dispatch.handle, dispatch.attempt, 200, {}});
        const Duration time
            = randomTime(std::chrono::milliseconds(200), std::chrono::milliseconds(2000));
        const Duration end = m_schedule.now() + time;
        continueEvents(dispatch, target, end);
    }

    void continueEvents(const Dispatch &dispatch, const TargetHandle &target, Duration end)
    {
        constexpr Duration eventInterval = std::chrono::milliseconds(50);
        takeActions();
        Request *request = findRunningRequest(dispatch, target);
        if (!request)
            return;
        if (m_schedule.now() < end) {
            schedule(eventInterval,
                     [this, dispatch, target, end] { continueEvents(dispatch, target, end); });
            return;
        }
        --target->running;
        Node &node = *request->node;
        m_requests.erase(dispatch.handle);
        handle(node, AttemptDone {dispatch.handle, dispatch.attempt, 200, {}, 10, {}, {}});
    }

    void fail(const Dispatch &dispatch, AttemptFailure failure, bool sentAny)
    {
        const Request *request = findRequest(dispatch);
        if (!request)
            return;
        handle(*request->node,
               AttemptFailed {dispatch.handle, dispatch.attempt, failure, sentAny,
                              request->hasEvents});
    }

    const SimulatedStreamsOptions m_options;
    RandomEngine m_random;
    SimulatedFleet m_fleet;
    StepSchedule m_schedule {[this](Duration time) { m_fleet.advance(time); }};
    std::vector<TargetHandle> m_targets; ///< Includes those that are gone.
    std::size_t m_lastTarget = 0;
    std::uint64_t m_revision = 0;
    std::string m_cutZone;
    std::map<RequestHandle, Request> m_requests;
    RequestHandle m_lastHandle = 0;
    Result m_result;
};

} // namespace berylridge::test
