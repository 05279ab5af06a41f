// Simulates callers of whose prompts some hold a part that ends each target that begins to answer
// it, while other answers are cut, targets and nodes fail and a zone is cut off.
#pragma once

#include "SimulatedSite.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace berylridge::test {

/// Where the crashing part is in its prompts.
enum class CrashingPartPosition { Between, First, Twice };

/// A fault that interrupts requests at many targets at once.
enum class MassFault { None, ConnectionsBreak, TargetsEnd };

struct SimulatedCrashesOptions
{
    SimulatedSiteOptions site {.workspaces = 4};
    Duration time = std::chrono::seconds(45);
    double requestsPerSecond = 55;
    double crashingPerSecond = 4;
    CrashingPartPosition position = CrashingPartPosition::Between;
    /// Few other requests use the first part of the crashing prompts.
    bool hasRareCompany = false;
    /// The part is one that many sound requests had before it began to crash targets.
    bool wasInUse = false;
    bool isFleetRestarted = false; ///< All nodes are killed at once after the part is known.
    double cutShare = 0.02;        ///< Share of the answers that are cut while the target goes on.
    double unframedShare = 0;      ///< Share of the answers that end with their connection.
    bool hasOtherFaults = true;    ///< Targets end, nodes are killed and a zone is cut off.
    MassFault massFault = MassFault::None;
};

class SimulatedCrashes : private SimulatedSite
{
public:
    struct Result
    {
        std::size_t crashes = 0;        ///< Targets that the part ended.
        std::uint64_t sentTooLate = 0;  ///< Requests with the part, after it should be known.
        std::uint64_t refusedSound = 0; ///< Sound requests that were refused as crashing.
        /// The same later than two seconds after the mass fault.
        std::uint64_t refusedSoundLate = 0;
        std::uint64_t soundRequests = 0;
        std::size_t targetsBroken = 0; ///< By the mass fault.
        double begunBefore = 0;        ///< Share of sound calls that begin before the first crash.
        double begunAfter = 0;         ///< The same once the part should be known.
        /// Least ratio of these shares among the callers' workspaces and first parts.
        double leastRatio = 1;
        std::uint64_t messages = 0;
    };

    explicit SimulatedCrashes(const SimulatedCrashesOptions &options)
        : SimulatedSite(options.site)
        , m_options(options)
    {
    }

    Result run()
    {
        scheduleFaults();
        scheduleNextCall(m_options.requestsPerSecond, false);
        if (m_options.massFault != MassFault::None)
            schedule(massFaultAt, [this] { breakMany(); });
        if (!m_options.wasInUse && m_options.crashingPerSecond > 0) {
            schedule(firstCrashingAt,
                     [this] { scheduleNextCall(m_options.crashingPerSecond, true); });
        }
        if (m_options.isFleetRestarted) {
            schedule(m_options.time * 2 / 3, [this] {
                for (Node &node : m_fleet.nodes())
                    killNode(node);
            });
        }
        m_schedule.runUntil(m_options.time);
        summarize();
        return m_result;
    }

private:
    static constexpr Duration contactTime = std::chrono::seconds(3);
    static constexpr Duration warmUp = std::chrono::seconds(2);
    static constexpr Duration firstCrashingAt = std::chrono::seconds(10);
    static constexpr Duration massFaultAt = std::chrono::seconds(4);
    static constexpr Duration maxNodeLag = std::chrono::milliseconds(250);
    static constexpr double minBrokenTargets = 4;
    static constexpr Duration callerTime = std::chrono::seconds(8);
    static constexpr std::size_t crashesBeforeVerdict = 5;
    static constexpr std::uint64_t minGroupCalls = 20;
    static constexpr std::size_t firstPartCount = 10;
    static constexpr std::size_t secondPartCount = 8; ///< For each first part.
    static constexpr std::uint64_t newCrashingPart = 0xbad;
    static constexpr std::uint64_t firstSecondPart = 100; ///< Id of the first of all second parts.

