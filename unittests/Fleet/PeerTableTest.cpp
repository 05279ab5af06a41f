#include "berylridge/Fleet/PeerTable.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

LoadDigest digestOf(const std::string &zone, const std::string &address)
{
    LoadDigest digest;
    digest.zone = zone;
    digest.address = address;
    digest.port = 7400;
    return digest;
}

class PeerTableTest : public testing::Test
{
protected:
    bool receiveDigest(const char *node, const std::string &zone, Incarnation incarnation = 1)
    {
        return peers.onMessageReceived(NodeId(node), incarnation,
                                       digestOf(zone, std::string("10.0.0.") + (node + 1)),
                                       clock.now());
    }

    ManualClock clock;
    PeerTable peers {
        {NodeId("n1"), ZoneId("a"), {"10.0.0.1", 7400}, {{"10.0.0.1", 7400}, {"10.0.0.9", 7400}}}};
};

} // namespace

// All that a new node knows are a few addresses, of which one is its own and one may be stale.
TEST_F(PeerTableTest, SeedsReceiveDigestsUntilTheyAreKnown)
{
    const auto receivers = peers.nextReceivers(clock.now());
    ASSERT_EQ(receivers.size(), 1U);
    EXPECT_EQ(receivers[0].second, (Endpoint {"10.0.0.9", 7400}));
    receiveDigest("n9", "b");
    EXPECT_EQ(peers.nextReceivers(clock.now()).size(), 1U);
    EXPECT_EQ(peers.nextReceivers(clock.now())[0].first, NodeId("n9"));
}

TEST_F(PeerTableTest, NodesDiscoverEachOtherThroughPeerLists)
{
    LoadDigest digest = digestOf("b", "10.0.0.9");
    digest.peers = {{"n5", "c", "10.0.0.5", 7400}, {"n1", "a", "10.0.0.1", 7400}};
    peers.onMessageReceived(NodeId("n9"), 1, digest, clock.now());
    EXPECT_EQ(peers.nextReceivers(clock.now()).size(), 2U);
    EXPECT_EQ(peers.liveCount(clock.now()), 2U); // Heard, not only named: this node and n9.
    receiveDigest("n5", "c");
    EXPECT_EQ(peers.liveCount(clock.now()), 3U);
}

// A process is killed and comes back; a datagram of its earlier run arrives after one of the new.
TEST_F(PeerTableTest, DigestOfEarlierIncarnationIsIgnored)
{
    EXPECT_TRUE(receiveDigest("n5", "b", 7));
    EXPECT_FALSE(receiveDigest("n5", "b", 6));
}

// Behind a partition a node may still use its part of a fleet-wide limit, so it counts on for
// longer than it counts as liveCount. One that heard nobody must not take the whole limit.
TEST_F(PeerTableTest, SilentNodesKeepTheirShareOfLimits)
{
    EXPECT_EQ(peers.limitShareCount(clock.now()), 2U);
    receiveDigest("n5", "b");
    receiveDigest("n6", "b");
    clock.advance(5s);
    EXPECT_EQ(peers.liveCount(clock.now()), 1U);
    EXPECT_EQ(peers.limitShareCount(clock.now()), 3U);
    clock.advance(PeerTable::limitShareTimeout);
    EXPECT_EQ(peers.limitShareCount(clock.now()), 2U);
}

// A zone is cut off: all its nodes fall silent at once, long before attempts there time out.
TEST_F(PeerTableTest, ZoneIsSilentWhenAllItsNodesAre)
{
    receiveDigest("n5", "b");
    receiveDigest("n6", "b");
    EXPECT_FALSE(peers.isZoneSilent("b", clock.now()));
    clock.advance(800ms);
    EXPECT_TRUE(peers.isZoneSilent("b", clock.now()));
    EXPECT_FALSE(peers.isZoneSilent("a", clock.now()));
    EXPECT_FALSE(peers.isZoneSilent("never-heard-of", clock.now()));
    receiveDigest("n6", "b");
    EXPECT_FALSE(peers.isZoneSilent("b", clock.now()));
}

// This process stood still for seconds. It did not listen; nobody was silent.
TEST_F(PeerTableTest, ProcessPauseDoesNotMakePeersSilent)
{
    receiveDigest("n5", "b");
    clock.advance(4s);
    peers.onProcessResumed(4s);
    EXPECT_FALSE(peers.isZoneSilent("b", clock.now()));
    EXPECT_EQ(peers.liveCount(clock.now()), 2U);
}

// The cost of a node must not grow with the fleet.
TEST_F(PeerTableTest, DigestReceiversAreBounded)
{
    for (int i = 10; i < 100; ++i)
        receiveDigest(("n" + std::to_string(i)).c_str(), "b");
    EXPECT_LE(peers.nextReceivers(clock.now()).size(), PeerTable::fanOut + 1);
}

// Seventy peers, twelve receivers a period. What a node tells must reach each of them within a
// turn, or five nodes of six make targets read again what others keep.
TEST_F(PeerTableTest, EachPeerReceivesOneDigestPerRotation)
{
    for (int i = 100; i < 170; ++i)
        receiveDigest(("n" + std::to_string(i)).c_str(), "b");
    EXPECT_EQ(peers.periodsPerRotation(), 6U);
    std::set<NodeId> reached;
    for (unsigned period = 0; period < peers.periodsPerRotation(); ++period) {
        for (const auto &[node, endpoint] : peers.nextReceivers(clock.now()))
            reached.insert(node);
    }
    reached.erase(NodeId()); // A seed that is not known by name.
    EXPECT_EQ(reached.size(), 70U);
    std::set<std::string> listed;
    for (int i = 0; i < 5; ++i) {
        for (const PeerEntry &entry : peers.nextLiveEntries(16, clock.now()))
            listed.insert(entry.node);
    }
    EXPECT_EQ(listed.size(), 70U);
}
