// Simulates targets behind a SimulatedFleet, the delays of the shell, and callers. Targets ask
// nodes for pauses, shut down and restart by a seeded schedule. They record the requests that break
// what they asked for.
#pragma once

#include "SimulatedFleet.h"
#include "StepSchedule.h"

#include "berylridge/Policy/TargetHolds.h"
#include "berylridge/Support/Random.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace berylridge::test {

struct SimulatedTargetsOptions
{
    std::uint64_t seed = 1;
    std::size_t zones = 3;
    std::size_t nodesPerZone = 3;
    std::size_t targets = 9;
    std::uint32_t slots = 8;
    bool isEngine = false;
    Duration time = std::chrono::seconds(12);
    double requestsPerSecond = 400;
};

class SimulatedTargets
{
public:
    struct Result
    {
        std::uint64_t requests = 0;
        std::uint64_t servedInTime = 0;
        std::uint64_t rejectedByTargets = 0;
        std::uint64_t rejectedWithPause = 0;
        /// Most requests that one node sent to a target during one pause.
        std::uint32_t mostDuringPause = 0;
        std::uint64_t afterLeaving = 0; ///< Requests to a target that had told the node it leaves.
    };

    explicit SimulatedTargets(const SimulatedTargetsOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_fleet(options.zones, options.nodesPerZone)
        , m_targets(options.targets)
    {
        m_fleet.start();
        for (std::size_t i = 0; i < m_targets.size(); ++i)
            m_targets[i].id = "t" + std::to_string(i);
        installCatalog();
        listTargets();
    }

    Result run()
    {
        scheduleFaults();
        scheduleNextRequest();
        m_schedule.runUntil(m_options.time);
        return m_result;
    }

private:
    using Node = SimulatedFleet::Node;

    /// A pause that a target asked a node for.
    struct Pause
    {
        Duration begin;
        Duration end;
        std::uint32_t requests = 0;
    };

    struct Target
    {
        std::string id;
        std::int64_t startedAtMs = 1;
        std::uint32_t running = 0;
        Duration rejectsUntil {0};
        bool isLeaving = false;
        bool isDown = false;
        std::map<const Node *, std::vector<Pause>> pauses;
        std::map<const Node *, Duration> toldLeavingAt;
    };

    struct Caller
    {
        Node *node;
        Duration sentAt;
    };

    static constexpr Duration linkDelay = std::chrono::microseconds(1400);
    static constexpr Duration pauseAskedFor = std::chrono::seconds(3);
    /// Requests that were on their way are allowed this long after the response.
    static constexpr Duration pauseSlack = std::chrono::milliseconds(500);
    static constexpr Duration leavingSlack = std::chrono::seconds(2);
    static constexpr Duration latencyTarget = std::chrono::milliseconds(400);
    static constexpr Duration serviceTime = std::chrono::milliseconds(120);

    void schedule(Duration delay, std::function<void()> run)
    {
        m_schedule.add(delay, std::move(run));
    }

    Duration randomTime(Duration from, Duration to)
    {
        return from + fromSeconds(toSeconds(to - from) * uniform(m_random));
    }

    void forAllNodes(const Event &event)
    {
        for (Node &node : m_fleet.nodes())
            m_fleet.handle(node, event);
    }

    void installCatalog()
    {
        Catalog catalog;
        catalog.version = ++m_catalogVersion;
        RouteSpec route;
        route.host = "h";
        route.pathPrefix = "/";
        route.kind = static_cast<std::uint8_t>(RequestKind::Idempotent);
        route.timeoutMs = 4000;
        route.latencyTargetMs = static_cast<std::uint32_t>(toMilliseconds(latencyTarget));
        route.attempts = 2;
        route.services = {{"s", 1}};
        catalog.routes = {route};
        catalog.services = {{"s", 100, 3000, 0, m_options.isEngine, m_options.slots, 1000000}};
        catalog.workspaces = {{"potters", {"key"}}};
        forAllNodes(CatalogArrived {std::make_shared<const Catalog>(catalog)});
    }

    /// Lists all targets as ready, those that shut down too, except for the given one.
    void listTargets(const Target *unlisted = nullptr)
    {
        DirectoryUpdate update;
        update.revision = ++m_revision;
        update.isFullSnapshot = true;
        for (const Target &target : m_targets) {
            if (&target == unlisted)
                continue;
            TargetRecord record;
            record.id = target.id;
            record.revision = m_revision;
            record.service = "s";
            record.address = "10.1.0.1";
            record.port = 80;
            record.zone = "z0";
            record.slots = m_options.slots;
            record.startedAtMs = target.startedAtMs;
            update.targets.push_back(record);
        }
        forAllNodes(DirectoryArrived {update});
    }

    /// A third of the targets rejects requests several times, one target after the other shuts
    /// down and restarts, and catalogs and records are updated meanwhile.
    void scheduleFaults()
    {
        const Duration end = m_options.time;
        for (std::size_t i = 0; i < m_targets.size(); i += 3) {
            for (Duration at = randomTime(Duration(0), end / 4); at < end;
                 at += randomTime(end / 4, end / 2)) {
                const Duration until = at + randomTime(end / 20, end / 2);
                schedule(at, [this, i, until] { m_targets[i].rejectsUntil = until; });
            }
        }
        for (std::size_t i = 1; i < m_targets.size(); i += 3)
            schedule(randomTime(Duration(0), end / 2), [this, i] { beginLeaving(m_targets[i]); });
        for (int i = 0; i < 4; ++i) {
            schedule(randomTime(Duration(0), end), [this] { installCatalog(); });
            schedule(randomTime(Duration(0), end), [this] {
                listTargets(&m_targets.front());
                listTargets();
            });
        }
    }

    void beginLeaving(Target &target)
    {
        target.isLeaving = true;
        schedule(randomTime(m_options.time / 8, m_options.time / 3), [this, &target] {
            target.isDown = true;
            schedule(std::chrono::milliseconds(500), [this, &target] { restart(target); });
        });
    }

    void restart(Target &target)
    {
        const std::string id = target.id;
        const std::int64_t startedAtMs = target.startedAtMs + 1;
        target = Target {};
        target.id = id;
        target.startedAtMs = startedAtMs;
        listTargets();
    }

    void scheduleNextRequest()
    {
        schedule(fromSeconds(2 * uniform(m_random) / m_options.requestsPerSecond), [this] {
            sendRequest();
            scheduleNextRequest();
        });
    }

    void sendRequest()
    {
        Node &node = m_fleet.nodes()[static_cast<std::size_t>(
            uniform(m_random) * static_cast<double>(m_fleet.nodes().size()))];
        RequestArrived request;
        request.handle = ++m_lastHandle;
        request.requestId = "r" + std::to_string(m_lastHandle);
        request.host = "h";
        request.path = "/" + std::to_string(m_lastHandle);
        request.credential = "key";
        request.deadline = std::chrono::seconds(4);
        if (m_options.isEngine)
            request.prompt = Prompt {"m", {{m_lastHandle, 2000}}, 2000, 100};
        ++m_result.requests;
        m_callers[m_lastHandle] = {&node, m_schedule.now()};
        handle(node, request);
    }

    void handle(Node &node, const Event &event)
    {
        m_fleet.handle(node, event);
        const Actions actions = std::exchange(node.actions, {});
        for (const Action &action : actions) {
            if (const auto *dispatch = std::get_if<Dispatch>(&action))
                schedule(sendDelay(), [this, &node, sent = *dispatch] { send(node, sent); });
        }
    }

    /// Time from the core's decision to the first byte: usually a kept connection, sometimes a busy
    /// thread or a new connection to a target that is slow to accept it.
    Duration sendDelay()
    {
        const double kind = uniform(m_random);
        if (kind < 0.8)
            return randomTime(Duration(0), std::chrono::milliseconds(2));
        if (kind < 0.97)
            return randomTime(Duration(0), std::chrono::milliseconds(110));
        return randomTime(Duration(0), std::chrono::milliseconds(400));
    }

    void send(Node &node, const Dispatch &dispatch)
    {
        if (m_holds[&node].contains(dispatch.target, dispatch.targetBoot,
                                    TimePoint(m_schedule.now()))) {
            fail(node, dispatch, AttemptFailure::Withheld, false);
            return;
        }
        schedule(linkDelay, [this, &node, dispatch] { arrive(node, dispatch); });
    }

    Target &targetOf(const Dispatch &dispatch)
    {
        return *std::find_if(m_targets.begin(), m_targets.end(), [&](const Target &target) {
            return target.id == dispatch.target.str();
        });
    }

    void arrive(Node &node, const Dispatch &dispatch)
    {
        Target &target = targetOf(dispatch);
        if (target.isDown) {
            fail(node, dispatch, AttemptFailure::ConnectRefused, false);
            return;
        }
        recordArrival(node, target, dispatch);
        const bool isPausing = m_schedule.now() < target.rejectsUntil;
        if (isPausing || target.running >= 2 * m_options.slots) {
            reject(node, target, dispatch, isPausing);
            return;
        }
        ++target.running;
        const double load = static_cast<double>(target.running) / m_options.slots;
        const Duration time = fromSeconds(toSeconds(serviceTime) * std::max(1.0, load));
        schedule(time, [this, &node, &target, dispatch, boot = target.startedAtMs] {
            if (target.startedAtMs == boot)
                complete(node, target, dispatch);
            else
                fail(node, dispatch, AttemptFailure::Reset, true);
        });
    }

    void recordArrival(const Node &node, Target &target, const Dispatch &dispatch)
    {
        for (Pause &pause : target.pauses[&node]) {
            if (m_schedule.now() < pause.begin + pauseSlack || m_schedule.now() > pause.end)
                continue;
            ++pause.requests;
            m_result.mostDuringPause = std::max(m_result.mostDuringPause, pause.requests);
        }
        const auto told = target.toldLeavingAt.find(&node);
        if (told != target.toldLeavingAt.end()
            && m_callers[dispatch.handle].sentAt > told->second + leavingSlack)
            ++m_result.afterLeaving;
    }

    void reject(Node &node, Target &target, const Dispatch &dispatch, bool isPausing)
    {
        ++m_result.rejectedByTargets;
        TargetAdvice advice;
        advice.isLeaving = target.isLeaving;
        if (isPausing) {
            ++m_result.rejectedWithPause;
            advice.retryAfter = pauseAskedFor;
            target.pauses[&node].push_back({m_schedule.now(), m_schedule.now() + pauseAskedFor});
        }
        schedule(linkDelay, [this, &node, &target, dispatch, advice] {
            passAdvice(node, target, dispatch, 503, advice);
            schedule(
                randomTime(Duration(0), std::chrono::milliseconds(10)),
                [this, &node, dispatch] { fail(node, dispatch, AttemptFailure::NotRun, true); });
        });
    }

    void complete(Node &node, Target &target, const Dispatch &dispatch)
    {
        --target.running;
        const bool isInTime = m_schedule.now() - m_callers[dispatch.handle].sentAt <= latencyTarget;
        m_result.servedInTime += isInTime ? 1 : 0;
        schedule(linkDelay, [this, &node, &target, dispatch, isLeaving = target.isLeaving] {
            passAdvice(node, target, dispatch, 200, {.isLeaving = isLeaving});
            handle(node, AttemptHead {dispatch.handle, dispatch.attempt, 200, {}});
            handle(node, AttemptDone {dispatch.handle, dispatch.attempt, 200, {}, 10, {}, {}});
        });
    }

    void passAdvice(Node &node, Target &target, const Dispatch &dispatch, unsigned status,
                    const TargetAdvice &advice)
    {
        if (advice.isEmpty())
            return;
        if (const auto hold = advice.holdTime())
            m_holds[&node].add(dispatch.target, dispatch.targetBoot, *hold,
                               TimePoint(m_schedule.now()));
        if (advice.isLeaving)
            target.toldLeavingAt.try_emplace(&node, m_schedule.now());
        // The control thread learns of it in its next iteration.
        schedule(
            randomTime(Duration(0), std::chrono::milliseconds(20)),
            [this, &node, dispatch, status, advice] {
                handle(node,
                       TargetAdviceArrived {dispatch.target, dispatch.targetBoot, status, advice});
            });
    }

    void fail(Node &node, const Dispatch &dispatch, AttemptFailure failure, bool sentAny)
    {
        handle(node, AttemptFailed {dispatch.handle, dispatch.attempt, failure, sentAny});
    }

    const SimulatedTargetsOptions m_options;
    RandomEngine m_random;
    SimulatedFleet m_fleet;
    std::vector<Target> m_targets;
    std::map<const Node *, TargetHolds> m_holds;
    StepSchedule m_schedule {[this](Duration time) { m_fleet.advance(time); }};
    std::map<RequestHandle, Caller> m_callers;
    RequestHandle m_lastHandle = 0;
    std::uint64_t m_catalogVersion = 0;
    std::uint64_t m_revision = 0;
    Result m_result;
};

} // namespace berylridge::test
