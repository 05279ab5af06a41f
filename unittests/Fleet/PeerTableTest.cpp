#include "berylridge/Fleet/PeerTable.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <utility>
#include <vector>

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

// A new node only knows a few seed addresses, of which one is its own and one may be stale.
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
    EXPECT_EQ(peers.liveCount(clock.now()), 2U); // This node and n9; n5 is only listed.
    receiveDigest("n5", "c");
    EXPECT_EQ(peers.liveCount(clock.now()), 3U);
}

// A process is killed and restarted; a digest of its earlier incarnation arrives after one of the
// new incarnation.
TEST_F(PeerTableTest, DigestOfEarlierIncarnationIsIgnored)
{
    EXPECT_TRUE(receiveDigest("n5", "b", 7));
    EXPECT_FALSE(receiveDigest("n5", "b", 6));
}

// A node behind a partition may still use its share of a fleet-wide limit, so it is counted for
// limits longer than it counts as live. A node that has received no digest must not take the whole
// limit.
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

// If a zone is partitioned, all its nodes become silent at once, long before attempts there time
// out.
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

// After a pause of this process of several seconds, during which it received nothing, other nodes
// must not count as silent.
TEST_F(PeerTableTest, ProcessPauseDoesNotMakePeersSilent)
{
    receiveDigest("n5", "b");
    clock.advance(4s);
    peers.onProcessResumed(4s);
    EXPECT_FALSE(peers.isZoneSilent("b", clock.now()));
    EXPECT_EQ(peers.liveCount(clock.now()), 2U);
}

// The cost of sending digests must not grow with the fleet.
TEST_F(PeerTableTest, DigestReceiversAreBounded)
{
    for (int i = 10; i < 100; ++i) {
        receiveDigest(("n" + std::to_string(i)).c_str(), "b");
        receiveDigest(("m" + std::to_string(i)).c_str(), "a");
    }
    EXPECT_LE(peers.nextReceivers(clock.now()).size(), PeerTable::fanOut + 1);
    EXPECT_LE(peers.remoteReceivers(clock.wallNow()).size(), PeerTable::minRemoteFanOut);
}

// With 70 peers in its zone and 14 receivers per period, information must reach each peer within
// one rotation of 5 periods. Otherwise five of six nodes do not know which prompts other targets
// have cached and have them read again.
TEST_F(PeerTableTest, EachPeerReceivesOneDigestPerRotation)
{
    for (int i = 100; i < 170; ++i)
        receiveDigest(("n" + std::to_string(i)).c_str(), "a");
    EXPECT_EQ(peers.periodsPerRotation(), 5U);
    std::set<NodeId> reached;
    for (unsigned period = 0; period < peers.periodsPerRotation(); ++period) {
        for (const auto &[node, endpoint] : peers.nextReceivers(clock.now()))
            reached.insert(node);
    }
    reached.erase(NodeId()); // A seed whose name is not known.
    EXPECT_EQ(reached.size(), 70U);
    std::set<std::string> listed;
    for (int i = 0; i < 5; ++i) {
        for (const PeerEntry &entry : peers.nextLiveEntries(16, clock.now()))
            listed.insert(entry.node);
    }
    EXPECT_EQ(listed.size(), 70U);
}

namespace {

constexpr std::size_t zoneCount = 5;
constexpr std::size_t nodesPerZone = 39;

std::string zoneName(std::size_t zone)
{
    return "z" + std::to_string(zone);
}

NodeId nodeName(std::size_t zone, std::size_t index)
{
    return NodeId(zoneName(zone) + "-" + std::to_string(100 + index));
}

/// Returns the table of a node that knows all nodes of the fleet.
PeerTable tableOfNode(std::size_t zone, std::size_t index, TimePoint now)
{
    PeerTable peers({nodeName(zone, index), ZoneId(zoneName(zone)), {"10.0.0.1", 1}, {}});
    for (std::size_t i = 0; i < zoneCount * nodesPerZone; ++i) {
        const std::size_t other = i / nodesPerZone;
        peers.onMessageReceived(nodeName(other, i % nodesPerZone), 1,
                                digestOf(zoneName(other), "10.0.0.2"), now);
    }
    return peers;
}

} // namespace

