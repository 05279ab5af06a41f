#include "berylridge/Catalog/TargetDirectory.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

TargetRecord makeRecord(const char *id, std::uint64_t revision)
{
    TargetRecord record;
    record.id = id;
    record.revision = revision;
    record.service = "s";
    record.zone = "a";
    return record;
}

TargetRecord makeRemoval(const char *id, std::uint64_t revision)
{
    TargetRecord record;
    record.id = id;
    record.revision = revision;
    record.isRemoved = true;
    return record;
}

class TargetDirectoryTest : public testing::Test
{
protected:
    TargetDirectoryTest() { knowAnEarlierAnswer(directory); }

    void apply(std::uint64_t revision, std::vector<TargetRecord> targets,
               bool isFullSnapshot = false, std::vector<ZoneRecord> zones = {})
    {
        DirectoryUpdate update;
        update.revision = revision;
        update.isFullSnapshot = isFullSnapshot;
        update.targets = std::move(targets);
        update.zones = std::move(zones);
        directory.apply(update, clock.now());
    }

    /// The next answer is then the first one after an outage.
    void knowAnEarlierAnswer(TargetDirectory &known) const
    {
        known.onPlatformReported({10s, 20s}, clock.now());
    }

    bool isUsable(const char *id) const
    {
        const auto *entry = directory.find(id);
        return entry && directory.isUsable(*entry, clock.now());
    }

    ManualClock clock;
    TargetDirectory directory;
};

} // namespace

// A node that was partitioned relays old records. A target that was removed since must not return.
TEST_F(TargetDirectoryTest, OlderRevisionIsIgnored)
{
    apply(5, {makeRecord("t", 5)}, true);
    EXPECT_TRUE(isUsable("t"));
    apply(9, {makeRemoval("t", 9)});
    EXPECT_FALSE(isUsable("t"));
    apply(5, {makeRecord("t", 5)});
    EXPECT_FALSE(isUsable("t"));
    EXPECT_EQ(directory.revision(), 9U);
}

// Guards against a target that a starting node takes from a peer that lags, although the node's own
// listing no longer has it.
TEST_F(TargetDirectoryTest, OlderRecordOfAnUnlistedTargetIsIgnored)
{
    apply(22, {makeRecord("u", 5)}, true);
    apply(7, {makeRecord("t", 7)});
    EXPECT_FALSE(isUsable("t"));
    apply(7, {makeRecord("t", 7), makeRecord("u", 5)}, true);
    EXPECT_FALSE(isUsable("t"));
    EXPECT_TRUE(isUsable("u"));
    apply(23, {makeRecord("t", 23)});
    EXPECT_TRUE(isUsable("t"));
}

// Guards against the same for a zone whose evacuation has ended.
TEST_F(TargetDirectoryTest, OlderEvacuationOfAnUnlistedZoneIsIgnored)
{
    apply(22, {makeRecord("t", 5)}, true);
    apply(7, {}, false, {{"a", 7, true}});
    EXPECT_TRUE(isUsable("t"));
    apply(23, {}, false, {{"a", 23, true}});
    EXPECT_FALSE(isUsable("t"));
}

// Guards against a node that restarts while a peer is frozen, and takes the peer's late answer to
// its former process for the whole state.
TEST_F(TargetDirectoryTest, ChangesToAStateThatTheNodeLacksAreIgnored)
{
    apply(5, {makeRecord("t", 5)}, true);
    apply(6, {makeRecord("u", 6)});
    TargetDirectory restarted;
    EXPECT_FALSE(restarted.apply(directory.updateSince(5, clock.now()), clock.now()));
    EXPECT_EQ(restarted.revision(), 0U);
    EXPECT_TRUE(restarted.apply(directory.updateSince(0, clock.now()), clock.now()));
    EXPECT_EQ(restarted.entries().size(), 2U);
}

