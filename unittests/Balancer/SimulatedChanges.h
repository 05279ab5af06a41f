// Simulates callers, traffic threads and targets around a SimulatedFleet while the catalog changes,
// targets are replaced, fall silent and fail, and nodes stop, restart, pause and leave the
// rotation. Records each request that doesn't end exactly once and in time.
#pragma once

#include "SimulatedFleet.h"
#include "StepSchedule.h"

#include "berylridge/Support/Hash.h"
#include "berylridge/Support/Random.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace berylridge::test {

struct SimulatedChangesOptions
{
    std::uint64_t seed = 1;
    std::size_t zones = 2;
    std::size_t nodesPerZone = 4;
    std::size_t targetsPerService = 3;
    Duration time = std::chrono::seconds(20);
    double requestsPerSecond = 300;
    bool hasChanges = true;
    bool hasSilentTargets = true;
};

class SimulatedChanges
{
public:
    struct Result
    {
        std::uint64_t requests = 0;
        std::uint64_t answered = 0; ///< Includes failures of targets that were relayed.
        std::uint64_t refused = 0;
        std::map<std::string, std::uint64_t> refusals; ///< By type.
        std::uint64_t cut = 0;                         ///< Answers that ended after they had begun.
        /// Those of them whose target had only been silent, and whose time was not over.
        std::uint64_t cutAfterSilence = 0;
        std::uint64_t retried = 0;
        std::uint64_t takenUp = 0;
        std::uint64_t changes = 0;
        std::uint64_t rotationChanges = 0;
        std::uint64_t plannedStops = 0;
        std::vector<std::string> faults; ///< What must not happen to a request.
    };

