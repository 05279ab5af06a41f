// Which nodes read the platform's state, and that the others are not left behind.
#include "BalancerFixture.h"

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

class ReaderRoleTest : public test::BalancerFixture
{
protected:
    void receiveDigest(const char *node, bool isReading, std::uint64_t directoryRevision = 0)
    {
        LoadDigest digest;
        digest.zone = "a";
        digest.address = "10.0.0.2";
        digest.port = 7400;
        digest.isReading = isReading;
        digest.directoryRevision = directoryRevision;
        digest.catalogVersion = directoryRevision > 0 ? 1 : 0;
        handle(NodeMessage {NodeId(node), 1, BalancerMessage(digest)});
        recordWatchActions();
    }

    /// Lets time advanceTime while the named nodes go on talking.
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

    bool isWatching = false; ///< By the orders so far.
};

} // namespace

// A new node knows nothing, and a peer tells of a state. The peer's answer comes sooner than the
// platform's turn; where it doesn't, as behind a cut in one direction, the node isWatching by
// itself.
TEST_F(ReaderRoleTest, NewNodeWaitsForStateFromAPeer)
{
    receiveDigest("m1", true, 1);
    advanceWithReaders(600ms, {"m1"});
    EXPECT_FALSE(isWatching);
    advanceWithReaders(200ms, {"m1"});
    EXPECT_TRUE(isWatching);
}

// All nodes were killed and start again, and callers come at once. Waiting for peers that know as
// little would turn them all away for as long: the node isWatching the platform in its first
// period.
TEST_F(ReaderRoleTest, NewNodeReadsAtOnceIfNoPeerHasState)
{
    receiveDigest("m1", false, 0);
    advanceWithReaders(100ms, {});
    EXPECT_TRUE(isWatching);
}

// Every node of a large fleet watches the platform, which turns calls away beyond its rate. Two
// readers that precede a node are enough for its zone; when they fall silent it takes over.
TEST_F(ReaderRoleTest, TwoReadersPerZoneAreEnough)
{
    installCatalog();
    recordWatchActions(); // It isWatching from its first period on.
    installTargets({"t1"});
    advanceWithReaders(1s, {});
    EXPECT_TRUE(isWatching);
    advanceWithReaders(3s, {"m1", "m2"});
    EXPECT_FALSE(isWatching);
    advanceWithReaders(5s, {});
    EXPECT_TRUE(isWatching);
}

// Peers receiveDigest this node not, as behind a cut in one direction: it hears of newer state,
// asks, and gets nothing. Callers would be sent to a target that has left. It isWatching by itself.
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

// The platform falls silent for all readers. A node further back in its zone waits before it calls
// too, so that an outage is not met by calls of the whole fleet.
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