    /// What a caller wants, over all of its requests.
    struct Call
    {
        std::size_t zone = 0;
        std::size_t workspace = 0;
        std::size_t firstPart = 0;
        bool isCrashing = false;
        std::vector<PromptPart> sharedParts;
        Duration sentAt {0};
        bool isInTouch = false; ///< Whether the first request's node was.
        bool hasBegun = false;  ///< The first request has brought an answer's start.
        std::uint32_t requestsLeft = 2;
    };
    using CallHandle = std::shared_ptr<Call>;

    struct Request
    {
        CallHandle call;
        Node *node = nullptr;
        Incarnation incarnation = 0;
        bool hasEvents = false;
    };

    /// The current attempt of a request at the target that has accepted it.
    struct Run
    {
        AttemptNumber attempt = 0;
        TargetHandle target;
        bool hasBegun = false;
        bool isUnframed = false;
    };

    struct Count
    {
        std::uint64_t sent = 0;
        std::uint64_t begun = 0;

        void add(bool hasBegun)
        {
            ++sent;
            begun += hasBegun ? 1 : 0;
        }
        double share() const
        {
            return sent == 0 ? 0 : static_cast<double>(begun) / static_cast<double>(sent);
        }
    };
    struct BeforeAndAfter
    {
        Count before;
        Count after;

        std::optional<double> ratio() const
        {
            if (before.sent < minGroupCalls || after.sent < minGroupCalls || before.begun == 0)
                return std::nullopt;
            return after.share() / before.share();
        }
    };

    // Faults.

    void scheduleFaults()
    {
        if (!m_options.hasOtherFaults)
            return;
        const Duration end = m_options.time;
        for (Duration at = firstCrashingAt + end / 20; at < end; at += end / 8) {
            schedule(at, [this] {
                if (const TargetHandle target = findTarget([](const Target &) { return true; }))
                    crash(target);
            });
        }
        for (Duration at = firstCrashingAt + end / 30; at < end; at += end / 6)
            schedule(at,
                     [this] { killNode(m_fleet.nodes()[randomIndex(m_fleet.nodes().size())]); });
        schedule(randomTime(firstCrashingAt, end * 2 / 3), [this] {
            cutZone();
            for (Node &node : m_fleet.nodes()) {
                if (node.zone == m_cutZone)
                    m_disturbedUntil[&node] = m_schedule.now() + zoneCutTime;
            }
        });
    }

    void onNodeKilled(Node &node) override
    {
        m_disturbedUntil[&node] = m_schedule.now() + restartTime;
        std::vector<RequestHandle> lost;
        for (const auto &[handle, request] : m_requests) {
            if (request.node == &node)
                lost.push_back(handle);
        }
        for (const RequestHandle handle : lost) {
            const Request request = m_requests.at(handle);
            finish(handle);
            comeBack(request, randomTime(linkDelay, std::chrono::milliseconds(50)));
        }
    }

    bool isInTouch(Node &node) const
    {
        const auto found = m_disturbedUntil.find(&node);
        return found == m_disturbedUntil.end() || m_schedule.now() >= found->second + contactTime;
    }

    /// Ends a target and all that it runs.
    void crash(const TargetHandle &target)
    {
        if (target->isGone)
            return;
        crashTarget(target, randomTime(std::chrono::seconds(1), std::chrono::seconds(3)));
        for (const auto &entry : m_runs) {
            if (entry.second.target != target)
                continue;
            schedule(linkDelay + randomTime(Duration(0), linkDelay),
                     [this, handle = entry.first, attempt = entry.second.attempt] {
                         breakOff(handle, attempt);
                     });
        }
    }

    /// Ends a quarter of the targets, or breaks half of the connections to two fifths of them.
    void breakMany()
    {
        const bool endsTargets = m_options.massFault == MassFault::TargetsEnd;
        const std::vector<TargetHandle> targets = m_targets;
        for (const TargetHandle &target : targets) {
            const double minShare = minBrokenTargets / static_cast<double>(targets.size());
            if (uniform(m_random) >= std::max(endsTargets ? 0.25 : 0.4, minShare))
                continue;
            ++m_result.targetsBroken;
            if (endsTargets)
                crash(target);
            else
                breakConnections(target, 0.5);
        }
    }

