// Simulates streams behind a SimulatedFleet while targets are replaced by ones with other software
// versions, targets crash, nodes are killed and a zone is cut off. Callers take broken streams up
// through other nodes.
#pragma once

#include "SimulatedSite.h"

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
    SimulatedSiteOptions site;
    Duration time = std::chrono::seconds(40);
    double streamsPerSecond = 60;
    bool hasVersions = true; ///< Whether replaced targets get other versions.
};

class SimulatedStreams : private SimulatedSite
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
        : SimulatedSite(options.site)
        , m_options(options)
    {
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

    static constexpr Duration callerTime = std::chrono::seconds(8);
    static constexpr Duration drainTime = std::chrono::milliseconds(2000);

    // Faults.

    void scheduleFaults()
    {
        const Duration end = m_options.time;
        scheduleRelease(end / 10, m_site.targets / 2, "v2");
        scheduleRelease(end / 2, m_site.targets / 2, "v3");
        scheduleRelease(end * 8 / 10, m_site.targets, "v2");
        for (Duration at = end / 8; at < end; at += end / 16)
            schedule(at, [this] { crashAnyTarget(); });
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

    void drain(const TargetHandle &target)
    {
        target->isDraining = true;
        target->revision = ++m_revision;
        listTargetsSoon();
        schedule(drainTime, [this, target] { endTarget(target); });
    }

    void crashAnyTarget()
    {
        if (const TargetHandle target = findTarget([](const Target &) { return true; }))
            crashTarget(target);
    }

    void onNodeKilled(Node &node) override
    {
        for (auto entry = m_requests.begin(); entry != m_requests.end();) {
            if (entry->second.node != &node) {
                ++entry;
                continue;
            }
            const Request request = entry->second;
            entry = m_requests.erase(entry);
            comeBack(request, randomTime(linkDelay, std::chrono::milliseconds(50)));
        }
    }

    // Callers.

    void scheduleNextStream()
    {
        schedule(fromSeconds(2 * uniform(m_random) / m_options.streamsPerSecond), [this] {
            const auto stream = std::make_shared<Stream>();
            stream->zone = randomIndex(m_site.zones);
            stream->endsBy = m_schedule.now() + callerTime;
            send(stream);
            scheduleNextStream();
        });
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
        event.credential = credentialOf(0);
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
        if (target->running >= 2 * m_site.slots) {
            fail(dispatch, AttemptFailure::NotRun, true);
            return;
        }
        ++target->running;
        const double load = static_cast<double>(target->running) / m_site.slots;
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
        const bool isFirst = !std::exchange(request->hasEvents, true);
        handle(*request->node, AttemptHead {dispatch.handle, dispatch.attempt, 200, {}});
        if (isFirst)
            handle(*request->node, FirstEventRelayed {dispatch.handle, dispatch.attempt});
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
    std::map<RequestHandle, Request> m_requests;
    RequestHandle m_lastHandle = 0;
    Result m_result;
};

} // namespace berylridge::test