    explicit SimulatedChanges(const SimulatedChangesOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_fleet(options.zones, options.nodesPerZone)
    {
        m_fleet.keepActions();
        m_fleet.leaveRotationOnOverload();
        m_fleet.start();
        m_startedAt = m_fleet.now();
        createCatalog();
        for (const ServiceSpec &service : m_catalog.services) {
            for (std::size_t i = 0; i < options.targetsPerService; ++i)
                addTarget(service.name);
        }
        for (Node &node : m_fleet.nodes())
            installState(node);
    }

    Result run()
    {
        scheduleNextRequest();
        scheduleNextTargetFault();
        if (m_options.hasChanges) {
            scheduleNextChange();
            scheduleNextNodeFault();
        }
        m_schedule.runUntil(m_options.time);
        endSimulation();
        return m_result;
    }

private:
    using Node = SimulatedFleet::Node;

    struct Target
    {
        std::string id;
        std::string address;
        std::string service;
        std::string zone;
        std::string version;
        std::uint64_t revision = 0;
        bool isDraining = false;
        bool isGone = false;
        Duration silentUntil {0};
        Duration resetsUntil {0};
        Duration rejectsUntil {0};
    };
    using TargetHandle = std::shared_ptr<Target>;

    /// What a traffic thread reads from a target.
    enum class Piece : std::uint8_t { Head, Event, End, Reset, Rejection, OtherTarget, Error };

    /// A traffic thread's state of an attempt.
    struct Attempt
    {
        Dispatch dispatch;
        Node *node = nullptr;
        Incarnation incarnation = 0;
        TargetHandle target;
        bool isOver = false;
        bool hasHead = false;
        bool hasEvents = false;
        bool isSilent = false; ///< Its silence was reported last.
        Duration endsAt {0};
        Duration limitAt {0};
        std::vector<Piece> unread;
    };
    using AttemptHandle = std::shared_ptr<Attempt>;

    struct Request
    {
        Node *node = nullptr;
        Incarnation incarnation = 0;
        std::string prefix;
        Duration sentAt {0};
        std::optional<TimePoint> deadline; ///< As the core states it in each attempt.
        AttemptNumber attempts = 0;
        bool hasBegun = false; ///< The caller has received part of the answer.
        bool hasFailedAttempt = false;
        bool hasHeldResponse = false;
        std::optional<AttemptFailure> lastFailure;
        AttemptHandle attempt;
    };

    static constexpr Duration linkDelay = std::chrono::microseconds(1400);
    /// Time from a traffic thread to the control thread.
    static constexpr Duration loopDelay = std::chrono::microseconds(200);
    static constexpr Duration maxListingDelay = std::chrono::milliseconds(300);
    static constexpr Duration maxCatalogDelay = std::chrono::milliseconds(500);
    static constexpr Duration callerTime = std::chrono::seconds(4);
    static constexpr Duration silence = std::chrono::milliseconds(1200);
    static constexpr Duration eventInterval = std::chrono::milliseconds(50);
    /// A request that was not sent to a target waits for other nodes' answers at most.
    static constexpr Duration maxPlacementTime = std::chrono::milliseconds(300);
    static constexpr Duration slack = std::chrono::milliseconds(50);
    /// A planned stop lasts this long if the node has no request.
    static constexpr Duration minStopTime = std::chrono::milliseconds(3500);
    static constexpr std::size_t maxFaults = 20;
    static constexpr std::array<const char *, 4> prefixes {"/read/", "/buy/", "/stream/", "/once/"};

    // Schedule.

    void schedule(Duration delay, std::function<void()> run)
    {
        m_schedule.add(std::max(delay, Duration(0)), std::move(run));
    }

    Duration now() const { return m_schedule.now(); }

    Duration randomTime(Duration from, Duration to)
    {
        return from + fromSeconds(toSeconds(to - from) * uniform(m_random));
    }

    std::size_t randomIndex(std::size_t size)
    {
        return static_cast<std::size_t>(uniform(m_random) * static_cast<double>(size));
    }

    bool isOneIn(std::size_t count) { return randomIndex(count) == 0; }

    void addFault(RequestHandle handle, const std::string &what)
    {
        if (m_result.faults.size() >= maxFaults)
            return;
        m_result.faults.push_back("r" + std::to_string(handle) + " at "
                                  + std::to_string(toMilliseconds(now())) + " ms: " + what);
    }

    // The catalog and its changes.

    void createCatalog()
    {
        for (const char *name : {"s1", "s2", "e1", "e2"}) {
            ServiceSpec service;
            service.name = name;
            service.connectionLimit = 100;
            service.isEngine = name[0] == 'e';
            service.engineSlots = 64;
            service.engineTokens = 1'000'000;
            m_catalog.services.push_back(service);
        }
        m_catalog.workspaces = {{"w0", {"key0"}}, {"w1", {"key1", "key2"}}};
        for (std::size_t i = 0; i < prefixes.size(); ++i) {
            const bool isStream = i >= 2;
            RouteSpec route;
            route.host = "h";
            route.pathPrefix = prefixes.at(i);
            const std::array kinds {RequestKind::Idempotent, RequestKind::NonIdempotent,
                                    RequestKind::Stream, RequestKind::Stream};
            route.kind = static_cast<std::uint8_t>(kinds.at(i));
            route.timeoutMs = 3500;
            route.latencyTargetMs = 400;
            route.attempts = route.requestKind() == RequestKind::NonIdempotent ? 1 : 2;
            route.isResumable = i == 2;
            route.hasPrompts = isStream;
            route.services = isStream ? std::vector<WeightedService> {{"e1", 1}, {"e2", 1}}
                                      : std::vector<WeightedService> {{"s1", 1}, {"s2", 1}};
            m_catalog.routes.push_back(route);
        }
        m_firstCatalog = m_catalog;
        publish();
    }

    void publish()
    {
        ++m_catalog.version;
        for (const RouteSpec &route : m_catalog.routes) {
            for (const WeightedService &each : route.services)
                m_allowedServices[route.pathPrefix].insert(each.service);
        }
        const auto published = std::make_shared<const Catalog>(m_catalog);
        for (Node &node : m_fleet.nodes()) {
            schedule(randomTime(Duration(0), maxCatalogDelay), [this, &node, published] {
                if (node.core)
                    handle(node, CatalogArrived {published});
            });
        }
    }

    void changeCatalog()
    {
        ++m_result.changes;
        // Most changes are taken back soon.
        if (m_catalog.routes.empty() || isOneIn(2)) {
            const std::uint64_t version = m_catalog.version;
            m_catalog = m_firstCatalog;
            m_catalog.version = version;
        }
        RouteSpec &route = m_catalog.routes[randomIndex(m_catalog.routes.size())];
        switch (randomIndex(10)) {
        case 0:
            for (WeightedService &each : route.services)
                each.weight = isOneIn(4) ? 0 : uniform(m_random);
            break;
        case 1:
            route.timeoutMs = static_cast<std::uint32_t>(200 + randomIndex(3600));
            break;
        case 2:
            route.attempts = static_cast<std::uint32_t>(1 + randomIndex(3));
            break;
        case 3:
            route.latencyTargetMs = static_cast<std::uint32_t>(randomIndex(3) * 150);
            break;
        case 4:
            m_catalog.routes.erase(m_catalog.routes.begin() + (&route - m_catalog.routes.data()));
            break;
        case 5:
            if (route.services.size() > 1)
                route.services.erase(route.services.begin());
            else
                route.services
                    = {{route.hasPrompts ? "e1" : "s1", 1}, {route.hasPrompts ? "e2" : "s2", 1}};
            break;
        case 6: // Some routes then name a service that isn't described.
            m_catalog.services = m_firstCatalog.services;
            if (!isOneIn(3))
                m_catalog.services.erase(m_catalog.services.begin()
                                         + static_cast<std::ptrdiff_t>(randomIndex(4)));
            break;
        case 7:
            m_catalog.workspaces = {{"w0", {"key0"}}};
            if (!isOneIn(2))
                m_catalog.workspaces.push_back({isOneIn(2) ? "w1" : "w2", {"key1", "key2"}});
            break;
        case 8:
            m_catalog.tokensPerSecond = isOneIn(2) ? 0 : 20'000 * uniform(m_random);
            break;
        default:
            route.isResumable = !route.isResumable;
            break;
        }
        publish();
    }

    /// Changes come alone and in series.
    void scheduleNextChange()
    {
        const Duration delay = isOneIn(3) ? randomTime(Duration(0), std::chrono::milliseconds(100))
                                          : randomTime(Duration(0), std::chrono::seconds(1));
        schedule(delay, [this] {
            if (m_isEnding)
                return;
            if (isOneIn(4))
                changeTargets();
            else
                changeCatalog();
            scheduleNextChange();
        });
    }

    // Targets.

    TargetHandle addTarget(const std::string &service, const std::string &address = {})
    {
        auto target = std::make_shared<Target>();
        target->id = "t" + std::to_string(++m_lastTarget);
        target->address = address.empty() ? "10.1.0." + std::to_string(m_lastTarget) : address;
        target->service = service;
        target->zone = "z" + std::to_string(m_lastTarget % m_options.zones);
        target->version = isOneIn(4) ? "v2" : "v1";
        target->revision = ++m_revision;
        m_targets.push_back(target);
        listTargetsSoon();
        return target;
    }

    TargetHandle anyTarget()
    {
        std::vector<TargetHandle> present;
        std::copy_if(m_targets.begin(), m_targets.end(), std::back_inserter(present),
                     [](const TargetHandle &target) { return !target->isGone; });
        return present[randomIndex(present.size())];
    }

    void changeTargets()
    {
        ++m_result.changes;
        const TargetHandle target = anyTarget();
        if (isOneIn(3)) { // All targets of the service are listed anew.
            const std::string service = target->service;
            for (const TargetHandle &old : std::vector(m_targets)) {
                if (!old->isGone && old->service == service)
                    replace(old, service, {});
            }
            return;
        }
        // The address of one that is gone is used by another service.
        const std::vector<ServiceSpec> &services = m_firstCatalog.services;
        const std::string &other = services[randomIndex(services.size())].name;
        addTarget(target->service);
        replace(target, other, target->address);
    }

    void replace(const TargetHandle &target, const std::string &service, const std::string &address)
    {
        target->isDraining = true;
        target->revision = ++m_revision;
        if (address.empty())
            addTarget(service);
        listTargetsSoon();
        schedule(randomTime(std::chrono::milliseconds(100), std::chrono::seconds(4)),
                 [this, target, service, address] {
                     target->isGone = true;
                     ++m_revision;
                     if (!address.empty())
                         addTarget(service, address);
                     listTargetsSoon();
                 });
    }

    void scheduleNextTargetFault()
    {
        schedule(randomTime(Duration(0), std::chrono::milliseconds(1500)), [this] {
            if (m_isEnding)
                return;
            const TargetHandle target = anyTarget();
            switch (randomIndex(3)) {
            case 0:
                if (m_options.hasSilentTargets)
                    target->silentUntil = now() + silence;
                break;
            case 1:
                target->resetsUntil = now() + std::chrono::milliseconds(300);
                break;
            default:
                target->rejectsUntil = now() + std::chrono::milliseconds(800);
                break;
            }
            scheduleNextTargetFault();
        });
    }

    void listTargetsSoon()
    {
        for (Node &node : m_fleet.nodes())
            schedule(randomTime(Duration(0), maxListingDelay),
                     [this, &node] { listTargets(node); });
    }

    void listTargets(Node &node)
    {
        if (!node.core)
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
            record.service = target->service;
            record.address = target->address;
            record.port = 80;
            record.zone = target->zone;
            record.slots = 64;
            record.isDraining = target->isDraining;
            record.startedAtMs = 1;
            record.softwareVersion = target->version;
            update.targets.push_back(record);
        }
        handle(node, DirectoryArrived {update});
    }

