#include "berylridge/Catalog/TargetDirectory.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

TargetRecord recordOf(const char *id, std::uint64_t revision)
{
    TargetRecord record;
    record.id = id;
    record.revision = revision;
    record.service = "s";
    record.zone = "a";
    return record;
}

TargetRecord removalOf(const char *id, std::uint64_t revision)
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
    void apply(std::uint64_t revision, std::vector<TargetRecord> targets, bool isWhole = false,
               std::vector<ZoneRecord> zones = {})
    {
        DirectoryNews news;
        news.revision = revision;
        news.isWhole = isWhole;
        news.targets = std::move(targets);
        news.zones = std::move(zones);
        directory.apply(news, clock.now());
    }

    bool isUsable(const char *id) const
    {
        const auto *entry = directory.find(id);
        return entry && directory.isUsable(*entry, clock.now());
    }

    PausedClock clock;
    TargetDirectory directory;
};

} // namespace

// A node that was cut off passes on what it knew: a target that has left since must not come back.
TEST_F(TargetDirectoryTest, OlderWordNeverReturns)
{
    apply(5, {recordOf("t", 5)}, true);
    EXPECT_TRUE(isUsable("t"));
    apply(9, {removalOf("t", 9)});
    EXPECT_FALSE(isUsable("t"));
    apply(5, {recordOf("t", 5)});
    EXPECT_FALSE(isUsable("t"));
    EXPECT_EQ(directory.revision(), 9U);
}

TEST_F(TargetDirectoryTest, ADrainingTargetGetsNothingNew)
{
    TargetRecord draining = recordOf("t", 6);
    draining.isDraining = true;
    apply(5, {recordOf("t", 5)}, true);
    apply(6, {draining});
    EXPECT_FALSE(isUsable("t"));
}

// History was lost: the next listing is whole, and what it doesn't name is gone, but for entries
// that are newer than the listing.
TEST_F(TargetDirectoryTest, AWholeListingRemovesWhatItDoesNotName)
{
    apply(5, {recordOf("t", 5), recordOf("u", 4)}, true);
    apply(9, {recordOf("w", 9)});
    apply(8, {recordOf("u", 4)}, true);
    EXPECT_FALSE(isUsable("t"));
    EXPECT_TRUE(isUsable("u"));
    EXPECT_TRUE(isUsable("w"));
}

// The platform was away and entries lapsed meanwhile, though their targets live. They are used
// until the platform has had time to hear of them again; one that is missing then is gone.
TEST_F(TargetDirectoryTest, EntriesThatLapsedInAnOutageAreUsedForAMoment)
{
    TargetRecord draining = recordOf("leaving", 4);
    draining.isDraining = true;
    apply(5, {recordOf("t", 5), recordOf("u", 5), draining}, true);
    directory.onPlatformBack(clock.now());
    apply(7, {removalOf("t", 6), removalOf("u", 6), removalOf("leaving", 7)});
    EXPECT_TRUE(isUsable("t"));
    EXPECT_FALSE(isUsable("leaving"));
    clock.advance(1s);
    apply(8, {recordOf("u", 8)});
    clock.advance(TargetDirectory::lapseGrace);
    EXPECT_FALSE(isUsable("t"));
    EXPECT_TRUE(isUsable("u"));
}

TEST_F(TargetDirectoryTest, ARemovalOutsideOutagesCountsAtOnce)
{
    apply(5, {recordOf("t", 5)}, true);
    apply(6, {removalOf("t", 6)});
    EXPECT_FALSE(isUsable("t"));
}

TEST_F(TargetDirectoryTest, AZoneThatIsTakenOutGetsNothingUntilItIsTakenBack)
{
    apply(5, {recordOf("t", 5)}, true);
    apply(6, {}, false, {{"a", 6, true}});
    EXPECT_FALSE(isUsable("t"));
    apply(7, {}, false, {{"a", 7, false}});
    EXPECT_TRUE(isUsable("t"));
    apply(6, {}, false, {{"a", 6, true}});
    EXPECT_TRUE(isUsable("t"));
}

// A listing after lost history names no order for the zone any more: it was taken back meanwhile.
TEST_F(TargetDirectoryTest, AWholeListingTakesZonesBack)
{
    apply(5, {recordOf("t", 5)}, true, {{"a", 4, true}});
    EXPECT_FALSE(isUsable("t"));
    apply(9, {recordOf("t", 5)}, true);
    EXPECT_TRUE(isUsable("t"));
}

// A node that the platform turns away learns from another one, removals included.
TEST_F(TargetDirectoryTest, NewsForANodeThatLagsHasRemovals)
{
    apply(5, {recordOf("t", 5)}, true);
    TargetDirectory other;
    other.apply(directory.newsSince(0, clock.now()), clock.now());
    EXPECT_EQ(other.revision(), 5U);
    apply(8, {removalOf("t", 8), recordOf("u", 7)}, false, {{"b", 6, true}});
    other.apply(directory.newsSince(5, clock.now()), clock.now());
    EXPECT_FALSE(other.isUsable(*other.find("t"), clock.now()));
    EXPECT_TRUE(other.find("u"));
    EXPECT_TRUE(other.isZoneOut("b"));
}

TEST_F(TargetDirectoryTest, ColdnessRunsOut)
{
    TargetRecord cold = recordOf("t", 5);
    cold.coldLeftMs = 3000;
    apply(5, {cold}, true);
    EXPECT_TRUE(directory.isCold(*directory.find("t"), clock.now()));
    clock.advance(1s);
    EXPECT_EQ(directory.newsSince(0, clock.now()).targets.at(0).coldLeftMs, 2000U);
    clock.advance(2s);
    EXPECT_FALSE(directory.isCold(*directory.find("t"), clock.now()));
}

// A node that doesn't read the platform itself hears from a reader that an entry lapsed in an
// outage. Taken for gone at once, all its targets would be out of use until they are back.
TEST_F(TargetDirectoryTest, ARelayTellsOfEntriesThatMayBeWell)
{
    apply(5, {recordOf("t1", 5)}, true);
    TargetDirectory other;
    other.apply(directory.newsSince(0, clock.now()), clock.now());
    clock.advance(1s);
    directory.onPlatformBack(clock.now());
    apply(6, {removalOf("t1", 6)});
    other.apply(directory.newsSince(5, clock.now()), clock.now());
    const auto isUsableThere = [&] { return other.isUsable(*other.find("t1"), clock.now()); };
    EXPECT_TRUE(isUsableThere());
    clock.advance(TargetDirectory::lapseGrace);
    EXPECT_FALSE(isUsableThere());
}
