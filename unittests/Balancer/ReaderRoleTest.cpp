// Which nodes read the platform's state, and that the others are not left behind.
#include "BalancerFixture.h"

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

class ReaderRoleTest : public test::BalancerFixture
{
protected:
    void hear(const char *node, bool isReading, std::uint64_t directoryRevision = 0)
    {
        LoadDigest digest;
        digest.zone = "a";
        digest.address = "10.0.0.2";
        digest.port = 7400;
        digest.isReading = isReading;
        digest.directoryRevision = directoryRevision;
        digest.catalogVersion = directoryRevision > 0 ? 1 : 0;
        handle(NodeMessage {NodeId(node), 1, BalancerMessage(digest)});
        noteOrders();
    }

    /// Lets time pass while the named nodes go on talking.
    void passHearing(Duration time, const std::vector<const char *> &readers)
    {
        for (Duration gone {0}; gone < time; gone += 100ms) {
            pass(100ms);
            noteOrders();
            for (const char *reader : readers)
                hear(reader, true);
        }
    }

    void noteOrders()
    {
        for (const Action &action : actions) {
            if (const auto *watch = std::get_if<WatchPlatform>(&action))
                reads = watch->isOn;
        }
    }

    bool reads = false; ///< By the orders so far.
};

} // namespace

// A new node knows nothing, and a peer tells of a state. The peer's answer comes sooner than the
// platform's turn; where it doesn't, as behind a cut in one direction, the node reads by itself.
TEST_F(ReaderRoleTest, ANewNodeGivesAPeerThatKnowsAMomentFirst)
{
    hear("m1", true, 1);
    passHearing(600ms, {"m1"});
    EXPECT_FALSE(reads);
    passHearing(200ms, {"m1"});
    EXPECT_TRUE(reads);
}

// All nodes were killed and start again, and callers come at once. Waiting for peers that know as
// little would turn them all away for as long: the node reads the platform in its first period.
TEST_F(ReaderRoleTest, ANewNodeAmongOthersThatKnowNothingReadsAtOnce)
{
    hear("m1", false, 0);
    passHearing(100ms, {});
    EXPECT_TRUE(reads);
}

// Every node of a large fleet watches the platform, which turns calls away beyond its rate. Two
// readers that precede a node are enough for its zone; when they fall silent it takes over.
TEST_F(ReaderRoleTest, TwoReadersOfAZoneAreEnough)
{
    giveCatalog();
    noteOrders(); // It reads from its first period on.
    giveTargets({"t1"});
    passHearing(1s, {});
    EXPECT_TRUE(reads);
    passHearing(3s, {"m1", "m2"});
    EXPECT_FALSE(reads);
    passHearing(5s, {});
    EXPECT_TRUE(reads);
}

// Peers hear this node not, as behind a cut in one direction: it hears of newer state, asks, and
// gets nothing. Callers would be sent to a target that has left. It reads by itself.
TEST_F(ReaderRoleTest, ANodeThatStaysBehindReadsByItself)
{
    giveCatalog();
    giveTargets({"t1"});
    passHearing(1s, {});
    passHearing(3s, {"m1", "m2"});
    ASSERT_FALSE(reads);
    hear("m1", true, revision + 1);
    passHearing(500ms, {"m1", "m2"});
    EXPECT_FALSE(reads);
    passHearing(300ms, {"m1", "m2"});
    EXPECT_TRUE(reads);
}

// The platform falls silent for all readers. A node further back in its zone waits before it calls
// too, so that an outage is not met by calls of the whole fleet.
TEST_F(ReaderRoleTest, NodesFurtherBackWaitLongerInAnOutage)
{
    giveCatalog();
    giveTargets({"t1"});
    passHearing(1s, {});
    passHearing(3s, {"m1", "m2", "m3"});
    ASSERT_FALSE(reads);
    for (int i = 0; i < 8; ++i) {
        pass(100ms);
        noteOrders();
        for (const char *node : {"m1", "m2", "m3"})
            hear(node, false);
    }
    EXPECT_FALSE(reads);
    for (int i = 0; i < 4; ++i) {
        pass(100ms);
        noteOrders();
    }
    EXPECT_TRUE(reads);
}