    void installState(Node &node)
    {
        handle(node, CatalogArrived {std::make_shared<const Catalog>(m_catalog)});
        listTargets(node);
    }

    // Nodes.

    void scheduleNextNodeFault()
    {
        schedule(randomTime(std::chrono::milliseconds(100), std::chrono::milliseconds(1600)),
                 [this] {
                     if (m_isEnding)
                         return;
                     Node &node = m_fleet.nodes()[randomIndex(m_fleet.nodes().size())];
                     if (node.core)
                         disturb(node);
                     scheduleNextNodeFault();
                 });
    }

    void disturb(Node &node)
    {
        switch (randomIndex(5)) {
        case 0:
            handle(node, LeaveOrdered {"SIGTERM"});
            break;
        case 1:
            handle(node, SeedsChanged {{m_fleet.nodes()[randomIndex(2)].endpoint}});
            break;
        case 2:
            pause(node);
            break;
        case 3:
            kill(node);
            break;
        default:
            shedRequests(node,
                         now() + randomTime(std::chrono::seconds(1), std::chrono::seconds(4)));
            break;
        }
    }

    void pause(Node &node)
    {
        if (node.isPaused)
            return;
        SimulatedFleet::pauseNode(node);
        schedule(randomTime(std::chrono::milliseconds(100), std::chrono::milliseconds(1800)),
                 [this, &node, incarnation = node.incarnation] {
                     if (isRunning(node, incarnation) && node.isPaused)
                         resume(node);
                 });
    }

