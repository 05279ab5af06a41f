// Tests the whole balancer under a simulated clock: sends events and checks the resulting actions.
#include "BalancerFixture.h"

#include "berylridge/Policy/OverloadReadiness.h"
#include "berylridge/Support/Hash.h"

#include <deque>
#include <map>
#include <set>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

class BalancerCoreTest : public test::BalancerFixture
{
protected:
    /// Sends one request to targets that complete one request in ten.
    void sendToFullTargets(int number)
    {
        if (number % 10 == 0 && !m_running.empty()) {
            const Dispatch &first = m_running.front();
            handle(AttemptHead {first.handle, first.attempt, 200, {}});
            handle(AttemptDone {first.handle, first.attempt, 200, {}, 0, {}, {}});
            m_running.pop_front();
        }
        sendRequest("/stream/" + std::to_string(number));
        if (const auto *dispatch = findAction<Dispatch>())
            m_running.push_back(*dispatch);
    }

    /// Handles a digest of each of three other nodes of the zone; of "n0", in the given state.
    template <typename Visit>
    void handleZoneDigests(RotationState first, Visit visit)
    {
        for (const std::string peer : {"n0", "n2", "n3"}) {
            LoadDigest digest;
            digest.zone = "a";
            const RotationState state = peer == "n0" ? first : RotationState::In;
            digest.rotation = static_cast<std::uint8_t>(state);
            handle(NodeMessage {NodeId(peer), 1, BalancerMessage(digest)});
            visit();
        }
    }

private:
    std::deque<Dispatch> m_running;
};

} // namespace

// A node without a catalog can't know which routes exist, so it must respond with 503, not 404.
TEST_F(BalancerCoreTest, RequestsBeforeTheFirstCatalogGetRetryAfter)
{
    sendRequest("/read/1");
    ASSERT_TRUE(findAction<Refuse>());
    EXPECT_EQ(findAction<Refuse>()->status, 503U);
    EXPECT_TRUE(findAction<Refuse>()->retryAfter);
    EXPECT_EQ(findAction<Refuse>()->verdict, Verdict::NotRun);
}

TEST_F(BalancerCoreTest, ReadyOnceCatalogAndTargetsAreKnown)
{
    installCatalog();
    EXPECT_FALSE(findAction<Readiness>());
    installTargets({"t1"});
    ASSERT_TRUE(findAction<Readiness>());
    EXPECT_TRUE(findAction<Readiness>()->isReady);
}

// Guards against a log that doesn't tell from where a node that starts has its state, and how old
// that is.
TEST_F(BalancerCoreTest, ReadinessTellsTheSourceOfTheState)
{
    installCatalog();
    DirectoryRelay relay;
    relay.directoryUpdate = listingOf({"t1"});
    relay.platform.answeredMs = 700;
    relay.platform.upMs = 900;
    handle(NodeMessage {NodeId("m1"), 1, BalancerMessage(relay)});
    Json::Value fields;
    for (const Action &action : actions) {
        const auto *log = std::get_if<Log>(&action);
        if (log && log->record.id == LogEventId::NodeReady)
            fields = log->record.fields;
    }
    EXPECT_EQ(fields["source"].asString(), "m1");
    EXPECT_EQ(fields["directory"].asUInt64(), revision);
    EXPECT_EQ(fields["platformAnsweredMs"].asUInt(), 700U);
}

TEST_F(BalancerCoreTest, RoutesAndCredentialsAreChecked)
{
    installCatalog();
    installTargets({"t1"});
    sendRequest("/nothing/1");
    EXPECT_EQ(findAction<Refuse>()->status, 404U);
    sendRequest("/read/1", "stolen");
    EXPECT_EQ(findAction<Refuse>()->status, 401U);
    sendRequest("/read/1");
    ASSERT_TRUE(findAction<Dispatch>());
    EXPECT_EQ(findAction<Dispatch>()->workspace, WorkspaceId("potters"));
    EXPECT_EQ(findAction<Dispatch>()->timeLeft, Duration(4s));
}