TEST_F(TargetDirectoryTest, DrainingTargetIsNotUsable)
{
    TargetRecord draining = makeRecord("t", 6);
    draining.isDraining = true;
    apply(5, {makeRecord("t", 5)}, true);
    apply(6, {draining});
    EXPECT_FALSE(isUsable("t"));
}

// The platform has lost its history, so its next listing is a full snapshot. Unlisted targets are
// removed unless their entries are newer than the snapshot.
TEST_F(TargetDirectoryTest, FullSnapshotRemovesUnlistedTargets)
{
    apply(5, {makeRecord("t", 5), makeRecord("u", 4)}, true);
    apply(9, {makeRecord("w", 9)});
    apply(8, {makeRecord("u", 4)}, true);
    EXPECT_FALSE(isUsable("t"));
    EXPECT_TRUE(isUsable("u"));
    EXPECT_TRUE(isUsable("w"));
}

// Entries lapsed during a platform outage although their targets are alive. They stay usable until
// the platform has had time to list them again; those still missing then are removed.
TEST_F(TargetDirectoryTest, EntriesLapsedInAnOutageStayUsableForTheGracePeriod)
{
    TargetRecord draining = makeRecord("leaving", 4);
    draining.isDraining = true;
    apply(5, {makeRecord("t", 5), makeRecord("u", 5), draining}, true);
    directory.onPlatformAnswered(clock.now());
    apply(7, {makeRemoval("t", 6), makeRemoval("u", 6), makeRemoval("leaving", 7)});
    EXPECT_TRUE(isUsable("t"));
    EXPECT_FALSE(isUsable("leaving"));
    clock.advance(1s);
    directory.onPlatformAnswered(clock.now());
    apply(8, {makeRecord("u", 8)});
    clock.advance(TargetDirectory::lapsedEntryGracePeriod);
    directory.onPlatformAnswered(clock.now());
    EXPECT_FALSE(isUsable("t"));
    EXPECT_TRUE(isUsable("u"));
}

TEST_F(TargetDirectoryTest, RemovalOutsideAnOutageAppliesAtOnce)
{
    apply(5, {makeRecord("t", 5)}, true);
    apply(6, {makeRemoval("t", 6)});
    EXPECT_FALSE(isUsable("t"));
}

// Guards against a node that takes its own start for the end of an outage.
TEST_F(TargetDirectoryTest, RemovalSoonAfterAStartIsNoLapse)
{
    TargetDirectory started;
    started.onPlatformAnswered(clock.now());
    started.apply({5, true, true, {makeRecord("t", 5)}, {}}, clock.now());
    started.apply({6, false, true, {makeRemoval("t", 6)}, {}}, clock.now());
    EXPECT_FALSE(started.isUsable(*started.find("t"), clock.now()));
}

TEST_F(TargetDirectoryTest, EvacuatedZoneIsUnusableUntilRestored)
{
    apply(5, {makeRecord("t", 5)}, true);
    apply(6, {}, false, {{"a", 6, true}});
    EXPECT_FALSE(isUsable("t"));
    apply(7, {}, false, {{"a", 7, false}});
    EXPECT_TRUE(isUsable("t"));
    apply(6, {}, false, {{"a", 6, true}});
    EXPECT_TRUE(isUsable("t"));
}

// A full snapshot after lost history doesn't list the evacuated zone any more: it was restored in
// the meantime.
TEST_F(TargetDirectoryTest, FullSnapshotRestoresUnlistedZones)
{
    apply(5, {makeRecord("t", 5)}, true, {{"a", 4, true}});
    EXPECT_FALSE(isUsable("t"));
    apply(9, {makeRecord("t", 5)}, true);
    EXPECT_TRUE(isUsable("t"));
}

