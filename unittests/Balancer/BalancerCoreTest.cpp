// The balancer as a whole: events in, actions out, under a paused clock.
#include "BalancerFixture.h"

#include <set>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

class BalancerCoreTest : public test::BalancerFixture
{
};

} // namespace

// A node that knows no configuration can't tell what is allowed: it says 503, not 404.
TEST_F(BalancerCoreTest, BeforeACatalogRequestsAreToldToComeBack)
{
    ask("/read/1");
    ASSERT_TRUE(find<Refuse>());
    EXPECT_EQ(find<Refuse>()->status, 503U);
    EXPECT_TRUE(find<Refuse>()->retryAfter);
    EXPECT_EQ(find<Refuse>()->verdict, Verdict::NotRun);
}

TEST_F(BalancerCoreTest, ReadyOnceCatalogAndTargetsAreKnown)
{
    giveCatalog();
    EXPECT_FALSE(find<Readiness>());
    giveTargets({"t1"});
    ASSERT_TRUE(find<Readiness>());
    EXPECT_TRUE(find<Readiness>()->isReady);
}

TEST_F(BalancerCoreTest, RoutesAndCredentialsAreChecked)
{
    giveCatalog();
    giveTargets({"t1"});
    ask("/nothing/1");
    EXPECT_EQ(find<Refuse>()->status, 404U);
    ask("/read/1", "stolen");
    EXPECT_EQ(find<Refuse>()->status, 401U);
    ask("/read/1");
    ASSERT_TRUE(find<Dispatch>());
    EXPECT_EQ(find<Dispatch>()->workspace, WorkspaceId("potters"));
    EXPECT_EQ(find<Dispatch>()->timeLeft, Duration(4s));
}

// An older configuration comes in late, from a node that was cut off. It must not return.
TEST_F(BalancerCoreTest, AnOlderCatalogNeverReturns)
{
    giveCatalog(7);
    giveTargets({"t1"});
    Catalog old;
    old.version = 6;
    handle(NodeMessage {NodeId("n2"), 1, BalancerMessage(CatalogNews {old})});
    ask("/read/1");
    EXPECT_TRUE(find<Dispatch>());
}

// A purchase was sent and its connection broke. It may have run: no second target gets it, and the
// caller isn't told that it has not run.
TEST_F(BalancerCoreTest, APurchaseThatMayHaveRunIsNotRepeated)
{
    giveCatalog();
    giveTargets({"t1", "t2"});
    ask("/buy/1");
    const Dispatch sent = *find<Dispatch>();
    handle(failure(sent, AttemptFailure::Reset));
    EXPECT_FALSE(find<Dispatch>());
    ASSERT_TRUE(find<Refuse>());
    EXPECT_EQ(find<Refuse>()->status, 502U);
    EXPECT_EQ(find<Refuse>()->verdict, Verdict::MayHaveRun);
}

TEST_F(BalancerCoreTest, APurchaseThatNeverLeftGoesElsewhere)
{
    giveCatalog();
    giveTargets({"t1", "t2"});
    ask("/buy/1");
    const Dispatch sent = *find<Dispatch>();
    handle(failure(sent, AttemptFailure::ConnectRefused, false));
    ASSERT_TRUE(find<Dispatch>());
    EXPECT_NE(find<Dispatch>()->target, sent.target);
}

// The only target says that it has not run the purchase: so does the answer.
TEST_F(BalancerCoreTest, ARefusalByTheTargetIsARefusal)
{
    giveCatalog();
    giveTargets({"t1"});
    ask("/buy/1");
    handle(failure(*find<Dispatch>(), AttemptFailure::NotRun));
    ASSERT_TRUE(find<Refuse>());
    EXPECT_EQ(find<Refuse>()->status, 503U);
    EXPECT_EQ(find<Refuse>()->verdict, Verdict::NotRun);
}

// A lookup fails at its first target and is repeated once; the second failure is passed on.
TEST_F(BalancerCoreTest, ALookupIsRepeatedWithinItsAttempts)
{
    giveCatalog();
    giveTargets({"t1", "t2", "t3"});
    ask("/read/1");
    const Dispatch first = *find<Dispatch>();
    handle(failure(first, AttemptFailure::TargetError));
    ASSERT_TRUE(find<Dispatch>());
    const Dispatch second = *find<Dispatch>();
    EXPECT_NE(first.target, second.target);
    AttemptFailed again = failure(second, AttemptFailure::TargetError);
    again.holdsAnswer = true;
    handle(again);
    EXPECT_FALSE(find<Dispatch>());
    EXPECT_TRUE(find<PassAnswer>());
}