// A node that was partitioned relays an older catalog late. It must not become active again.
TEST_F(BalancerCoreTest, OlderCatalogIsIgnored)
{
    installCatalog(7);
    installTargets({"t1"});
    Catalog old;
    old.version = 6;
    handle(NodeMessage {NodeId("n2"), 1, BalancerMessage(CatalogUpdate {old})});
    sendRequest("/read/1");
    EXPECT_TRUE(findAction<Dispatch>());
}

// Guards against a node that learns its catalog from peers and keeps other limits than they have.
TEST_F(BalancerCoreTest, CallerLimitsOfARelayedCatalogAreSet)
{
    Catalog catalog;
    catalog.version = 7;
    catalog.callerLimits.bodyBytes = 1000;
    handle(NodeMessage {NodeId("n2"), 1, BalancerMessage(CatalogUpdate {catalog})});
    ASSERT_TRUE(findAction<SetCallerLimits>());
    EXPECT_EQ(findAction<SetCallerLimits>()->limits.bodyBytes, 1000U);
}

// A non-idempotent request was sent and its connection broke, so it may have run. It must not be
// sent to a second target, and the response must not state that it has not run.
TEST_F(BalancerCoreTest, NonIdempotentRequestThatMayHaveRunIsNotRetried)
{
    installCatalog();
    installTargets({"t1", "t2"});
    sendRequest("/buy/1");
    const Dispatch sent = *findAction<Dispatch>();
    handle(makeFailure(sent, AttemptFailure::Reset));
    EXPECT_FALSE(findAction<Dispatch>());
    ASSERT_TRUE(findAction<Refuse>());
    EXPECT_EQ(findAction<Refuse>()->status, 502U);
    EXPECT_EQ(findAction<Refuse>()->verdict, Verdict::MayHaveRun);
}

TEST_F(BalancerCoreTest, UnsentNonIdempotentRequestIsRetriedAtAnotherTarget)
{
    installCatalog();
    installTargets({"t1", "t2"});
    sendRequest("/buy/1");
    const Dispatch sent = *findAction<Dispatch>();
    handle(makeFailure(sent, AttemptFailure::ConnectRefused, false));
    ASSERT_TRUE(findAction<Dispatch>());
    EXPECT_NE(findAction<Dispatch>()->target, sent.target);
}

// The only target reports that it has not run the non-idempotent request. The response must report
// the same.
TEST_F(BalancerCoreTest, TargetRejectionIsReportedAsNotRun)
{
    installCatalog();
    installTargets({"t1"});
    sendRequest("/buy/1");
    handle(makeFailure(*findAction<Dispatch>(), AttemptFailure::NotRun));
    ASSERT_TRUE(findAction<Refuse>());
    EXPECT_EQ(findAction<Refuse>()->status, 503U);
    EXPECT_EQ(findAction<Refuse>()->verdict, Verdict::NotRun);
}

// An idempotent request fails at its first target and is retried once. The second failure is
// relayed to the caller.
TEST_F(BalancerCoreTest, IdempotentRequestIsRetriedUpToTheRoutesAttempts)
{
    installCatalog();
    installTargets({"t1", "t2", "t3"});
    sendRequest("/read/1");
    const Dispatch first = *findAction<Dispatch>();
    handle(makeFailure(first, AttemptFailure::TargetError));
    ASSERT_TRUE(findAction<Dispatch>());
    const Dispatch second = *findAction<Dispatch>();
    EXPECT_NE(first.target, second.target);
    AttemptFailed again = makeFailure(second, AttemptFailure::TargetError);
    again.hasHeldResponse = true;
    handle(again);
    EXPECT_FALSE(findAction<Dispatch>());
    EXPECT_TRUE(findAction<RelayHeldResponse>());
}