    void resume(Node &node)
    {
        m_resumedAt[&node] = now();
        m_fleet.resumeNode(node);
        takeActions();
        std::vector<AttemptHandle> attempts;
        for (const auto &[handle, request] : m_requests) {
            if (request.node == &node && request.attempt)
                attempts.push_back(request.attempt);
        }
        for (const AttemptHandle &attempt : attempts)
            read(attempt);
    }

    /// The node's traffic threads reject most requests, so that it leaves the rotation.
    void shedRequests(Node &node, Duration until)
    {
        if (!node.core || now() >= until)
            return;
        handle(node,
               TrafficThreadReport {std::chrono::milliseconds(80), 0, 0, {{hash32("key0"), 40}}});
        schedule(std::chrono::milliseconds(100),
                 [this, &node, until] { shedRequests(node, until); });
    }

    void kill(Node &node)
    {
        std::erase_if(m_requests, [&](auto &entry) {
            if (entry.second.node != &node)
                return false;
            if (entry.second.attempt)
                entry.second.attempt->isOver = true;
            return true;
        });
        restartSoon(node);
    }

    void restartSoon(Node &node)
    {
        SimulatedFleet::stopNode(node);
        schedule(std::chrono::milliseconds(700), [this, &node] {
            if (node.core || m_isEnding)
                return;
            m_fleet.startNode(node);
            installState(node);
        });
    }

    void onStopped(Node &node)
    {
        ++m_result.plannedStops;
        for (const auto &[handle, request] : m_requests) {
            if (request.node == &node)
                addFault(handle, "its node stopped before it ended");
        }
        kill(node);
    }

    static bool isRunning(const Node &node, Incarnation incarnation)
    {
        return node.core && node.incarnation == incarnation;
    }

    // Callers.