// Every target fails everything: repeats end at the fleet's budget, not at two for each request.
TEST_F(BalancerCoreTest, RepeatsEndAtTheBudget)
{
    giveCatalog();
    giveTargets({"t1", "t2", "t3"});
    int repeats = 0;
    for (int i = 0; i < 200; ++i) {
        ask("/read/" + std::to_string(i));
        const auto *first = find<Dispatch>();
        if (!first)
            continue;
        handle(failure(*first, AttemptFailure::BadAnswer));
        if (const auto *second = find<Dispatch>()) {
            ++repeats;
            handle(failure(*second, AttemptFailure::BadAnswer));
        }
    }
    EXPECT_GT(repeats, 5);
    EXPECT_LE(repeats, 30); // 0.1 of 200 and half of the slack of 10.
}

// One request ends each target that runs it, and its caller sends it again. After two targets it is
// refused here.
TEST_F(BalancerCoreTest, ARequestThatCrashesTargetsIsRefusedAfterTwo)
{
    giveCatalog();
    giveTargets({"t1", "t2", "t3"});
    body = 77;
    ask("/buy/1");
    handle(failure(*find<Dispatch>(), AttemptFailure::Reset));
    ask("/buy/1");
    ASSERT_TRUE(find<Dispatch>());
    const Dispatch second = *find<Dispatch>();
    handle(failure(second, AttemptFailure::Reset));
    ask("/buy/1");
    EXPECT_FALSE(find<Dispatch>());
    EXPECT_EQ(find<Refuse>()->type, "crashing-request");
}

// Its caller has left: the target must stop working on it at once.
TEST_F(BalancerCoreTest, ALeavingCallerEndsTheAttempt)
{
    giveCatalog();
    giveTargets({"t1"});
    ask("/read/1");
    const Dispatch sent = *find<Dispatch>();
    handle(CallerGone {sent.handle});
    ASSERT_TRUE(find<AbortAttempt>());
    handle(failure(sent, AttemptFailure::Reset));
    EXPECT_TRUE(actions.empty());
}

// A stream breaks in its middle; the route lets it go on at another target.
TEST_F(BalancerCoreTest, AStreamIsResumedElsewhereOnce)
{
    giveCatalog();
    giveTargets({"t1", "t2", "t3"});
    ask("/stream/1");
    const Dispatch first = *find<Dispatch>();
    handle(AttemptHead {first.handle, first.attempt, 200, ""});
    AttemptFailed cut = failure(first, AttemptFailure::CutShort);
    cut.answerBegun = true;
    handle(cut);
    ASSERT_TRUE(find<Dispatch>());
    EXPECT_TRUE(find<Dispatch>()->isResumed);
    AttemptFailed again = failure(*find<Dispatch>(), AttemptFailure::CutShort);
    again.answerBegun = true;
    handle(again);
    EXPECT_FALSE(find<Dispatch>());
    EXPECT_TRUE(find<Refuse>());
}

// A target has just started and bears one request a second of each of two nodes.
TEST_F(BalancerCoreTest, AColdTargetGetsThisNodesPartOfItsRate)
{
    coldPerSecond = 4;
    coldLeftMs = 3000;
    giveCatalog();
    giveTargets({"t1"});
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
        ask("/read/" + std::to_string(i));
        sent += find<Dispatch>() ? 1 : 0;
        pass(10ms);
    }
    EXPECT_GE(sent, 2);
    EXPECT_LE(sent, 3); // Half of 4 a second, and one at once.
}

