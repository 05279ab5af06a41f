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

    static MemberStateMachine stateMachine()
    {
        return *loadMemberStateMachine(BERYLRIDGE_SOURCE_DIR "/charts");
    }

    ManualClock m_clock;
    MemberStateMachine m_stateMachine = stateMachine();
    Membership m_members {
        m_stateMachine, {self, zoneA, {"127.0.0.1", 7400}, 1, 250ms, 1200ms}, m_clock.now()};
};

} // namespace

// A silent node may be paused or partitioned and still run requests. If it counted as gone, its
// slots would be granted twice. It only becomes gone when its port refuses a probe, which proves
// that its incarnation has ended.
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

// A node restarts while a probe of its previous incarnation is in flight. The refusal of that probe
// must not mark the new incarnation as gone.
TEST_F(MembershipTest, RefusedProbeOfEarlierIncarnationIsIgnored)
{
    receiveHeartbeat(peer, 5);
    m_clock.advance(1300ms);
    m_members.tick(m_clock.now());
    receiveHeartbeat(peer, 6);
    m_members.onProbeEnded(peer, 5, true);
    EXPECT_EQ(state(peer), MemberState::Live);
    EXPECT_FALSE(m_members.takeEndedIncarnations().empty())
        << "the new incarnation proves the end of the old one";
}

// A datagram of a previous incarnation arrives after the node has restarted without its state.
// Accepting it would restore information that is no longer valid.
TEST_F(MembershipTest, MessagesOfEarlierIncarnationAreIgnored)
{
    receiveHeartbeat(peer, 6);
    EXPECT_FALSE(m_members.onMessageReceived(peer, 5, m_clock.now()));
    EXPECT_TRUE(m_members.onMessageReceived(peer, 6, m_clock.now()));
}

// The VM list lags: it may lack a new VM and still contain a terminated one. A node whose messages
// arrive belongs to the fleet even if it is not listed; a silent node that is not listed is gone.
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

// Of three nodes, two receive each other's messages and the third receives those of one node only,
// so their zone views differ. If nodes with different views counted as agreeing, two of them could
// each consider themselves the owner of the same cold target.
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

// After a pause of this process of ten seconds, all other nodes seem silent. If they became
// suspect, this node would take over every pool of its zone.
TEST_F(MembershipTest, ProcessPauseDoesNotMakePeersSuspect)
{
    receiveHeartbeat(peer, 5);
    m_clock.advance(10s);
    m_members.onProcessResumed(m_clock.now());
    EXPECT_TRUE(m_members.tick(m_clock.now()).empty());
    EXPECT_EQ(state(peer), MemberState::Live);
}

// Another zone is partitioned from this one and its last zone view expires. Its nodes must no
// longer be eligible as owners, but must not count as gone either, since they still serve requests
// on their side of the partition.
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
    EXPECT_TRUE(m_members.isZoneVacant(zoneB))
        << "off the list and silent: its VMs no longer exist";
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

// A node starts while the platform is stale, and a message about keys arrives from another zone
// before the VM list or any heartbeat of that zone. If the sender then counted as known, its
// address would stay empty: nothing could be sent to it, and callers' keys would have too few
// witnesses.
TEST_F(MembershipTest, MessageBeforeTheVmListKeepsTheListedAddress)
{
    const NodeId early("b2");
    EXPECT_TRUE(m_members.onMessageReceived(early, 5, m_clock.now()));
    m_members.onVmList(vms(2, {"a1", "a2", "a3", "b1", "b2"}), m_clock.now());
    EXPECT_EQ(m_members.find(early)->endpoint.port, 7400);
    EXPECT_EQ(m_members.find(early)->zone, zoneB);
}