// Every target fails every request. Retries must stop at the fleet's budget instead of two attempts
// per request.
TEST_F(BalancerCoreTest, RetriesAreLimitedByTheBudget)
{
    installCatalog();
    installTargets({"t1", "t2", "t3"});
    int repeats = 0;
    for (int i = 0; i < 200; ++i) {
        sendRequest("/read/" + std::to_string(i));
        const auto *first = findAction<Dispatch>();
        if (!first)
            continue;
        handle(makeFailure(*first, AttemptFailure::InvalidResponse));
        if (const auto *second = findAction<Dispatch>()) {
            ++repeats;
            handle(makeFailure(*second, AttemptFailure::InvalidResponse));
        }
    }
    EXPECT_GT(repeats, 5);
    EXPECT_LE(repeats, 30); // 0.1 of 200, and half of the slack of 10.
}

// A request crashes each target that runs it, and its caller sends it again. After two targets the
// node must reject it.
TEST_F(BalancerCoreTest, RequestThatCrashesTwoTargetsIsRejected)
{
    installCatalog();
    installTargets({"t1", "t2", "t3"});
    requestBodyHash = 77;
    sendRequest("/buy/1");
    handle(makeFailure(*findAction<Dispatch>(), AttemptFailure::Reset));
    sendRequest("/buy/1");
    ASSERT_TRUE(findAction<Dispatch>());
    const Dispatch second = *findAction<Dispatch>();
    handle(makeFailure(second, AttemptFailure::Reset));
    sendRequest("/buy/1");
    EXPECT_FALSE(findAction<Dispatch>());
    EXPECT_EQ(findAction<Refuse>()->type, "crashing-request");
}

// The caller disconnected, so the target must stop working on the request at once.
TEST_F(BalancerCoreTest, CallerDisconnectAbortsTheAttempt)
{
    installCatalog();
    installTargets({"t1"});
    sendRequest("/read/1");
    const Dispatch sent = *findAction<Dispatch>();
    handle(CallerGone {sent.handle});
    ASSERT_TRUE(findAction<AbortAttempt>());
    handle(makeFailure(sent, AttemptFailure::Reset));
    EXPECT_TRUE(actions.empty());
}

// A stream is truncated in the middle, and its route allows it to be resumed at another target.
TEST_F(BalancerCoreTest, StreamIsResumedOnceAtAnotherTarget)
{
    installCatalog();
    installTargets({"t1", "t2", "t3"});
    sendRequest("/stream/1");
    const Dispatch first = *findAction<Dispatch>();
    handle(AttemptHead {first.handle, first.attempt, 200, ""});
    AttemptFailed cut = makeFailure(first, AttemptFailure::TruncatedResponse);
    cut.answerBegun = true;
    handle(cut);
    ASSERT_TRUE(findAction<Dispatch>());
    EXPECT_TRUE(findAction<Dispatch>()->isResumed);
    AttemptFailed again = makeFailure(*findAction<Dispatch>(), AttemptFailure::TruncatedResponse);
    again.answerBegun = true;
    handle(again);
    EXPECT_FALSE(findAction<Dispatch>());
    EXPECT_TRUE(findAction<Refuse>());
}

// A target has just started and accepts a limited request rate, which is shared by two nodes.
TEST_F(BalancerCoreTest, ColdTargetReceivesOnlyThisNodesShareOfItsRate)
{
    coldRequestsPerSecond = 4;
    coldRemainingMs = 3000;
    installCatalog();
    installTargets({"t1"});
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
        sendRequest("/read/" + std::to_string(i));
        sent += findAction<Dispatch>() ? 1 : 0;
        advanceTime(10ms);
    }
    EXPECT_GE(sent, 2);
    EXPECT_LE(sent, 3); // Half of 4 a second, and one at once.
}

