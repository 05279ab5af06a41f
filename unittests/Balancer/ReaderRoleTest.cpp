// Tests which nodes read the platform's state, and that the other nodes don't fall behind.
#include "BalancerFixture.h"

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

class ReaderRoleTest : public test::BalancerFixture
{
protected:
    void receiveDigest(const char *node, bool isReadingPlatform,
                       std::uint64_t directoryRevision = 0)
    {
        BalancerFixture::receiveDigest(node, "a", directoryRevision > 0 ? 1 : 0, directoryRevision,
                                       isReadingPlatform);
        recordWatchActions();
    }

    /// Advances the clock while the given nodes keep sending digests as readers.
    void advanceWithReaders(Duration time, const std::vector<const char *> &readers)
    {
        for (Duration elapsed {0}; elapsed < time; elapsed += 100ms) {
            advanceTime(100ms);
            recordWatchActions();
            for (const char *reader : readers)
                receiveDigest(reader, true);
        }
    }

    void recordWatchActions()
    {
        for (const Action &action : actions) {
            if (const auto *watch = std::get_if<WatchPlatform>(&action))
                isWatching = watch->isOn;
        }
    }

    bool isWatching = false; ///< Follows the latest WatchPlatform action.
};

} // namespace

// A new node has no state, and a peer reports to have one. The peer usually responds sooner than
// the platform. If it doesn't, for example because of a one-way network partition, the node must
// read from the platform itself.
TEST_F(ReaderRoleTest, NewNodeWaitsForStateFromAPeer)
{
    receiveDigest("m1", true, 1);
    advanceWithReaders(600ms, {"m1"});
    EXPECT_FALSE(isWatching);
    advanceWithReaders(200ms, {"m1"});
    EXPECT_TRUE(isWatching);
}

// All nodes were killed and restart, and callers arrive at once. Waiting for peers that have no
// state either would reject the callers for that time, so the node must read from the platform in
// its first period.
TEST_F(ReaderRoleTest, NewNodeReadsAtOnceIfNoPeerHasState)
{
    receiveDigest("m1", false, 0);
    advanceWithReaders(100ms, {});
    EXPECT_TRUE(isWatching);
}

// If every node of a large fleet watched the platform, the platform would reject calls beyond its
// rate limit. Two preceding readers are enough for a zone; when they fall silent, this node must
// take over.
TEST_F(ReaderRoleTest, TwoReadersPerZoneAreEnough)
{
    installCatalog();
    recordWatchActions(); // The node reads from its first period on.
    installTargets({"t1"});
    advanceWithReaders(1s, {});
    EXPECT_TRUE(isWatching);
    advanceWithReaders(3s, {"m1", "m2"});
    EXPECT_FALSE(isWatching);
    advanceWithReaders(5s, {});
    EXPECT_TRUE(isWatching);
}

// Peers don't receive this node's messages, for example because of a one-way network partition: it
// learns of newer state and requests it, but gets no response. Callers would be sent to a target
// that has shut down, so the node must read from the platform itself.
TEST_F(ReaderRoleTest, NodeThatStaysBehindStartsReading)
{
    installCatalog();
    installTargets({"t1"});
    advanceWithReaders(1s, {});
    advanceWithReaders(3s, {"m1", "m2"});
    ASSERT_FALSE(isWatching);
    receiveDigest("m1", true, revision + 1);
    advanceWithReaders(500ms, {"m1", "m2"});
    EXPECT_FALSE(isWatching);
    advanceWithReaders(300ms, {"m1", "m2"});
    EXPECT_TRUE(isWatching);
}

// The platform becomes unreachable for all readers. A node with a lower rank in its zone waits
// before it calls the platform, so that the whole fleet doesn't call it during an outage.
TEST_F(ReaderRoleTest, LowerRankedNodesWaitLongerInAnOutage)
{
    installCatalog();
    installTargets({"t1"});
    advanceWithReaders(1s, {});
    advanceWithReaders(3s, {"m1", "m2", "m3"});
    ASSERT_FALSE(isWatching);
    for (int i = 0; i < 8; ++i) {
        advanceTime(100ms);
        recordWatchActions();
        for (const char *node : {"m1", "m2", "m3"})
            receiveDigest(node, false);
    }
    EXPECT_FALSE(isWatching);
    for (int i = 0; i < 4; ++i) {
        advanceTime(100ms);
        recordWatchActions();
    }
    EXPECT_TRUE(isWatching);
}

// 195 nodes start at once, and each reads the platform's state itself: 6,000 calls in ten seconds.
TEST_F(ReaderRoleTest, StartingNodeAsksASeedInsteadOfThePlatform)
{
    createCore({{"10.0.0.9", 7400}, {"10.0.0.8", 7400}});
    advanceTime(100ms);
    recordWatchActions();
    EXPECT_FALSE(isWatching);
    ASSERT_EQ(sentMessages<StateRequest>().size(), 1U);
    const Endpoint first = sentMessages<StateRequest>()[0].first;
    advanceTime(100ms); // The first seed doesn't respond.
    recordWatchActions();
    EXPECT_FALSE(isWatching);
    ASSERT_EQ(sentMessages<StateRequest>().size(), 1U);
    EXPECT_NE(sentMessages<StateRequest>()[0].first, first);
    receiveDigest("s2", false); // The second one does, but doesn't know the state yet.
    advanceTime(200ms);
    recordWatchActions();
    EXPECT_FALSE(isWatching);
    EXPECT_TRUE(sentMessages<StateRequest>().empty());
    advanceTime(1s);
    recordWatchActions();
    EXPECT_TRUE(isWatching);
}

// All nodes were killed; the seeds are the first to read, so that callers are served at once.
TEST_F(ReaderRoleTest, SeedReadsAtOnceWhenItStarts)
{
    createCore({{"10.0.0.1", 7400}, {"10.0.0.8", 7400}});
    advanceTime(100ms);
    recordWatchActions();
    EXPECT_TRUE(isWatching);
}

// A node that has just received the state has heard of few others in its zone; if it took itself
// for one of the first, most nodes of a large zone would begin to read.
TEST_F(ReaderRoleTest, StartingNodeLearnsItsRankBeforeItReads)
{
    createCore({{"10.0.0.9", 7400}});
    advanceTime(200ms);
    installCatalog();
    installTargets({"t1"});
    advanceWithReaders(600ms, {});
    EXPECT_FALSE(isWatching);
    advanceWithReaders(2s, {});
    EXPECT_TRUE(isWatching);
}

// The directory changes ten times a second, so that a node always makes some progress, while its
// catalog remains old for seconds.
TEST_F(ReaderRoleTest, ProgressOfTheDirectoryDoesNotHideAnOldCatalog)
{
    installCatalog();
    installTargets({"t1"});
    advanceWithReaders(1s, {});
    advanceWithReaders(3s, {"m1", "m2"});
    ASSERT_FALSE(isWatching);
    for (int i = 0; i < 20 && !isWatching; ++i) {
        advanceWithReaders(100ms, {"m1", "m2"});
        BalancerFixture::receiveDigest("m1", "a", 2, revision + 1, true);
        installTargets({"t1"});
    }
    EXPECT_TRUE(isWatching);
}
