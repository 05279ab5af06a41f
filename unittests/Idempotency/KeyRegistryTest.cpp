#include "berylridge/Idempotency/KeyRegistry.h"

#include "Idempotency/KeyFleet.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace berylridge::test;

namespace {

constexpr Duration oneSecond = std::chrono::seconds(1);

std::string zoneOf(const NodeId &node)
{
    return node.str().substr(0, 1);
}

/// Cuts the zone off from the others.
void partitionZone(KeyFleet &fleet, const std::string &zone)
{
    fleet.isLost = [zone](const FakeMessage &message) {
        return (zoneOf(message.from.node) == zone) != (zoneOf(message.to) == zone);
    };
}

} // namespace

// A fleet comes up for the first time: no operator names witnesses. The nodes must agree on them by
// the VM list alone, or every purchase with a caller's own key would be refused.
TEST(KeyRegistry, FirstStartAgreesOnWitnessesFromVmListAlone)
{
    KeyFleet fleet = startNineNodes();
    for (const auto &[node, state] : fleet.nodes) {
        const Roster *roster = state->registry.rosters().lastActive();
        ASSERT_NE(roster, nullptr) << node;
        EXPECT_EQ(roster->members.size(), 9U) << node;
    }
    const std::string key = timestampedKey(fleet.wall());
    fleet.begin("b2", key);
    fleet.deliverAll();
    ASSERT_NE(fleet.lastDecision<KeyAdmitted>(), nullptr);
    EXPECT_TRUE(fleet.at("b2").mayDispatch(key, fleet.now(), fleet.wall()));
}

// The caller sends its purchase, gets no replayed in time, and sends it again through another
// router. The first one ran: the second must get its replayed and not run it again.
TEST(KeyRegistry, RepeatThroughAnotherRouterGetsStoredResponse)
{
    KeyFleet fleet = startNineNodes();
    const std::string key = timestampedKey(fleet.wall());
    fleet.begin("a1", key);
    fleet.deliverAll();
    fleet.at("a1").dispatched(key);
    fleet.begin("c3", key, 2);
    fleet.deliverAll();
    const auto *inProgress = fleet.lastDecision<KeyRefused>();
    ASSERT_NE(inProgress, nullptr);
    EXPECT_EQ(inProgress->status, 409U);
    EXPECT_EQ(inProgress->verdict, Verdict::MayHaveRun);
    EXPECT_TRUE(inProgress->retryAfter);

    fleet.at("a1").finished(key, 201, {{"Content-Type", "text/plain"}}, "bells");
    fleet.begin("c3", key, 3);
    fleet.deliverAll();
    const auto *replayed = fleet.lastDecision<KeyReplayed>();
    ASSERT_NE(replayed, nullptr);
    EXPECT_EQ(replayed->request, 3U);
    EXPECT_EQ(replayed->status, 201U);
    EXPECT_EQ(replayed->body, "bells");

    fleet.begin("c3", key, 4, 8);
    fleet.deliverAll();
    ASSERT_NE(fleet.lastDecision<KeyRefused>(), nullptr);
    EXPECT_EQ(fleet.lastDecision<KeyRefused>()->status, 422U);
    EXPECT_EQ(fleet.admissions(), 1U);
}

// The router that runs a purchase dies with it. The caller's repeat must learn that it may have
// run, at once and for good: nobody is left who knows.
TEST(KeyRegistry, TerminatedHolderYieldsMayHaveRun)
{
    KeyFleet fleet = startNineNodes();
    const std::string key = timestampedKey(fleet.wall());
    fleet.begin("a1", key);
    fleet.deliverAll();
    fleet.at("a1").dispatched(key);
    fleet.kill("a1");
    fleet.start("a1", "a");
    fleet.run(std::chrono::seconds(10));
    for (const std::string router : {"a1", "b1"}) {
        fleet.begin(router, key);
        fleet.run(oneSecond);
        const auto *refused = fleet.lastDecision<KeyRefused>();
        ASSERT_NE(refused, nullptr) << router;
        EXPECT_EQ(refused->type, "holder-gone") << router;
        EXPECT_EQ(refused->verdict, Verdict::MayHaveRun) << router;
    }
    EXPECT_EQ(fleet.admissions(), 1U);
}