    void scheduleNextRequest()
    {
        schedule(fromSeconds(2 * uniform(m_random) / m_options.requestsPerSecond), [this] {
            if (now() >= m_options.time)
                return;
            send(prefixes.at(randomIndex(prefixes.size())), {});
            scheduleNextRequest();
        });
    }

    void send(const std::string &prefix, std::optional<StreamResumption> resumption)
    {
        takeActions(); // A node may have stopped meanwhile.
        Node &node = m_fleet.nodes()[randomIndex(m_fleet.nodes().size())];
        if (!node.core)
            return;
        RequestArrived event;
        event.handle = ++m_lastHandle;
        event.requestId = "r" + std::to_string(m_lastHandle);
        event.host = "h";
        event.path = prefix + std::to_string(m_lastHandle);
        event.credential = "key" + std::to_string(randomIndex(3));
        event.deadline = randomTime(callerTime / 8, callerTime);
        const bool isStream = prefix == prefixes[2] || prefix == prefixes[3];
        if (isStream)
            event.prompt = Prompt {"m", {{m_lastHandle, 2000}}, 2000, 100};
        if (isStream && !resumption && isOneIn(30))
            resumption = StreamResumption {"unknown" + std::to_string(m_lastHandle)};
        event.resumption = std::move(resumption);
        m_result.takenUp += event.resumption ? 1 : 0;
        ++m_result.requests;
        Request &request = m_requests[m_lastHandle];
        request.node = &node;
        request.incarnation = node.incarnation;
        request.prefix = prefix;
        request.sentAt = now();
        if (isOneIn(40))
            schedule(randomTime(Duration(0), std::chrono::milliseconds(600)),
                     [this, handle = m_lastHandle] { leave(handle); });
        scheduleEndCheck(m_lastHandle);
        handle(node, event);
    }

    /// The caller closes its connection.
    void leave(RequestHandle handle)
    {
        const auto found = m_requests.find(handle);
        if (found == m_requests.end())
            return;
        Node &node = *found->second.node;
        if (found->second.attempt)
            found->second.attempt->isOver = true;
        m_requests.erase(found);
        this->handle(node, CallerGone {handle});
    }

    /// Returns the time by which the request must have ended.
    Duration latestEnd(const Request &request) const
    {
        Duration end = request.sentAt + maxPlacementTime;
        if (request.deadline)
            end = *request.deadline - m_startedAt;
        const auto resumed = m_resumedAt.find(request.node);
        if (resumed != m_resumedAt.end())
            end = std::max(end, resumed->second + maxPlacementTime);
        return end + slack;
    }

    void scheduleEndCheck(RequestHandle handle)
    {
        takeActions();
        const auto found = m_requests.find(handle);
        if (found == m_requests.end())
            return;
        const Request &request = found->second;
        const Duration end = latestEnd(request);
        if (now() <= end || request.node->isPaused) {
            schedule(std::max(end - now(), slack), [this, handle] { scheduleEndCheck(handle); });
            return;
        }
        addFault(handle, request.deadline ? "not ended at its deadline" : "not placed nor refused");
        m_requests.erase(found);
    }

    // Control threads.

    void handle(Node &node, const Event &event)
    {
        if (!node.core)
            return;
        m_fleet.handle(node, event);
        takeActions();
    }

    /// Passes an event to the control thread, unless the process has ended meanwhile.
    void report(const AttemptHandle &attempt, const Event &event)
    {
        schedule(loopDelay, [this, attempt, event] {
            if (isRunning(*attempt->node, attempt->incarnation))
                handle(*attempt->node, event);
        });
    }

    /// Timers and messages cause actions at any node, so those of all nodes are taken.
    void takeActions()
    {
        for (Node &node : m_fleet.nodes()) {
            bool isStopped = false;
            for (const Action &action : std::exchange(node.pending, {})) {
                if (const auto *dispatch = std::get_if<Dispatch>(&action))
                    onDispatch(node, *dispatch);
                else if (const auto *goOn = std::get_if<ContinueAttempt>(&action))
                    onContinue(*goOn);
                else if (const auto *refuse = std::get_if<Refuse>(&action))
                    onRefuse(*refuse);
                else if (const auto *relay = std::get_if<RelayHeldResponse>(&action))
                    onRelay(*relay);
                else if (const auto *abort = std::get_if<AbortAttempt>(&action))
                    onAbort(*abort);
                else if (const auto *readiness = std::get_if<Readiness>(&action))
                    m_result.rotationChanges += readiness->keepsConnections ? 1 : 0;
                isStopped = isStopped || std::holds_alternative<Stopped>(action);
            }
            if (isStopped && node.core)
                onStopped(node);
        }
    }