// All engines have more to read than they can start in time. The caller must be refused at once,
// with a delay after which the queue is shorter.
TEST_F(BalancerCoreTest, FullFleetRejectsImmediately)
{
    isEngine = true;
    installCatalog();
    installTargets({"t1"});
    int sent = 0;
    for (int i = 0; i < 50; ++i) {
        sendRequest("/stream/" + std::to_string(i));
        sent += findAction<Dispatch>() ? 1 : 0;
    }
    EXPECT_GT(sent, 2);
    EXPECT_LT(sent, 15);
    ASSERT_TRUE(findAction<Refuse>());
    EXPECT_EQ(findAction<Refuse>()->verdict, Verdict::NotRun);
    ASSERT_TRUE(findAction<Refuse>()->retryAfter);
    EXPECT_LT(*findAction<Refuse>()->retryAfter, Duration(1s));
}

// The target that read a shared prompt prefix has it cached, so the next request with that prefix
// must go to the same target.
TEST_F(BalancerCoreTest, RequestsWithASharedPrefixGoToTheSameTarget)
{
    isEngine = true;
    installCatalog();
    installTargets({"t1", "t2", "t3", "t4"});
    std::set<TargetId> targets;
    for (int i = 0; i < 10; ++i) {
        sendRequest("/stream/" + std::to_string(i));
        const Dispatch sent = *findAction<Dispatch>();
        targets.insert(sent.target);
        clock.advance(100ms);
        handle(AttemptHead {sent.handle, sent.attempt, 200, ""});
        handle(AttemptDone {sent.handle, sent.attempt, 200, "", 10, {}, {}});
    }
    EXPECT_EQ(targets.size(), 1U);
}

// Seventy nodes know a cold target. One request from each at the same moment would be four times
// what it can handle and would crash it, so only a few of the nodes may send to it.
TEST_F(BalancerCoreTest, OnlyAFewNodesOfALargeFleetSendToAColdTarget)
{
    coldRequestsPerSecond = 16;
    coldRemainingMs = 3000;
    installCatalog();
    int sent = 0;
    for (int target = 0; target < 100; ++target) {
        const std::string id = "t" + std::to_string(target);
        installTargets({id});
        for (int node = 0; node < 70; ++node) {
            LoadDigest digest;
            digest.zone = "b";
            handle(NodeMessage {NodeId("m" + std::to_string(node)), 1, BalancerMessage(digest)});
        }
        sendRequest("/read/1");
        sent += findAction<Dispatch>() ? 1 : 0;
    }
    EXPECT_GT(sent, 3); // Eight of 71 nodes send to each target.
    EXPECT_LT(sent, 25);
}

// During a planned stop callers are still sent to the node for a while. A stream that starts late
// would be truncated at the end, so late requests are rejected. The process terminates in time even
// if requests are still running.
TEST_F(BalancerCoreTest, PlannedStopServesThenRejectsThenTerminates)
{
    installCatalog();
    installTargets({"t1"});
    handle(LeaveOrdered {"SIGTERM"});
    ASSERT_TRUE(findAction<Readiness>());
    EXPECT_FALSE(findAction<Readiness>()->isReady);
    advanceTime(2s);
    sendRequest("/read/1");
    EXPECT_TRUE(findAction<Dispatch>());
    advanceTime(1s);
    sendRequest("/read/2");
    EXPECT_FALSE(findAction<Dispatch>());
    EXPECT_EQ(findAction<Refuse>()->type, "leaving");
    advanceTime(5s);
    EXPECT_TRUE(findAction<Stopped>());
    EXPECT_TRUE(findAction<AbortAttempt>());
}