// A node whose calls the platform rejects receives updates from another node, including removals.
TEST_F(TargetDirectoryTest, UpdateForAStalePeerIncludesRemovals)
{
    apply(5, {makeRecord("t", 5)}, true);
    TargetDirectory other;
    knowAnEarlierAnswer(other);
    other.apply(directory.updateSince(0, clock.now()), clock.now());
    EXPECT_EQ(other.revision(), 5U);
    apply(8, {makeRemoval("t", 8), makeRecord("u", 7)}, false, {{"b", 6, true}});
    other.apply(directory.updateSince(5, clock.now()), clock.now());
    EXPECT_FALSE(other.isUsable(*other.find("t"), clock.now()));
    EXPECT_TRUE(other.find("u"));
    EXPECT_TRUE(other.isZoneEvacuated("b"));
}

TEST_F(TargetDirectoryTest, ColdStateExpires)
{
    TargetRecord cold = makeRecord("t", 5);
    cold.coldRemainingMs = 3000;
    apply(5, {cold}, true);
    EXPECT_TRUE(directory.isCold(*directory.find("t"), clock.now()));
    clock.advance(1s);
    EXPECT_EQ(directory.updateSince(0, clock.now()).targets.at(0).coldRemainingMs, 2000U);
    clock.advance(2s);
    EXPECT_FALSE(directory.isCold(*directory.find("t"), clock.now()));
}

// Guards against a log in which a node that uses a removed target can't be told from one that
// doesn't.
TEST_F(TargetDirectoryTest, ChangesTellForHowLongARemovedTargetIsStillUsed)
{
    apply(5, {makeRecord("t", 5), makeRecord("u", 5)}, true);
    TargetDirectory other;
    knowAnEarlierAnswer(other);
    other.apply(directory.updateSince(0, clock.now()), clock.now());
    apply(6, {makeRemoval("u", 6)});
    other.apply(directory.updateSince(5, clock.now()), clock.now());
    directory.onPlatformAnswered(clock.now());
    other.onPlatformAnswered(clock.now());
    directory.takeChanges();
    apply(7, {makeRemoval("t", 7)});
    clock.advance(100ms);
    other.apply(directory.updateSince(5, clock.now()), clock.now());
    const auto here = directory.takeChanges();
    ASSERT_EQ(here.size(), 1U);
    EXPECT_EQ(here[0].description, "lapsed");
    EXPECT_EQ(here[0].revision, 7U);
    EXPECT_EQ(here[0].usableFor, TargetDirectory::lapsedEntryGracePeriod);
    const auto there = other.takeChanges();
    ASSERT_EQ(there.size(), 4U); // The first two are the listings.
    EXPECT_EQ(there[2].description, "removed");
    EXPECT_FALSE(there[2].usableFor);
    EXPECT_EQ(there[3].description, "lapsed");
    EXPECT_EQ(there[3].usableFor, TargetDirectory::lapsedEntryGracePeriod - 100ms);
}

// Guards against a node that takes a departure for a lapse because the peer that relays it does.
TEST_F(TargetDirectoryTest, RelayedRemovalAppliesAtOnceWhereThePlatformIsKnownToBeUp)
{
    apply(5, {makeRecord("t1", 5)}, true);
    TargetDirectory other;
    knowAnEarlierAnswer(other);
    other.onPlatformAnswered(clock.now());
    other.apply(directory.updateSince(0, clock.now()), clock.now());
    clock.advance(TargetDirectory::lapsedEntryGracePeriod);
    other.onPlatformAnswered(clock.now());
    directory.onPlatformAnswered(clock.now());
    apply(6, {makeRemoval("t1", 6)});
    EXPECT_TRUE(isUsable("t1"));
    other.apply(directory.updateSince(5, clock.now()), clock.now());
    EXPECT_FALSE(other.isUsable(*other.find("t1"), clock.now()));
}