    void breakConnections(const TargetHandle &target, double share)
    {
        for (const auto &[handle, run] : m_runs) {
            if (run.target == target && uniform(m_random) < share) {
                const bool isNodeLate = uniform(m_random) < 0.1;
                schedule(linkDelay + randomTime(Duration(0), isNodeLate ? maxNodeLag : linkDelay),
                         [this, handle = handle, attempt = run.attempt] {
                             if (findRun(handle, attempt))
                                 fail(handle, attempt, AttemptFailure::Reset);
                         });
            }
        }
    }

    /// An answer that ends with its connection looks complete if it ends between two writes.
    void breakOff(RequestHandle handle, AttemptNumber attempt)
    {
        const Run *run = findRun(handle, attempt);
        if (!run)
            return;
        if (run->hasBegun && run->isUnframed && uniform(m_random) < 0.5) {
            complete(handle, attempt);
            return;
        }
        const bool isReset = uniform(m_random) < 0.2;
        fail(handle, attempt, isReset ? AttemptFailure::Reset : AttemptFailure::TruncatedResponse);
    }

    // Callers.

    void scheduleNextCall(double callsPerSecond, bool isCrashing)
    {
        schedule(fromSeconds(2 * uniform(m_random) / callsPerSecond),
                 [this, callsPerSecond, isCrashing] {
                     sendFirst(makeCall(isCrashing));
                     scheduleNextCall(callsPerSecond, isCrashing);
                 });
    }

    /// Returns a random index; low ones are more frequent.
    std::size_t skewedIndex(std::size_t size)
    {
        const double position = uniform(m_random);
        return static_cast<std::size_t>(position * position * static_cast<double>(size));
    }

    CallHandle makeCall(bool isCrashing)
    {
        auto call = std::make_shared<Call>();
        call->zone = randomIndex(m_site.zones);
        call->workspace = skewedIndex(m_site.workspaces);
        call->firstPart = isCrashing && m_options.hasRareCompany ? firstPartCount - 1
                                                                 : skewedIndex(firstPartCount);
        call->isCrashing = isCrashing;
        const PromptPart first {1 + call->firstPart, 1000};
        const PromptPart second {firstSecondPart + call->firstPart * secondPartCount
                                     + skewedIndex(secondPartCount),
                                 500};
        const PromptPart crashing {newCrashingPart, 400};
        if (m_options.wasInUse && m_schedule.now() >= firstCrashingAt)
            call->isCrashing = second.id == firstSecondPart;
        if (!isCrashing)
            call->sharedParts = {first, second};
        else if (m_options.position == CrashingPartPosition::First)
            call->sharedParts = {crashing, second};
        else if (m_options.position == CrashingPartPosition::Twice)
            call->sharedParts = {first, crashing, crashing};
        else
            call->sharedParts = {first, crashing, second};
        return call;
    }

    void sendFirst(const CallHandle &call)
    {
        Node *node = selectNode(call->zone);
        if (!node)
            return;
        call->sentAt = m_schedule.now();
        call->isInTouch = isInTouch(*node);
        m_calls.push_back(call);
        send(call, *node);
    }

    void send(const CallHandle &call, Node &node)
    {
        --call->requestsLeft;
        RequestArrived event;
        event.handle = ++m_lastHandle;
        event.requestId = "r" + std::to_string(m_lastHandle);
        event.host = "h";
        event.path = "/" + std::to_string(m_lastHandle);
        event.credential = credentialOf(call->workspace);
        event.deadline = call->sentAt + callerTime - m_schedule.now();
        std::vector<PromptPart> parts = call->sharedParts;
        parts.push_back({1000 + m_lastHandle, 300});
        std::uint32_t tokens = 0;
        for (const PromptPart &part : parts)
            tokens += part.tokens;
        event.prompt = Prompt {"m", std::move(parts), tokens, 100};
        m_result.soundRequests += call->isCrashing ? 0 : 1;
        m_requests[m_lastHandle] = {call, &node, node.incarnation, false};
        deliver(node, event);
    }

