#include "berylridge/Fleet/Membership.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

const NodeId self("a1");
const NodeId peer("a2");
const NodeId third("a3");
const NodeId far("b1");
const ZoneId zoneA("a");
const ZoneId zoneB("b");

class MembershipTest : public testing::Test
{
protected:
    MembershipTest()
    {
        m_members.setSelfState(MemberState::Live);
        m_members.onVmList(vms(1, {"a1", "a2", "a3", "b1"}), m_clock.now());
    }

    static VmList vms(std::uint64_t revision, const std::vector<std::string> &names)
    {
        VmList list;
        list.revision = revision;
        for (const std::string &name : names)
            list.vms.push_back({NodeId(name), ZoneId(name.substr(0, 1)), "127.0.0.1", 7400, false});
        return list;
    }

    void receiveHeartbeat(const NodeId &node, Incarnation incarnation,
                          MemberState state = MemberState::Live)
    {
        if (!m_members.onMessageReceived(node, incarnation, m_clock.now()))
            return;
        Heartbeat heartbeat;
        heartbeat.zone = node.str().substr(0, 1);
        heartbeat.nodeState = static_cast<std::uint8_t>(state);
        heartbeat.address = "127.0.0.1";
        heartbeat.port = 7400;
        m_members.onHeartbeat(node, heartbeat, m_clock.now());
    }
    bool isEligible(const ZoneId &zone, const NodeId &node) const
    {
        const auto nodes = m_members.eligibleOwners(zone, m_clock.now());
        return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
    }
    MemberState state(const NodeId &node) const { return m_members.find(node)->state; }

    static MemberLife chart() { return *loadMemberLife(BERYLRIDGE_SOURCE_DIR "/charts"); }

    ManualClock m_clock;
    MemberLife m_chart = chart();
    Membership m_members {
        m_chart, {self, zoneA, {"127.0.0.1", 7400}, 1, 250ms, 1200ms}, m_clock.now()};
};

} // namespace

// A node falls silent. It may be paused or cut off and still run requests, so it is suspect and not
// gone; the port that refuses a probe proves that its run has ended, and only then its slots are
// free.
TEST_F(MembershipTest, SilentNodeIsSuspectUntilItsProbeIsRefused)
{
    receiveHeartbeat(peer, 5);
    m_clock.advance(1300ms);
    const auto probes = m_members.tick(m_clock.now());
    ASSERT_EQ(probes.size(), 1U);
    EXPECT_EQ(state(peer), MemberState::Suspect);
    EXPECT_FALSE(isEligible(zoneA, peer));
    EXPECT_TRUE(m_members.takeEndedIncarnations().empty());

    m_members.onProbeEnded(peer, 5, true);
    EXPECT_EQ(state(peer), MemberState::Gone);
    const auto ended = m_members.takeEndedIncarnations();
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().incarnation, 5U);
}

// The probe was sent to the old run; by the time its refusal is known the node has started anew.
// The refusal must not hit the new run.
TEST_F(MembershipTest, RefusedProbeOfEarlierIncarnationIsIgnored)
{
    receiveHeartbeat(peer, 5);
    m_clock.advance(1300ms);
    m_members.tick(m_clock.now());
    receiveHeartbeat(peer, 6);
    m_members.onProbeEnded(peer, 5, true);
    EXPECT_EQ(state(peer), MemberState::Live);
    EXPECT_FALSE(m_members.takeEndedIncarnations().empty())
        << "the new run proves the end of the old one";
}

// A datagram of the old run comes late, after the node has restarted with no memory. Taken in, it
// would bring back what the old run knew.
TEST_F(MembershipTest, MessagesOfEarlierIncarnationAreIgnored)
{
    receiveHeartbeat(peer, 6);
    EXPECT_FALSE(m_members.onMessageReceived(peer, 5, m_clock.now()));
    EXPECT_TRUE(m_members.onMessageReceived(peer, 6, m_clock.now()));
}

// The VM list lags: it still lacks a new VM and still has a dead one. A node that is heard belongs
// to the fleet; a silent one that is off the list is gone.
TEST_F(MembershipTest, ReceivedMessagesOverrideTheVmList)
{
    receiveHeartbeat(peer, 5);
    m_members.onVmList(vms(2, {"a1"}), m_clock.now());
    EXPECT_EQ(state(peer), MemberState::Live);
    EXPECT_EQ(state(third), MemberState::Gone);

    m_clock.advance(1300ms);
    m_members.tick(m_clock.now());
    EXPECT_EQ(state(peer), MemberState::Gone);
}