// The platform rejects this node's calls. The digest of another node reports newer state, so the
// node must request it from there.
TEST_F(BalancerCoreTest, NewerStateIsRequestedFromPeers)
{
    LoadDigest digest;
    digest.zone = "b";
    digest.address = "10.0.0.2";
    digest.port = 7400;
    digest.catalogVersion = 3;
    handle(NodeMessage {NodeId("n2"), 1, BalancerMessage(digest)});
    const auto *sent = findAction<SendToNode>();
    ASSERT_TRUE(sent);
    const auto &message = std::get<BalancerMessage>(sent->message);
    EXPECT_TRUE(std::holds_alternative<StateRequest>(message)
                || std::holds_alternative<LoadDigest>(message));
    installCatalog(4);
    installTargets({"t1"});
    handle(NodeMessage {NodeId("n2"), 1, BalancerMessage(StateRequest {3, 0})});
    bool hasCatalog = false;
    for (const Action &action : actions) {
        if (const auto *out = std::get_if<SendToNode>(&action)) {
            const auto *relay = std::get_if<BalancerMessage>(&out->message);
            hasCatalog |= relay && std::holds_alternative<CatalogUpdate>(*relay);
        }
    }
    EXPECT_TRUE(hasCatalog);
}

// Each of 40 peers sends a late node its whole catalog, and the copies that arrive last are old.
TEST_F(BalancerCoreTest, ALateNodeRequestsTheCatalogFromOnePeerAtATime)
{
    installCatalog(1);
    installTargets({"t1"});
    std::size_t requests = 0;
    for (int i = 100; i < 140; ++i) {
        receiveDigest("m" + std::to_string(i), "b", 7, revision);
        requests += sentMessages<StateRequest>().size();
    }
    EXPECT_EQ(requests, 1U);
    advanceTime(500ms);
    receiveDigest("m100", "b", 7, revision);
    EXPECT_EQ(sentMessages<StateRequest>().size(), 1U);
}

// The relayed directory arrives before the larger catalog, which must not be requested again.
TEST_F(BalancerCoreTest, ADirectoryRelayLeavesTheCatalogRequestPending)
{
    installCatalog(1);
    installTargets({"t1"});
    receiveDigest("m1", "b", 7, revision + 1);
    ASSERT_EQ(sentMessages<StateRequest>().size(), 1U);
    DirectoryRelay relay;
    relay.directoryUpdate.revision = revision + 1;
    handle(NodeMessage {NodeId("m1"), 1, BalancerMessage(relay)});
    advanceTime(150ms);
    receiveDigest("m2", "b", 7, revision + 2);
    const auto sent = sentMessages<StateRequest>();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_GE(sent[0].second.catalogVersion, 7U);
}

// An outdated node rejects a valid credential or route as unknown, and the caller doesn't retry.
TEST_F(BalancerCoreTest, AnOutdatedCatalogGivesNoFinalRejection)
{
    installCatalog(1);
    installTargets({"t1"});
    receiveDigest("m1", "b", 2, revision);
    sendRequest("/read/1", "new-key");
    ASSERT_TRUE(findAction<Refuse>());
    EXPECT_EQ(findAction<Refuse>()->status, 503U);
    EXPECT_TRUE(findAction<Refuse>()->retryAfter);
    sendRequest("/new/1");
    EXPECT_EQ(findAction<Refuse>()->status, 503U);
    installCatalog(2);
    sendRequest("/read/2", "new-key");
    EXPECT_EQ(findAction<Refuse>()->status, 401U);
    sendRequest("/new/2");
    EXPECT_EQ(findAction<Refuse>()->status, 404U);
}

// All nodes start at the same time and callers arrive: a seed reads the platform's state, and nodes
// that asked it before must receive the state as soon as the seed has it.
TEST_F(BalancerCoreTest, NodesThatAskedBeforeTheStateWasKnownReceiveItThen)
{
    receiveDigest("m1", "a", 0, 0);
    handle(NodeMessage {NodeId("m1"), 1, BalancerMessage(StateRequest {0, 0})});
    EXPECT_TRUE(sentMessages<CatalogUpdate>().empty());
    installCatalog(1);
    installTargets({"t1"});
    EXPECT_EQ(sentMessages<CatalogUpdate>().size(), 1U);
    EXPECT_EQ(sentMessages<DirectoryRelay>().size(), 1U);
}