    void comeBack(const Request &request, Duration delay)
    {
        if (request.hasEvents || request.call->requestsLeft == 0)
            return;
        schedule(delay, [this, call = request.call] {
            Node *node = selectNode(call->zone);
            if (node && m_schedule.now() < call->sentAt + callerTime)
                send(call, *node);
        });
    }

    void refuse(const Refuse &action)
    {
        const auto found = m_requests.find(action.handle);
        if (found == m_requests.end())
            return;
        const Request request = found->second;
        finish(action.handle);
        const bool isCrashRefusal = action.type.starts_with("crashing-");
        const bool isSoundRefused = isCrashRefusal && !request.call->isCrashing;
        m_result.refusedSound += isSoundRefused ? 1 : 0;
        const bool isLate = m_schedule.now() > massFaultAt + std::chrono::seconds(2);
        m_result.refusedSoundLate += isSoundRefused && isLate ? 1 : 0;
        comeBack(request, action.retryAfter.value_or(std::chrono::milliseconds(20)));
    }

    // Nodes and targets.

    void deliver(Node &node, const Event &event)
    {
        if (!node.core)
            return;
        m_fleet.handle(node, event);
        takeActions();
    }

    /// Messages and timers cause actions at any node.
    void takeActions()
    {
        for (Node &node : m_fleet.nodes()) {
            for (const Action &action : std::exchange(node.pending, {})) {
                if (const auto *refusal = std::get_if<Refuse>(&action))
                    refuse(*refusal);
                if (const auto *abort = std::get_if<AbortAttempt>(&action))
                    endRun(abort->handle);
                if (const auto *dispatch = std::get_if<Dispatch>(&action))
                    schedule(linkDelay, [this, sent = *dispatch] { arrive(sent); });
            }
        }
    }

    /// Returns the request, unless its node has been killed since.
    Request *findRequest(RequestHandle handle)
    {
        const auto found = m_requests.find(handle);
        if (found == m_requests.end())
            return nullptr;
        Request &request = found->second;
        const bool isAlive = request.node->core && request.node->incarnation == request.incarnation;
        return isAlive ? &request : nullptr;
    }

    Run *findRun(RequestHandle handle, AttemptNumber attempt)
    {
        const auto found = m_runs.find(handle);
        const bool isCurrent = found != m_runs.end() && found->second.attempt == attempt;
        return isCurrent && findRequest(handle) ? &found->second : nullptr;
    }

    void endRun(RequestHandle handle)
    {
        const auto found = m_runs.find(handle);
        if (found == m_runs.end())
            return;
        --found->second.target->running;
        m_runs.erase(found);
    }

    void finish(RequestHandle handle)
    {
        endRun(handle);
        m_requests.erase(handle);
    }

    void arrive(const Dispatch &dispatch)
    {
        takeActions();
        const Request *request = findRequest(dispatch.handle);
        if (!request)
            return;
        const auto found = std::find_if(m_targets.begin(), m_targets.end(), [&](const auto &each) {
            return each->id == dispatch.target.str();
        });
        const TargetHandle target = *found;
        if (target->isGone) {
            deliver(*request->node,
                    AttemptFailed {dispatch.handle, dispatch.attempt,
                                   AttemptFailure::ConnectRefused, false});
            return;
        }
        if (request->call->isCrashing)
            recordCrashingArrival(*request->node);
        if (target->running >= 2 * m_site.slots) {
            deliver(
                *request->node,
                AttemptFailed {dispatch.handle, dispatch.attempt, AttemptFailure::NotRun, true});
            return;
        }
        ++target->running;
        m_runs[dispatch.handle]
            = {dispatch.attempt, target, false, uniform(m_random) < m_options.unframedShare};
        const double load = static_cast<double>(target->running) / m_site.slots;
        const Duration wait = fromSeconds(0.03 + 0.03 * std::max(0.0, load - 1));
        schedule(wait, [this, handle = dispatch.handle, attempt = dispatch.attempt] {
            begin(handle, attempt);
        });
    }

    void recordCrashingArrival(Node &node)
    {
        const bool isKnown = m_crashTimes.size() >= crashesBeforeVerdict
            && m_schedule.now() > m_crashTimes[crashesBeforeVerdict - 1] + contactTime;
        m_result.sentTooLate += isKnown && isInTouch(node) ? 1 : 0;
    }

