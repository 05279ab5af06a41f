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

/// Drops all messages between the zone and the other zones.
void partitionZone(KeyFleet &fleet, const std::string &zone)
{
    fleet.isLost = [zone](const FakeMessage &message) {
        return (zoneOf(message.from.node) == zone) != (zoneOf(message.to) == zone);
    };
}

} // namespace

// Guards against a new fleet that refuses all callers' keys: no operator names witnesses, so the
// nodes must agree on them from the VM list alone.
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

// A caller receives no response in time and repeats the request through another router while the
// first router runs it. The second router must return the first one's response and not run the
// operation again.
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

// The router that runs a key terminates. A repeated request must be refused with MayHaveRun at once
// and permanently because no process knows the outcome.
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

// A request is abandoned in the queue before it is dispatched, and the response states that it has
// not run. Another router must be able to run the same key.
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

// The releases of an abandoned key are lost. If the next claimant did not query the holder,
// witnesses would refuse the key for its whole lifetime although it never ran.
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

// A zone is partitioned from the others. Its routers cannot know whether the majority has run a
// caller's key, so they must refuse it at once, while the majority admits it.
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

// Callers in a partitioned zone use keys issued by the zone's own nodes, which must be admitted. A
// repeated request through another router of the zone queries the issuer; a router outside cannot
// reach the issuer and must refuse the key.
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

// An issuer that restarts has lost the record of which keys it ran. Its new incarnation must not
// admit them.
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

// Two of three zones are lost. After the VM list omits them, the remaining zone must admit callers'
// keys again without operator action.
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
    // The lost zones may have run the early key, and the new witnesses have no record of its time.
    fleet.begin("c1", early);
    fleet.run(std::chrono::seconds(3));
    ASSERT_NE(fleet.lastDecision<KeyRefused>(), nullptr);
    EXPECT_EQ(fleet.lastDecision<KeyRefused>()->verdict, Verdict::MayHaveRun);
}

// A rolling update restarts every process. Each key must run once or be refused, whenever it was
// created, and new keys must be admitted throughout.
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

// A witness terminates while its VM stays in the list. Only nodes of its own zone probe it, so they
// must report the termination to the proposer in another zone. Otherwise the terminated node would
// remain a witness permanently.
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

// A router is paused just after a key was admitted and resumes one key lifetime later. Its
// witnesses have dropped the admission, so it must not dispatch the key.
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
