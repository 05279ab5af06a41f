#include "berylridge/Catalog/TargetDirectory.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

constexpr Duration window = 10s;

class VersionHistoryTest : public testing::Test
{
protected:
    static TargetRecord target(const std::string &id, const std::string &version)
    {
        TargetRecord record;
        record.id = id;
        record.service = "s";
        record.softwareVersion = version;
        return record;
    }

    /// Reads a listing.
    void list(std::vector<TargetRecord> targets) { read(std::move(targets), true); }

    /// Reads a change of single targets.
    void watch(std::vector<TargetRecord> targets) { read(std::move(targets), false); }

    void read(std::vector<TargetRecord> targets, bool isListing)
    {
        DirectoryUpdate update;
        update.revision = ++revision;
        update.isFullSnapshot = isListing;
        for (TargetRecord &record : targets)
            record.revision = revision;
        update.targets = std::move(targets);
        directory.apply(update, clock.now());
        directory.onPlatformRead(update, clock.now());
    }

    static TargetRecord removal(const std::string &id)
    {
        TargetRecord record;
        record.id = id;
        record.isRemoved = true;
        return record;
    }

    std::optional<VersionKey> onlyVersion() const
    {
        return directory.versions().onlyVersion("s", window, clock.now());
    }

    ManualClock clock;
    TargetDirectory directory;
    std::uint64_t revision = 0;
};

} // namespace

// Guards against a directory that has just been loaded and doesn't tell which versions served
// before.
TEST_F(VersionHistoryTest, OnlyVersionIsKnownAfterTheWindow)
{
    list({target("t1", "v1"), target("t2", "v1")});
    EXPECT_FALSE(onlyVersion());
    clock.advance(window);
    EXPECT_EQ(onlyVersion(), versionKeyOf(target("t1", "v1")));
}

// Guards against a version that is forgotten while nodes behind a network partition still use
// targets of it whose entries have lapsed.
TEST_F(VersionHistoryTest, VersionIsRememberedForLongAfterItsLastTarget)
{
    list({target("t1", "v1"), target("t2", "v2")});
    clock.advance(2 * window);
    EXPECT_FALSE(onlyVersion());
    watch({removal("t1")});
    clock.advance(VersionHistory::maxWindow);
    EXPECT_FALSE(onlyVersion());
    clock.advance(1s);
    EXPECT_EQ(onlyVersion(), versionKeyOf(target("t2", "v2")));
}

// Guards against a target that restarts under its id with another version.
TEST_F(VersionHistoryTest, RestartWithAnotherVersionIsCounted)
{
    list({target("t1", "v1")});
    clock.advance(2 * window);
    watch({target("t1", "v2")});
    EXPECT_FALSE(onlyVersion());
    clock.advance(VersionHistory::maxWindow + 1s);
    EXPECT_EQ(onlyVersion(), versionKeyOf(target("t1", "v2")));
}

// Guards against a version that is missed because a peer's newer record of its target came before
// the change at which this node would have learned of it.
TEST_F(VersionHistoryTest, VersionIsKnownAlthoughARelayOvertookIt)
{
    list({target("t1", "v1"), target("t2", "v1")});
    clock.advance(2 * window);
    DirectoryUpdate relay;
    relay.revision = 30;
    relay.targets = {target("t1", "v2")};
    relay.targets[0].revision = 30;
    relay.targets[0].isRemoved = true;
    directory.apply(relay, clock.now());
    EXPECT_FALSE(onlyVersion());
}

// Guards against the same where the peer's record has no version.
TEST_F(VersionHistoryTest, VersionIsKnownAlthoughItsRecordCameLate)
{
    list({target("t1", "v1"), target("t2", "v1")});
    clock.advance(2 * window);
    DirectoryUpdate relay;
    relay.revision = 30;
    relay.targets = {removal("t1")};
    relay.targets[0].revision = 30;
    directory.apply(relay, clock.now());
    EXPECT_TRUE(onlyVersion());
    watch({target("t1", "v2")});
    EXPECT_FALSE(onlyVersion());
}

// Guards against a version that seems to be gone because a peer reports former targets of it.
TEST_F(VersionHistoryTest, RemovedTargetsOfAPeerLeaveTheListedOnesCounted)
{
    DirectoryUpdate relay;
    relay.revision = 10;
    relay.isFullSnapshot = true;
    relay.targets = {target("t1", "v1"), target("t2", "v2"), target("t3", "v2")};
    for (TargetRecord &record : relay.targets)
        record.revision = 10;
    relay.targets[2].isRemoved = true;
    directory.apply(relay, clock.now());
    DirectoryUpdate listing = relay;
    listing.revision = 11;
    listing.targets.pop_back();
    directory.apply(listing, clock.now());
    directory.onPlatformRead(listing, clock.now());
    clock.advance(2 * window);
    EXPECT_FALSE(onlyVersion());
}

// Guards against a version that was listed and removed before a listing, which doesn't show it.
TEST_F(VersionHistoryTest, AnotherListingForgetsWhatWasKnown)
{
    list({target("t1", "v1")});
    clock.advance(2 * window);
    EXPECT_TRUE(onlyVersion());
    list({target("t1", "v1")});
    EXPECT_FALSE(onlyVersion());
    clock.advance(window);
    EXPECT_TRUE(onlyVersion());
    --revision; // A listing at the revision that was read last.
    list({target("t1", "v1")});
    EXPECT_TRUE(onlyVersion());
}

// Guards against a node that doesn't read the platform and misses what peers don't tell.
TEST_F(VersionHistoryTest, OnlyOwnReadsTellTheOnlyVersion)
{
    list({target("t1", "v1")});
    clock.advance(2 * window);
    directory.onPlatformReadingEnded();
    EXPECT_FALSE(onlyVersion());
    EXPECT_EQ(directory.versions().readRevision(), 0U);
}

// Guards against two targets without a version that count as equal.
TEST_F(VersionHistoryTest, UnknownVersionsDiffer)
{
    TargetRecord restarted = target("t1", "");
    restarted.startedAtMs = 1;
    EXPECT_NE(versionKeyOf(target("t1", "")), versionKeyOf(target("t2", "")));
    EXPECT_NE(versionKeyOf(target("t1", "")), versionKeyOf(restarted));
    EXPECT_EQ(versionKeyOf(target("t1", "v1")), versionKeyOf(target("t2", "v1")));
}