// Guards against a node that goes on using a target after a peer has told it that the platform was
// up all the while.
TEST_F(TargetDirectoryTest, LapsedEntryIsRemovedOnceThePlatformIsKnownToHaveBeenUp)
{
    apply(5, {makeRecord("t", 5), makeRecord("u", 5)}, true);
    clock.advance(10s);
    directory.onPlatformAnswered(clock.now());
    apply(6, {makeRemoval("t", 6)});
    EXPECT_TRUE(isUsable("t"));
    directory.takeChanges();
    directory.onPlatformReported({0s, 9s}, clock.now());
    EXPECT_FALSE(isUsable("t"));
    EXPECT_TRUE(isUsable("u"));
    const auto changes = directory.takeChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].description, "removed");
}

// Guards against requests to a target that left while no node read the platform.
TEST_F(TargetDirectoryTest, RemovalLearnedAfterATimeWithoutReadersIsADeparture)
{
    TargetDirectory other;
    other.onPlatformReadingEnded();
    other.onPlatformReported({1s, 20s}, clock.now());
    other.apply({5, true, true, {makeRecord("t", 5)}, {}}, clock.now());
    clock.advance(4s);
    other.onPlatformReadingStarted(clock.now());
    other.onPlatformAnswered(clock.now());
    other.apply({6, true, true, {}, {}}, clock.now());
    EXPECT_FALSE(other.isUsable(*other.find("t"), clock.now()));
}

// Guards against a fleet that loses its targets because the platform is down again before it could
// list them.
TEST_F(TargetDirectoryTest, LapsedEntriesOutlastASecondOutage)
{
    apply(5, {makeRecord("t", 5), makeRecord("u", 5)}, true);
    directory.onPlatformAnswered(clock.now());
    apply(7, {makeRemoval("t", 6), makeRemoval("u", 7)});
    clock.advance(3s);
    EXPECT_TRUE(isUsable("t"));
    directory.onPlatformAnswered(clock.now());
    apply(8, {makeRecord("u", 8)});
    clock.advance(1900ms);
    EXPECT_TRUE(isUsable("t"));
    directory.onPlatformAnswered(clock.now());
    clock.advance(200ms);
    EXPECT_FALSE(isUsable("t"));
    directory.onPlatformAnswered(clock.now());
    clock.advance(5s);
    EXPECT_FALSE(isUsable("t"));
    EXPECT_TRUE(isUsable("u"));
}

// Guards against a node that starts while entries have lapsed and knows no target until the
// platform lists them again.
TEST_F(TargetDirectoryTest, NewNodeUsesTargetsWhoseEntriesLapsed)
{
    apply(5, {makeRecord("t", 5), makeRecord("gone", 5)}, true);
    apply(6, {makeRemoval("gone", 6)});
    directory.onPlatformAnswered(clock.now());
    apply(7, {makeRemoval("t", 7)});
    TargetDirectory other;
    knowAnEarlierAnswer(other);
    other.onPlatformAnswered(clock.now());
    other.apply(directory.updateSince(0, clock.now()), clock.now());
    EXPECT_TRUE(other.isUsable(*other.find("t"), clock.now()));
    EXPECT_FALSE(other.isUsable(*other.find("gone"), clock.now()));
}

// A node that doesn't read the platform learns from a reader that an entry lapsed in an outage. If
// it removed such entries at once, all its targets would be unusable until the platform lists them
// again.
TEST_F(TargetDirectoryTest, RelayIncludesGraceOfLapsedEntries)
{
    apply(5, {makeRecord("t1", 5)}, true);
    TargetDirectory other;
    knowAnEarlierAnswer(other);
    other.apply(directory.updateSince(0, clock.now()), clock.now());
    clock.advance(1s);
    directory.onPlatformAnswered(clock.now());
    apply(6, {makeRemoval("t1", 6)});
    other.onPlatformAnswered(clock.now());
    other.apply(directory.updateSince(5, clock.now()), clock.now());
    const auto isUsableThere = [&] { return other.isUsable(*other.find("t1"), clock.now()); };
    EXPECT_TRUE(isUsableThere());
    clock.advance(TargetDirectory::lapsedEntryGracePeriod);
    other.onPlatformAnswered(clock.now());
    EXPECT_FALSE(isUsableThere());
}