    void begin(RequestHandle handle, AttemptNumber attempt)
    {
        Run *run = findRun(handle, attempt);
        if (!run || run->target->isGone)
            return;
        run->hasBegun = true;
        Request &request = *findRequest(handle);
        request.call->hasBegun = request.call->hasBegun || request.call->requestsLeft == 1;
        if (request.call->isCrashing) {
            schedule(randomTime(std::chrono::milliseconds(50), std::chrono::milliseconds(140)),
                     [this, handle, attempt] { crashByPart(handle, attempt); });
        } else {
            request.hasEvents = true;
            const Duration time
                = randomTime(std::chrono::milliseconds(200), std::chrono::milliseconds(1400));
            const bool isCut = uniform(m_random) < m_options.cutShare;
            schedule(isCut ? randomTime(Duration(0), time) : time, [this, handle, attempt, isCut] {
                if (isCut)
                    fail(handle, attempt, AttemptFailure::TruncatedResponse);
                else
                    complete(handle, attempt);
            });
        }
        deliver(*request.node, AttemptHead {handle, attempt, 200, {}});
    }

    void crashByPart(RequestHandle handle, AttemptNumber attempt)
    {
        const Run *run = findRun(handle, attempt);
        if (!run || run->target->isGone)
            return;
        m_crashTimes.push_back(m_schedule.now());
        crash(run->target);
    }

    void complete(RequestHandle handle, AttemptNumber attempt)
    {
        const Run *run = findRun(handle, attempt);
        if (!run)
            return;
        AttemptDone done {handle, attempt, 200, {}, 10, {}, {}};
        done.endedWithConnection = run->isUnframed;
        Node &node = *findRequest(handle)->node;
        finish(handle);
        deliver(node, done);
    }

    void fail(RequestHandle handle, AttemptNumber attempt, AttemptFailure failure)
    {
        if (!findRun(handle, attempt))
            return;
        endRun(handle);
        const Request &request = *findRequest(handle);
        deliver(*request.node, AttemptFailed {handle, attempt, failure, true, request.hasEvents});
    }

    // Results.

    void summarize()
    {
        for (const Node &node : m_fleet.nodes())
            m_result.messages += node.messagesSent;
        m_result.crashes = m_crashTimes.size();
        if (m_crashTimes.empty())
            return;
        const std::size_t last = std::min(m_crashTimes.size(), crashesBeforeVerdict) - 1;
        const Duration knownAt = m_crashTimes[last] + 2 * contactTime;
        BeforeAndAfter all;
        std::map<std::size_t, BeforeAndAfter> byWorkspace;
        std::map<std::size_t, BeforeAndAfter> byFirstPart;
        for (const CallHandle &call : m_calls) {
            if (call->isCrashing || !call->isInTouch || call->sentAt < warmUp)
                continue;
            for (BeforeAndAfter *each :
                 {&all, &byWorkspace[call->workspace], &byFirstPart[call->firstPart]}) {
                if (call->sentAt < firstCrashingAt)
                    each->before.add(call->hasBegun);
                if (call->sentAt > knownAt && call->sentAt < m_options.time - contactTime)
                    each->after.add(call->hasBegun);
            }
        }
        m_result.begunBefore = all.before.share();
        m_result.begunAfter = all.after.share();
        for (const auto &groups : {byWorkspace, byFirstPart}) {
            for (const auto &[group, counts] : groups)
                m_result.leastRatio
                    = std::min(m_result.leastRatio, counts.ratio().value_or(m_result.leastRatio));
        }
    }

    const SimulatedCrashesOptions m_options;
    std::map<RequestHandle, Request> m_requests;
    std::map<RequestHandle, Run> m_runs;
    std::vector<CallHandle> m_calls;
    std::vector<Duration> m_crashTimes;          ///< Of the targets that the part ended.
    std::map<Node *, Duration> m_disturbedUntil; ///< End of a node's last kill or cut.
    RequestHandle m_lastHandle = 0;
    Result m_result;
};

} // namespace berylridge::test
