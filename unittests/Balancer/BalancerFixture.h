// Runs one balancer under a simulated clock: sends events and records the resulting actions.
#pragma once

#include "berylridge/Balancer/BalancerCore.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace berylridge::test {

using namespace std::chrono_literals;

class BalancerFixture : public testing::Test
{
protected:
    BalancerFixture() { createCore(); }

    void createCore(const std::vector<Endpoint> &seeds = {})
    {
        BalancerOptions options;
        options.seeds = seeds;
        options.node = NodeId(nodeName);
        options.zone = ZoneId("a");
        options.endpoint = {"10.0.0.1", 7400};
        options.incarnation = 5;
        options.chartDirectory = BERYLRIDGE_SOURCE_DIR "/charts";
        options.leavesRotationOnOverload = leavesRotationOnOverload;
        auto created = BalancerCore::create(options, clock.now(), clock.wallNow());
        ASSERT_TRUE(created) << created.failureReason();
        core = *std::move(created);
    }

    /// Passes the event to the core. Reads of the platform's revision are answered at once, unless
    /// `platformRevision` is empty.
    void handle(const Event &event)
    {
        actions.clear();
        core->handle(event, clock.now(), clock.wallNow(), actions);
        for (std::size_t i = 0; i < actions.size(); ++i) {
            const auto *read = std::get_if<ReadPlatformRevision>(&actions[i]);
            if (!read || !platformRevision)
                continue;
            Actions more;
            core->handle(PlatformRevisionRead {read->ticket, *platformRevision}, clock.now(),
                         clock.wallNow(), more);
            actions.insert(actions.end(), more.begin(), more.end());
        }
    }

    /// Advances the clock and fires the core's timers when they are due, as the event loop does.
    void advanceTime(Duration time)
    {
        const TimePoint end = clock.now() + time;
        Actions all;
        while (core->nextTimer() < end) {
            clock.advance(std::max(core->nextTimer() - clock.now(), Duration(1)));
            handle(TimerDue {});
            all.insert(all.end(), actions.begin(), actions.end());
        }
        clock.advance(std::max(end - clock.now(), Duration(0)));
        actions = std::move(all);
    }

    template <typename T>
    const T *findAction() const
    {
        for (const Action &action : actions) {
            if (const auto *found = std::get_if<T>(&action))
                return found;
        }
        return nullptr;
    }

    static RouteSpec route(const char *prefix, RequestKind kind, std::uint32_t attempts)
    {
        RouteSpec spec;
        spec.host = "h";
        spec.pathPrefix = prefix;
        spec.kind = static_cast<std::uint8_t>(kind);
        spec.timeoutMs = 4000;
        spec.latencyTargetMs = 400;
        spec.attempts = attempts;
        spec.services = {{"s", 1}};
        return spec;
    }

    void installCatalog(std::uint64_t version = 1)
    {
        Catalog catalog;
        catalog.version = version;
        catalog.routes = {route("/read/", RequestKind::Idempotent, 2),
                          route("/buy/", RequestKind::NonIdempotent, 1),
                          route("/stream/", RequestKind::Stream, 2)};
        catalog.routes[2].isResumable = true;
        catalog.routes[2].timeoutMs = streamTimeoutMs;
        catalog.routes[2].services = {{streamService, 1}};
        for (const char *service : {"s", "s2"}) {
            catalog.services.push_back(
                {service, 100, 3000, coldRequestsPerSecond, isEngine, 128, 1000000});
        }
        catalog.workspaces = {{"potters", {"key"}}};
        handle(CatalogArrived {std::make_shared<const Catalog>(catalog)});
    }

    void installTargets(const std::vector<std::string> &ids)
    {
        listedTargets = ids;
        handle(DirectoryArrived {listingOf(ids)});
    }

    /// Reports the change to these targets, as a watch of the platform does.
    void updateTargets(const std::vector<std::string> &ids)
    {
        DirectoryUpdate update = listingOf(ids);
        update.isFullSnapshot = false;
        for (const std::string &id : std::exchange(listedTargets, ids)) {
            if (std::find(ids.begin(), ids.end(), id) != ids.end())
                continue;
            TargetRecord removal;
            removal.id = id;
            removal.revision = revision;
            removal.isRemoved = true;
            update.targets.push_back(removal);
        }
        handle(DirectoryArrived {update});
    }