// Guards against requests that find the targets full being taken for those of a workspace over its
// share: a busy node sheds these first.
TEST_F(BalancerCoreTest, OnlyRejectionsOverTheShareAreMarked)
{
    isEngine = true;
    installCatalog();
    installTargets({"t1"});
    std::map<std::string, std::size_t> rejections;
    for (int i = 0; i < 600; ++i) {
        sendToFullTargets(i);
        if (const auto *refuse = findAction<Refuse>()) {
            ++rejections[refuse->type];
            EXPECT_EQ(refuse->isOverShare, refuse->type == "beyond-share") << refuse->type;
        }
        advanceTime(10ms);
    }
    EXPECT_GT(rejections["full"], 0U);
    EXPECT_GT(rejections["beyond-share"], 0U);
}

// Guards against a node that leaves the rotation since it sheds requests that every node would
// reject as over the share: the workspace gets its share here, and the next node may be weaker.
TEST_F(BalancerCoreTest, NodeThatShedsOnlyOverTheShareStaysInTheRotation)
{
    leavesRotationOnOverload = true;
    createCore();
    isEngine = true;
    installCatalog();
    installTargets({"t1"});
    std::size_t rejections = 0;
    bool isReady = true;
    const auto checkReadiness = [&] {
        if (const auto *change = findAction<Readiness>())
            isReady = change->isReady;
    };
    for (int i = 0; i < 600; ++i) {
        if (i % 10 == 0)
            handleZoneDigests(RotationState::In, checkReadiness);
        sendToFullTargets(i);
        const auto *refuse = findAction<Refuse>();
        rejections += refuse && refuse->isOverShare ? 1 : 0;
        // Until then the workspace isn't known to be over its share.
        if (i >= 200)
            handle(TrafficThreadReport {100ms, 10, 0, {{hash32("key"), 5}}});
        advanceTime(10ms);
        checkReadiness();
        ASSERT_TRUE(isReady) << "after " << 10 * i << " ms";
    }
    EXPECT_GT(rejections, 100U);
}

// Guards against a node that closes its callers' connections when it leaves the rotation for
// overload, against one that leaves though others of its zone have left or go first, and against
// one that enters it again during a planned stop.
TEST_F(BalancerCoreTest, OverloadedNodeLeavesTheRotationAndKeepsItsConnections)
{
    leavesRotationOnOverload = true;
    createCore();
    installCatalog();
    installTargets({"t1"});
    const auto play = [&](int periods, std::uint64_t shed, RotationState firstPeer) {
        std::vector<Readiness> changes;
        const auto collect = [&] {
            if (const auto *change = findAction<Readiness>())
                changes.push_back(*change);
        };
        for (int i = 0; i < periods; ++i) {
            handleZoneDigests(firstPeer, collect);
            handle(TrafficThreadReport {100ms, 10, 0, {{7, shed}}});
            collect();
            advanceTime(100ms);
            collect();
        }
        return changes;
    };
    EXPECT_TRUE(play(30, 200, RotationState::Out).empty());
    EXPECT_TRUE(play(30, 200, RotationState::AboutToLeave).empty());
    const auto left = play(20, 200, RotationState::In);
    ASSERT_EQ(left.size(), 1U);
    EXPECT_FALSE(left.front().isReady);
    EXPECT_TRUE(left.front().keepsConnections);
    const auto returned = play(40, 0, RotationState::In);
    ASSERT_EQ(returned.size(), 1U);
    EXPECT_TRUE(returned.front().isReady);
    ASSERT_EQ(play(20, 200, RotationState::In).size(), 1U);
    handle(LeaveOrdered {"operator"});
    ASSERT_TRUE(findAction<Readiness>());
    EXPECT_FALSE(findAction<Readiness>()->isReady);
    EXPECT_FALSE(findAction<Readiness>()->keepsConnections);
    EXPECT_TRUE(play(25, 200, RotationState::In).empty());
}