TEST_F(MembershipTest, OlderVmListIsIgnored)
{
    EXPECT_FALSE(m_members.onVmList(vms(1, {"a1"}), m_clock.now()));
    EXPECT_EQ(m_members.vmList().vms.size(), 4U);
}

// Two of three nodes receiveHeartbeat each other, the third hears only one of them. Their views
// differ, so none may count the others as agreeing: each could take itself for the owner of the
// same cold target.
TEST_F(MembershipTest, OnlyNodesWithTheSameViewAgree)
{
    receiveHeartbeat(peer, 5);
    receiveHeartbeat(third, 5);
    EXPECT_EQ(m_members.nodeCountInZone(), 3U);
    EXPECT_EQ(m_members.agreeingNodeCountInZone(m_clock.now()), 1U);

    Heartbeat heartbeat;
    heartbeat.zone = "a";
    heartbeat.nodeState = static_cast<std::uint8_t>(MemberState::Live);
    heartbeat.zoneDigest = m_members.zoneDigest(zoneA, m_clock.now());
    m_members.onHeartbeat(peer, heartbeat, m_clock.now());
    EXPECT_EQ(m_members.agreeingNodeCountInZone(m_clock.now()), 2U);
}

// The process was paused for ten seconds. On waking every other node seems silent; had it believed
// that, it would have taken over every pool of its zone.
TEST_F(MembershipTest, ProcessPauseDoesNotMakePeersSuspect)
{
    receiveHeartbeat(peer, 5);
    m_clock.advance(10s);
    m_members.onProcessResumed(m_clock.now());
    EXPECT_TRUE(m_members.tick(m_clock.now()).empty());
    EXPECT_EQ(state(peer), MemberState::Live);
}

// Another zone is cut off. What it said last grows old: its nodes are no owners to ask any more,
// but not gone either; they serve on behind the cut.
TEST_F(MembershipTest, PartitionedZoneHasNoEligibleOwners)
{
    ZoneView view;
    view.zone = "b";
    view.members.push_back(
        {"b1", 9, static_cast<std::uint8_t>(MemberState::Live), "127.0.0.1", 7400});
    m_members.onZoneView(view, m_clock.now());
    EXPECT_TRUE(isEligible(zoneB, far));
    m_clock.advance(3s);
    EXPECT_FALSE(isEligible(zoneB, far));
    m_members.tick(m_clock.now());
    EXPECT_EQ(state(far), MemberState::Suspect);
    EXPECT_FALSE(m_members.isZoneVacant(zoneB));
    m_members.onVmList(vms(2, {"a1", "a2", "a3"}), m_clock.now());
    EXPECT_TRUE(m_members.isZoneVacant(zoneB)) << "off the list and silent: its VMs are no more";
}

TEST_F(MembershipTest, SendsHeartbeatsToOneCounterpartPerOtherZone)
{
    m_members.onVmList(vms(2, {"a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2"}), m_clock.now());
    std::size_t near = 0;
    std::size_t away = 0;
    for (const Member &member : m_members.dueHeartbeats(m_clock.now()))
        (member.zone == zoneA ? near : away) += 1;
    EXPECT_EQ(near, 2U);
    EXPECT_EQ(away, 2U);
}

// A node starts while the platform is stale. Another zone's node sends it a message about keys
// before any VM list or heartbeat of that zone has come. Were it then taken for known, its address
// would stay empty for good: nothing is sent to it, and callers' keys find too few witnesses.
TEST_F(MembershipTest, MessageBeforeTheVmListKeepsTheListedAddress)
{
    const NodeId early("b2");
    EXPECT_TRUE(m_members.onMessageReceived(early, 5, m_clock.now()));
    m_members.onVmList(vms(2, {"a1", "a2", "a3", "b1", "b2"}), m_clock.now());
    EXPECT_EQ(m_members.find(early)->endpoint.port, 7400);
    EXPECT_EQ(m_members.find(early)->zone, zoneB);
}