// A request is given up in the queue before it was dispatched: the caller is told "not run" and
// sends it again through another router, where it must be able to run.
TEST(KeyRegistry, ReleasedKeyRunsElsewhere)
{
    KeyFleet fleet = startNineNodes();
    const std::string key = timestampedKey(fleet.wall());
    fleet.begin("a1", key);
    fleet.deliverAll();
    EXPECT_EQ(fleet.release("a1", key), Verdict::NotRun);
    EXPECT_FALSE(fleet.at("a1").mayDispatch(key, fleet.now(), fleet.wall()));
    fleet.deliverAll();
    fleet.begin("b1", key);
    fleet.deliverAll();
    EXPECT_NE(fleet.lastDecision<KeyAdmitted>(), nullptr);
}

// The releases of a given-up key are lost. Without asking its holder, witnesses would refuse the
// key for its whole lifetime though it never ran.
TEST(KeyRegistry, LostReleaseIsRepairedByQueryingHolder)
{
    KeyFleet fleet = startNineNodes();
    const std::string key = timestampedKey(fleet.wall());
    fleet.begin("a1", key);
    fleet.deliverAll();
    EXPECT_EQ(fleet.release("a1", key), Verdict::NotRun);
    fleet.network.clear();
    fleet.begin("b1", key);
    fleet.run(oneSecond);
    EXPECT_NE(fleet.lastDecision<KeyAdmitted>(), nullptr);
}

// A zone is partitionZone off for an hour. Its routers can't know whether a caller's own key was
// run on the other side, so they refuse it at once; the other side has a majority and serves.
TEST(KeyRegistry, PartitionedZoneRefusesKeysThatMajorityAdmits)
{
    KeyFleet fleet = startNineNodes();
    partitionZone(fleet, "c");
    fleet.run(std::chrono::seconds(5));
    const std::string key = timestampedKey(fleet.wall());
    fleet.begin("c1", key);
    const auto *refused = fleet.lastDecision<KeyRefused>();
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->type, "witnesses-unreachable");
    EXPECT_EQ(refused->verdict, Verdict::MayHaveRun);
    fleet.begin("a1", key);
    fleet.deliverAll();
    EXPECT_NE(fleet.lastDecision<KeyAdmitted>(), nullptr);
}

// The same hour: callers of the partitionZone-off zone use keys that its own nodes issue, and are
// served. A repeat through another router of the zone asks the issuer; one outside can't reach it.
TEST(KeyRegistry, PartitionedZoneAdmitsKeysThatItIssued)
{
    KeyFleet fleet = startNineNodes();
    partitionZone(fleet, "c");
    fleet.run(std::chrono::seconds(5));
    const std::string key = scopedKey(ServiceId("shop"), WorkspaceId("w1"),
                                      fleet.at("c1").issueKey(fleet.now(), fleet.wall()));
    fleet.begin("c2", key);
    fleet.deliverAll();
    ASSERT_NE(fleet.lastDecision<KeyAdmitted>(), nullptr);
    fleet.at("c2").dispatched(key);
    fleet.begin("c1", key, 2);
    fleet.deliverAll();
    ASSERT_NE(fleet.lastDecision<KeyRefused>(), nullptr);
    EXPECT_EQ(fleet.lastDecision<KeyRefused>()->type, "key-in-use");
    fleet.begin("a1", key, 3);
    fleet.run(std::chrono::seconds(3));
    ASSERT_NE(fleet.lastDecision<KeyRefused>(), nullptr);
    EXPECT_EQ(fleet.lastDecision<KeyRefused>()->verdict, Verdict::MayHaveRun);
    EXPECT_EQ(fleet.admissions(), 1U);
}

// The issuer restarts and has forgotten which of its keys ran. Its new run must not admit them.
TEST(KeyRegistry, RestartedIssuerAdmitsNoneOfItsOldKeys)
{
    KeyFleet fleet = startNineNodes();
    const std::string key = scopedKey(ServiceId("shop"), WorkspaceId("w1"),
                                      fleet.at("c1").issueKey(fleet.now(), fleet.wall()));
    fleet.begin("c1", key);
    fleet.at("c1").dispatched(key);
    fleet.kill("c1");
    fleet.start("c1", "c");
    for (const std::string router : {"c1", "a1"}) {
        fleet.begin(router, key);
        fleet.run(std::chrono::seconds(3));
        ASSERT_NE(fleet.lastDecision<KeyRefused>(), nullptr);
        EXPECT_EQ(fleet.lastDecision<KeyRefused>()->verdict, Verdict::MayHaveRun);
    }
    EXPECT_EQ(fleet.admissions(), 1U);
}