    static bool isStream(const Request &request)
    {
        return request.prefix == prefixes[2] || request.prefix == prefixes[3];
    }

    void onDispatch(Node &node, const Dispatch &dispatch)
    {
        const auto found = m_requests.find(dispatch.handle);
        if (found == m_requests.end()) {
            if (m_endedHandles.contains(dispatch.handle))
                addFault(dispatch.handle, "sent to a target after its end");
            return;
        }
        Request &request = found->second;
        // Replaces a silent attempt: the connection to its target is closed.
        if (request.attempt && request.attempt->isSilent)
            request.attempt->isOver = true;
        if (request.attempt && !request.attempt->isOver)
            addFault(dispatch.handle, "sent to a second target while the first one runs it");
        if (request.deadline && *request.deadline != dispatch.notAfter)
            addFault(dispatch.handle, "its deadline changed");
        if (dispatch.attempt != request.attempts + 1)
            addFault(dispatch.handle, "attempts are not numbered in order");
        m_result.retried += request.attempts > 0 ? 1 : 0;
        request.deadline = dispatch.notAfter;
        request.attempts = dispatch.attempt;
        request.hasHeldResponse = false;
        auto attempt = std::make_shared<Attempt>();
        attempt->dispatch = dispatch;
        attempt->node = &node;
        attempt->incarnation = node.incarnation;
        attempt->endsAt = now() + dispatch.attemptTimeout;
        request.attempt = attempt;
        restartLimit(*attempt, attempt);
        schedule(linkDelay, [this, attempt] { arrive(attempt); });
    }

    void onRefuse(const Refuse &refuse)
    {
        const auto found = m_requests.find(refuse.handle);
        if (found == m_requests.end()) {
            if (m_endedHandles.contains(refuse.handle))
                addFault(refuse.handle, "refused after its end");
            return;
        }
        const Request request = found->second;
        if (request.attempt && !request.attempt->isOver)
            addFault(refuse.handle, "refused while a target runs it: " + refuse.type);
        if (request.hasBegun && !request.hasFailedAttempt)
            addFault(refuse.handle, "cut though its target had not failed: " + refuse.type);
        if (request.deadline && now() > latestEnd(request))
            addFault(refuse.handle, "refused long after its deadline: " + refuse.type);
        ++m_result.refused;
        ++m_result.refusals[refuse.type];
        m_result.cut += request.hasBegun ? 1 : 0;
        const bool isAfterSilence = request.hasBegun
            && request.lastFailure == AttemptFailure::Timeout
            && now() + slack < *request.deadline - m_startedAt;
        m_result.cutAfterSilence += isAfterSilence ? 1 : 0;
        end(refuse.handle);
        if (request.prefix != prefixes[2] || !isOneIn(2))
            return;
        schedule(refuse.retryAfter.value_or(std::chrono::milliseconds(100)),
                 [this, request, handle = refuse.handle] {
                     send(request.prefix, StreamResumption {"r" + std::to_string(handle)});
                 });
    }

    void onRelay(const RelayHeldResponse &relay)
    {
        const auto found = m_requests.find(relay.handle);
        if (found == m_requests.end()) {
            addFault(relay.handle, "relayed after its end");
            return;
        }
        if (!found->second.hasHeldResponse || found->second.attempts != relay.attempt)
            addFault(relay.handle, "relayed a response that is not held");
        ++m_result.answered;
        end(relay.handle);
    }

    void onAbort(const AbortAttempt &abort)
    {
        if (m_requests.contains(abort.handle))
            addFault(abort.handle, "its attempt was aborted");
    }

    void end(RequestHandle handle)
    {
        m_requests.erase(handle);
        m_endedHandles.insert(handle);
    }

    // Traffic threads.

    /// Does what lib/Net/TargetAttempt.cpp does with the limits of a Dispatch.
    void restartLimit(Attempt &attempt, const AttemptHandle &handle)
    {
        attempt.limitAt = std::min(attempt.endsAt, now() + dispatchLimit(attempt));
        schedule(attempt.limitAt - now(), [this, handle] { checkLimit(handle); });
    }