    DirectoryUpdate listingOf(const std::vector<std::string> &ids)
    {
        DirectoryUpdate update;
        update.revision = ++revision;
        platformRevision = revision;
        update.isFullSnapshot = true;
        for (const std::string &id : ids) {
            TargetRecord record;
            record.id = id;
            record.revision = revision;
            record.service = id.starts_with("other") ? "s2" : "s";
            record.address = "10.1.0.1";
            record.port = 80;
            record.zone = "a";
            record.slots = 6;
            record.coldRemainingMs = coldRemainingMs;
            record.startedAtMs = startedAtMs;
            const auto version = softwareVersions.find(id);
            record.softwareVersion = version == softwareVersions.end() ? "v1" : version->second;
            update.targets.push_back(record);
        }
        return update;
    }

    void sendRequest(const std::string &path, const std::string &credential = "key",
                     std::optional<StreamResumption> resumption = std::nullopt)
    {
        RequestArrived request;
        request.resumption = std::move(resumption);
        request.handle = ++lastHandle;
        request.requestId = "r" + std::to_string(lastHandle);
        request.host = "h";
        request.path = path;
        request.credential = credential;
        request.deadline = 4s;
        request.bodyHash = requestBodyHash;
        if (isEngine) {
            request.prompt = Prompt {"m", sharedParts, 4000, 100};
            for (const PromptPart &part : sharedParts)
                request.prompt->inputTokens += part.tokens;
            request.prompt->parts.push_back({lastHandle + 100, 4000});
        }
        handle(request);
    }

    void receiveDigest(const std::string &node, const std::string &zone,
                       std::uint64_t catalogVersion, std::uint64_t directoryRevision,
                       bool isReadingPlatform = false, bool keepsVersionHistory = false)
    {
        LoadDigest digest;
        digest.zone = zone;
        digest.address = "10.0.0.2";
        digest.port = 7400;
        digest.catalogVersion = catalogVersion;
        digest.directoryRevision = directoryRevision;
        digest.isReadingPlatform = isReadingPlatform;
        if (isReadingPlatform)
            digest.platform = {0, 1000, 1}; // The platform has just answered it.
        digest.keepsVersionHistory = keepsVersionHistory;
        handle(NodeMessage {NodeId(node), 1, BalancerMessage(digest)});
    }

    /// Returns the messages of type T in the last actions, with their receivers' endpoints.
    template <typename T>
    std::vector<std::pair<Endpoint, T>> sentMessages() const
    {
        std::vector<std::pair<Endpoint, T>> sent;
        for (const Action &action : actions) {
            const auto *send = std::get_if<SendToNode>(&action);
            const auto *message = send ? std::get_if<BalancerMessage>(&send->message) : nullptr;
            if (message && std::holds_alternative<T>(*message))
                sent.emplace_back(send->endpoint, std::get<T>(*message));
        }
        return sent;
    }

    AttemptFailed makeFailure(const Dispatch &dispatch, AttemptFailure failureKind,
                              bool sentAny = true) const
    {
        return {dispatch.handle, dispatch.attempt, failureKind, sentAny, false};
    }

    /// Delivers the advice of a response to the attempt.
    void receiveAdvice(const Dispatch &dispatch, const TargetAdvice &advice, unsigned status = 503)
    {
        handle(TargetAdviceArrived {dispatch.target, dispatch.targetBoot, status, advice});
    }

    /// Lets the target reject the attempt and ask this node for a pause.
    void rejectWithRetryAfter(const Dispatch &dispatch, Duration retryAfter)
    {
        receiveAdvice(dispatch, {.retryAfter = retryAfter});
        handle(makeFailure(dispatch, AttemptFailure::NotRun));
    }

    ManualClock clock;
    std::string nodeName = "n1";
    bool leavesRotationOnOverload = false;
    std::unique_ptr<BalancerCore> core;
    Actions actions;
    RequestHandle lastHandle = 0;
    std::uint64_t revision = 0;
    std::optional<std::uint64_t> platformRevision; ///< Revision that the platform answers.
    std::vector<std::string> listedTargets;
    std::uint64_t requestBodyHash = 0;
    std::uint32_t streamTimeoutMs = 4000;
    std::string streamService = "s"; ///< Service of the route for streams.
    double coldRequestsPerSecond = 0;
    std::uint32_t coldRemainingMs = 0;
    std::int64_t startedAtMs = 1;
    std::map<std::string, std::string> softwareVersions; ///< By target; "v1" for the others.
    bool isEngine = false;
    std::vector<PromptPart> sharedParts {{1, 10000}}; ///< Of the prompts of engine requests.
};

} // namespace berylridge::test