// Two of three zones burn down. The VM list drops them; the third must then serve callers' keys
// again without anybody's doing.
TEST(KeyRegistry, VmListUpdateRestoresServiceAfterTwoLostZones)
{
    KeyFleet fleet = startNineNodes();
    for (const std::string zone : {"a", "b"}) {
        for (const std::string number : {"1", "2", "3"})
            fleet.loseVm(zone + number);
    }
    fleet.run(std::chrono::seconds(10));
    const std::string early = timestampedKey(fleet.wall());
    fleet.begin("c1", early);
    EXPECT_EQ(fleet.lastDecision<KeyRefused>()->verdict, Verdict::MayHaveRun);

    fleet.publishVmList({{"c1", "c"}, {"c2", "c"}, {"c3", "c"}});
    fleet.setListEverywhere();
    fleet.run(std::chrono::seconds(10));
    const std::string key = timestampedKey(fleet.wall());
    fleet.begin("c2", key);
    fleet.deliverAll();
    EXPECT_NE(fleet.lastDecision<KeyAdmitted>(), nullptr);
    // The lost zones may have run the early one: the new witnesses know nothing of its time.
    fleet.begin("c1", early);
    fleet.run(std::chrono::seconds(3));
    ASSERT_NE(fleet.lastDecision<KeyRefused>(), nullptr);
    EXPECT_EQ(fleet.lastDecision<KeyRefused>()->verdict, Verdict::MayHaveRun);
}

// A rolling update replaces every process. Keys made before, between and after must each run once
// or be refused; new keys are served all the time.
TEST(KeyRegistry, RollingRestartServesNewKeysThroughout)
{
    KeyFleet fleet = startNineNodes();
    const std::string first = timestampedKey(fleet.wall());
    fleet.begin("a2", first);
    fleet.deliverAll();
    fleet.at("a2").dispatched(first);
    const std::vector<std::string> names {"a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"};
    for (const std::string &name : names) {
        fleet.kill(name);
        fleet.run(oneSecond);
        fleet.start(name, name.substr(0, 1));
        fleet.run(std::chrono::seconds(6));
        const std::string key = timestampedKey(fleet.wall());
        const auto before = fleet.admissions();
        fleet.begin(name, key);
        fleet.deliverAll();
        EXPECT_EQ(fleet.admissions(), before + 1) << name;
        fleet.begin("c2", key, 2);
        fleet.run(oneSecond);
        EXPECT_EQ(fleet.admissions(), before + 1) << name;
    }
    fleet.begin("b1", first, 3);
    fleet.run(std::chrono::seconds(3));
    ASSERT_NE(fleet.lastDecision<KeyRefused>(), nullptr);
    EXPECT_EQ(fleet.lastDecision<KeyRefused>()->verdict, Verdict::MayHaveRun);
}

// A witness dies and its VM stays in the list. Only nodes of its own zone probe it, and the node
// that proposes rosters sits in another zone: the proof must reach it, or the dead one would stay a
// witness for ever.
TEST(KeyRegistry, TerminatedWitnessIsReportedToProposer)
{
    KeyFleet fleet = startNineNodes();
    fleet.kill("c2");
    fleet.reportTerminated("c1");
    fleet.run(std::chrono::seconds(10));
    const Roster *roster = fleet.at("a1").rosters().lastActive();
    ASSERT_NE(roster, nullptr);
    EXPECT_EQ(roster->members.size(), 8U);
}

// A router is paused just after its key was admitted, and wakes a lifetime later. Its witnesses
// have forgotten the admission, so it must not act on it.
TEST(KeyRegistry, PausedRouterDoesNotDispatchExpiredAdmission)
{
    KeyFleet fleet = startNineNodes();
    const std::string key = timestampedKey(fleet.wall());
    fleet.begin("a1", key);
    fleet.deliverAll();
    ASSERT_TRUE(fleet.at("a1").mayDispatch(key, fleet.now(), fleet.wall()));
    fleet.advanceClock(std::chrono::hours(1) + oneSecond);
    EXPECT_FALSE(fleet.at("a1").mayDispatch(key, fleet.now(), fleet.wall()));
}