    static Duration dispatchLimit(const Attempt &attempt)
    {
        const Dispatch &dispatch = attempt.dispatch;
        return attempt.hasHead ? dispatch.idleTimeout : dispatch.firstByteTimeout;
    }

    void checkLimit(const AttemptHandle &attempt)
    {
        if (attempt->isOver || now() < attempt->limitAt)
            return;
        if (attempt->node->isPaused) {
            schedule(std::chrono::milliseconds(1), [this, attempt] { checkLimit(attempt); });
            return;
        }
        if (now() >= attempt->endsAt) {
            fail(attempt, AttemptFailure::Timeout, true);
            return;
        }
        attempt->isSilent = true;
        attempt->limitAt = attempt->endsAt;
        schedule(attempt->limitAt - now(), [this, attempt] { checkLimit(attempt); });
        const Request &request = m_requests.at(attempt->dispatch.handle);
        const bool hasBegun = request.hasBegun;
        report(attempt,
               AttemptSilent {attempt->dispatch.handle, attempt->dispatch.attempt, hasBegun,
                              !hasBegun || isStream(request), dispatchLimit(*attempt)});
    }

    void onContinue(const ContinueAttempt &action)
    {
        const auto found = m_requests.find(action.handle);
        if (found == m_requests.end() || found->second.attempts != action.attempt)
            return;
        const AttemptHandle attempt = found->second.attempt;
        attempt->isSilent = false;
        attempt->limitAt = std::min(attempt->endsAt, now() + action.silenceLimit);
        schedule(attempt->limitAt - now(), [this, attempt] { checkLimit(attempt); });
        read(attempt);
    }

    void fail(const AttemptHandle &attempt, AttemptFailure failure, bool sentAny,
              bool hasHeldResponse = false)
    {
        attempt->isOver = true;
        const auto found = m_requests.find(attempt->dispatch.handle);
        if (found == m_requests.end())
            return;
        Request &request = found->second;
        request.hasFailedAttempt = true;
        request.lastFailure = failure;
        request.hasHeldResponse = hasHeldResponse;
        report(attempt,
               AttemptFailed {attempt->dispatch.handle, attempt->dispatch.attempt, failure, sentAny,
                              request.hasBegun, hasHeldResponse, hasHeldResponse ? 500U : 0U});
    }

    /// Adds a piece that has arrived, and reads it unless the process is paused or the core has to
    /// decide about a silence.
    void receive(const AttemptHandle &attempt, Piece piece)
    {
        attempt->unread.push_back(piece);
        read(attempt);
    }

    void read(const AttemptHandle &attempt)
    {
        if (attempt->node->isPaused || attempt->isSilent)
            return;
        for (const Piece piece : std::exchange(attempt->unread, {})) {
            const auto found = m_requests.find(attempt->dispatch.handle);
            if (attempt->isOver || found == m_requests.end())
                return;
            onPiece(attempt, found->second, piece);
        }
    }

    void onPiece(const AttemptHandle &attempt, Request &request, Piece piece)
    {
        const RequestHandle handle = attempt->dispatch.handle;
        const AttemptNumber number = attempt->dispatch.attempt;
        switch (piece) {
        case Piece::Head:
            attempt->hasHead = true;
            report(attempt, AttemptHead {handle, number, 200, {}});
            break;
        case Piece::Event:
            request.hasBegun = true;
            break;
        case Piece::End:
            attempt->isOver = true;
            ++m_result.answered;
            end(handle);
            report(attempt, AttemptDone {handle, number, 200, {}, 10, {}, {}});
            return;
        case Piece::Reset:
            fail(attempt, AttemptFailure::Reset, true);
            return;
        case Piece::Rejection:
            fail(attempt, AttemptFailure::NotRun, true);
            return;
        case Piece::OtherTarget:
            fail(attempt, AttemptFailure::OtherTarget, true);
            return;
        case Piece::Error:
            fail(attempt, AttemptFailure::TargetError, true, !request.hasBegun);
            return;
        }
        restartLimit(*attempt, attempt);
    }

    // What targets do with a request.