// All engines have more to read than can begin in time. The caller is told so at once, and to come
// back when the queue is shorter.
TEST_F(BalancerCoreTest, AFullFleetRefusesAtOnce)
{
    isEngine = true;
    giveCatalog();
    giveTargets({"t1"});
    int sent = 0;
    for (int i = 0; i < 50; ++i) {
        ask("/stream/" + std::to_string(i));
        sent += find<Dispatch>() ? 1 : 0;
    }
    EXPECT_GT(sent, 2);
    EXPECT_LT(sent, 15);
    ASSERT_TRUE(find<Refuse>());
    EXPECT_EQ(find<Refuse>()->verdict, Verdict::NotRun);
    ASSERT_TRUE(find<Refuse>()->retryAfter);
    EXPECT_LT(*find<Refuse>()->retryAfter, Duration(1s));
}

// The request's shared part lies at the target that read it before; the next one goes there too.
TEST_F(BalancerCoreTest, RequestsFollowTheirSharedPart)
{
    isEngine = true;
    giveCatalog();
    giveTargets({"t1", "t2", "t3", "t4"});
    std::set<TargetId> targets;
    for (int i = 0; i < 10; ++i) {
        ask("/stream/" + std::to_string(i));
        const Dispatch sent = *find<Dispatch>();
        targets.insert(sent.target);
        clock.advance(100ms);
        handle(AttemptHead {sent.handle, sent.attempt, 200, ""});
        handle(AttemptDone {sent.handle, sent.attempt, 200, "", 10, {}, {}});
    }
    EXPECT_EQ(targets.size(), 1U);
}

// Seventy nodes and a cold target. One request from each at the same moment would be four times
// what it bears, and it would fall over: only a few nodes send to it at all.
TEST_F(BalancerCoreTest, AFewNodesOfALargeFleetSendToAColdTarget)
{
    coldPerSecond = 16;
    coldLeftMs = 3000;
    giveCatalog();
    int sent = 0;
    for (int target = 0; target < 100; ++target) {
        const std::string id = "t" + std::to_string(target);
        giveTargets({id});
        for (int node = 0; node < 70; ++node) {
            LoadDigest digest;
            digest.zone = "b";
            handle(NodeMessage {NodeId("m" + std::to_string(node)), 1, BalancerMessage(digest)});
        }
        ask("/read/1");
        sent += find<Dispatch>() ? 1 : 0;
    }
    EXPECT_GT(sent, 3); // Eight of 71 nodes a target.
    EXPECT_LT(sent, 25);
}

// A planned stop: callers are still sent here for a while. A stream that began late would be cut at
// the end, so late ones are turned away, and the process ends in time whatever still runs.
TEST_F(BalancerCoreTest, APlannedStopServesOnThenTurnsAwayThenEnds)
{
    giveCatalog();
    giveTargets({"t1"});
    handle(LeaveOrdered {"SIGTERM"});
    ASSERT_TRUE(find<Readiness>());
    EXPECT_FALSE(find<Readiness>()->isReady);
    pass(2s);
    ask("/read/1");
    EXPECT_TRUE(find<Dispatch>());
    pass(1s);
    ask("/read/2");
    EXPECT_FALSE(find<Dispatch>());
    EXPECT_EQ(find<Refuse>()->type, "leaving");
    pass(5s);
    EXPECT_TRUE(find<Stopped>());
    EXPECT_TRUE(find<AbortAttempt>());
}

// The platform turns this node away. Another node's digest shows newer state, and it is asked.
TEST_F(BalancerCoreTest, NewerStateIsAskedOfPeers)
{
    LoadDigest digest;
    digest.zone = "b";
    digest.address = "10.0.0.2";
    digest.port = 7400;
    digest.catalogVersion = 3;
    handle(NodeMessage {NodeId("n2"), 1, BalancerMessage(digest)});
    const auto *sent = find<SendToNode>();
    ASSERT_TRUE(sent);
    const auto &message = std::get<BalancerMessage>(sent->message);
    EXPECT_TRUE(std::holds_alternative<StateRequest>(message)
                || std::holds_alternative<LoadDigest>(message));
    giveCatalog(4);
    giveTargets({"t1"});
    handle(NodeMessage {NodeId("n2"), 1, BalancerMessage(StateRequest {3, 0})});
    bool hasCatalog = false;
    for (const Action &action : actions) {
        if (const auto *out = std::get_if<SendToNode>(&action)) {
            const auto *relay = std::get_if<BalancerMessage>(&out->message);
            hasCatalog |= relay && std::holds_alternative<CatalogNews>(*relay);
        }
    }
    EXPECT_TRUE(hasCatalog);
}