// Each node of a zone sends its zone's summary to few nodes of the other zones. If they selected
// the same receivers, the other nodes would place requests by loads that are seconds old.
TEST(PeerTableFleet, EachNodeHearsOfEachOtherZoneSeveralTimesASecond)
{
    constexpr int periods = 40;
    constexpr int maxPeriodsBetweenSummaries = 4;
    ManualClock clock;
    std::vector<std::pair<std::size_t, PeerTable>> tables; // With the zone of each.
    for (std::size_t i = 0; i < zoneCount * nodesPerZone; ++i) {
        const std::size_t zone = i / nodesPerZone;
        tables.emplace_back(zone, tableOfNode(zone, i % nodesPerZone, clock.now()));
    }
    std::map<std::pair<NodeId, std::size_t>, int> lastHeard; // By receiver and zone.
    int longestGap = 0;
    for (int period = 0; period < periods; ++period) {
        clock.advance(100ms);
        for (const auto &[zone, peers] : tables) {
            for (const auto &[receiver, endpoint] : peers.remoteReceivers(clock.wallNow())) {
                int &last = lastHeard.try_emplace({receiver, zone}, 0).first->second;
                longestGap = std::max(longestGap, period - last);
                last = period;
            }
        }
    }
    EXPECT_EQ(lastHeard.size(), zoneCount * nodesPerZone * (zoneCount - 1));
    EXPECT_LE(longestGap, maxPeriodsBetweenSummaries);
}

// A node of another zone sends this node a message every few seconds, and must not lose its part of
// a fleet-wide limit meanwhile: the other nodes' parts would add up to more than the limit.
TEST_F(PeerTableTest, ListedNodesHaveAShareOfLimits)
{
    LoadDigest digest = digestOf("b", "10.0.0.9");
    digest.peers = {{"n5", "c", "10.0.0.5", 7400}, {"n6", "c", "10.0.0.6", 7400}};
    peers.onMessageReceived(NodeId("n9"), 1, digest, clock.now());
    EXPECT_EQ(peers.limitShareCount(clock.now()), 4U);
}

// Guards against records that a node of another zone doesn't find, wherever they were sent from.
TEST(PeerTableRecords, NodesOfAllZonesAskTheNodesThatKeepARecord)
{
    constexpr std::uint64_t keys = 50;
    ManualClock clock;
    std::map<NodeId, PeerTable> tables;
    for (const std::string zone : {"a", "b", "c", "d"}) {
        for (const std::string index : {"1", "2", "3"}) {
            const NodeId node(zone + index);
            const Endpoint endpoint {node.str(), 7400};
            tables.emplace(node, PeerTable({node, ZoneId(zone), endpoint, {}, 100ms}));
        }
    }
    for (auto &[node, table] : tables) {
        for (const auto &[other, otherTable] : tables)
            table.onMessageReceived(other, 1, digestOf(other.str().substr(0, 1), other.str()),
                                    clock.now());
    }
    for (std::uint64_t key = 0; key < keys; ++key) {
        for (const auto &[sender, senderTable] : tables) {
            const auto holders = senderTable.recordHolders(key, clock.now());
            ASSERT_EQ(holders.size(), 3U);
            for (const auto &[reader, readerTable] : tables) {
                auto known = readerTable.recordHoldersToAsk(key, clock.now());
                EXPECT_LE(known.size(), 6U);
                known.emplace_back(reader, Endpoint {reader.str(), 7400});
                const auto found = std::find_first_of(holders.begin(), holders.end(), known.begin(),
                                                      known.end());
                EXPECT_NE(found, holders.end())
                    << sender.str() << " to " << reader.str() << ", key " << key;
            }
        }
    }
}