    void arrive(const AttemptHandle &attempt)
    {
        if (attempt->isOver || !isRunning(*attempt->node, attempt->incarnation))
            return;
        const auto found
            = std::find_if(m_targets.begin(), m_targets.end(), [&](const TargetHandle &target) {
                  return !target->isGone && target->address == attempt->dispatch.endpoint.address;
              });
        if (found == m_targets.end()) {
            fail(attempt, AttemptFailure::ConnectRefused, false);
            return;
        }
        attempt->target = *found;
        if ((*found)->id != attempt->dispatch.target.str()) {
            answer(attempt, Piece::OtherTarget, linkDelay);
            return;
        }
        const auto request = m_requests.find(attempt->dispatch.handle);
        if (request != m_requests.end()
            && !m_allowedServices[request->second.prefix].contains((*found)->service))
            addFault(attempt->dispatch.handle, "run by a service that no catalog allows");
        if (now() < (*found)->rejectsUntil) {
            answer(attempt, Piece::Rejection, linkDelay);
            return;
        }
        if (isOneIn(50)) {
            answer(attempt, Piece::Error, randomTime(linkDelay, std::chrono::milliseconds(80)));
            return;
        }
        const Duration length = request != m_requests.end() && isStream(request->second)
            ? randomTime(std::chrono::milliseconds(100), std::chrono::milliseconds(2000))
            : randomTime(Duration(0), std::chrono::milliseconds(30));
        schedule(randomTime(linkDelay, std::chrono::milliseconds(80)),
                 [this, attempt, length] { write(attempt, Piece::Head, length); });
    }

    void answer(const AttemptHandle &attempt, Piece piece, Duration delay)
    {
        schedule(delay, [this, attempt, piece] { receive(attempt, piece); });
    }

    /// Writes the piece and those that follow it. A silent target goes on after its silence.
    void write(const AttemptHandle &attempt, Piece piece, Duration left)
    {
        const Target &target = *attempt->target;
        if (attempt->isOver || !isRunning(*attempt->node, attempt->incarnation))
            return;
        if (target.isGone || now() < target.resetsUntil) {
            answer(attempt, Piece::Reset, linkDelay);
            return;
        }
        if (now() < target.silentUntil) {
            schedule(target.silentUntil - now(),
                     [this, attempt, piece, left] { write(attempt, piece, left); });
            return;
        }
        answer(attempt, piece, linkDelay);
        if (piece == Piece::End)
            return;
        const Piece next = left > eventInterval ? Piece::Event : Piece::End;
        schedule(std::min(left, eventInterval), [this, attempt, next, left] {
            write(attempt, next, left - std::min(left, eventInterval));
        });
    }

    // The end.

    /// Waits for the last requests. Then a node that stops as soon as it has no request must not
    /// wait for its limit.
    void endSimulation()
    {
        m_isEnding = true;
        m_schedule.runUntil(m_options.time + 2 * callerTime);
        for (const auto &[handle, request] : m_requests)
            addFault(handle, "not ended at the end");
        for (Node &node : m_fleet.nodes())
            handle(node, LeaveOrdered {"SIGTERM"});
        m_schedule.add(minStopTime + slack * 3, [] {});
        m_schedule.runUntil(m_schedule.now() + minStopTime + slack * 3);
        takeActions();
        for (const Node &node : m_fleet.nodes()) {
            if (node.core)
                m_result.faults.push_back(node.endpoint.address
                                          + " holds requests that have ended");
        }
    }

    const SimulatedChangesOptions m_options;
    RandomEngine m_random;
    SimulatedFleet m_fleet;
    StepSchedule m_schedule {[this](Duration time) { m_fleet.advance(time); }};
    TimePoint m_startedAt;
    Catalog m_catalog;
    Catalog m_firstCatalog;
    std::map<std::string, std::set<std::string>> m_allowedServices; ///< By path prefix.
    std::vector<TargetHandle> m_targets; ///< Includes those that are gone.
    std::map<RequestHandle, Request> m_requests;
    std::set<RequestHandle> m_endedHandles;
    std::map<const Node *, Duration> m_resumedAt;
    bool m_isEnding = false;
    RequestHandle m_lastHandle = 0;
    std::size_t m_lastTarget = 0;
    std::uint64_t m_revision = 0;
    Result m_result;
};

} // namespace berylridge::test
