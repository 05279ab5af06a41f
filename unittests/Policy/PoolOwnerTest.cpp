#include "berylridge/Policy/PoolOwner.h"
#include "berylridge/Policy/LeaseHolder.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

const NodeId nodeA("a1");
const NodeId nodeB("a2");
constexpr Incarnation ownerRun = 77;
constexpr Incarnation holderRun = 5;

/// An owner of one pool with one warm target of four slots, and what holders would say to it.
class PoolOwnerTest : public testing::Test
{
protected:
    PoolOwnerTest()
    {
        m_document.service = ServiceId("assistant");
        m_document.slots = 4;
        m_document.coldSlots = 1;
        m_document.warmAfter = 2;
        TargetSpec spec;
        spec.target = TargetId("engine");
        spec.zone = ZoneId("a");
        m_document.targets.push_back(spec);
        m_pool = splitIntoPools(m_document).front();
        m_owner.configure(m_document, m_pool, m_clock.now());
    }

    static TargetStateMachine stateMachine()
    {
        return *loadTargetStateMachine(BERYLRIDGE_SOURCE_DIR "/charts");
    }

    void waitOutTakeover() { m_clock.advance(2200ms); }
    void waitWithTwoColdSlots()
    {
        m_document.coldSlots = 2;
        m_owner.configure(m_document, m_pool, m_clock.now());
        waitOutTakeover();
    }
    void warmUp()
    {
        m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 0, 100, 0ms, m_clock.now());
    }
    void demand(const NodeId &node, LeaseHolder &holder, std::vector<FlowDemand> wants)
    {
        m_owner.onDemand(node, holderRun, holder.demandMessage(std::move(wants), m_clock.now()),
                         m_clock.now());
    }
    std::vector<GrantedLease> grants()
    {
        std::vector<GrantedLease> leases;
        for (const OwnerMessage &message : m_owner.grant(m_clock.now())) {
            leases.insert(leases.end(), message.grant.leases.begin(), message.grant.leases.end());
            m_lastGrant = message.grant;
        }
        return leases;
    }

    ManualClock m_clock;
    TargetStateMachine m_stateMachine = stateMachine();
    ServiceDocument m_document;
    Pool m_pool;
    PoolOwner m_owner {m_stateMachine, {ownerRun, 2s, FleetFairPolicy {}}, m_clock.now()};
    LeaseHolder m_holderA {0};
    LeaseHolder m_holderB {0};
    PoolGrant m_lastGrant;
};

} // namespace

// The earlier owner is paused and its grants are still good for a while. A new owner that granted
// at once would put a second full load on the target.
TEST_F(PoolOwnerTest, NewOwnerWaitsOneTermBeforeGranting)
{
    warmUp();
    demand(nodeA, m_holderA, {{1, 3, 0, 500}});
    EXPECT_TRUE(grants().empty());
    waitOutTakeover();
    warmUp();
    demand(nodeA, m_holderA, {{1, 3, 0, 500}});
    EXPECT_EQ(grants().size(), 3U);
}

// A holder goes on with a lease of the earlier owner. The new owner learns of it from the holder's
// demand and counts it, otherwise the target would get its slots twice.
TEST_F(PoolOwnerTest, CountsLeasesOfAnEarlierOwner)
{
    PoolDemand message = m_holderA.demandMessage({{1, 9, 0, 500}}, m_clock.now());
    waitOutTakeover();
    warmUp();
    message.held.push_back({4711, targetHash(TargetId("engine")), 1, 100});
    message.held.push_back({4712, targetHash(TargetId("engine")), 1, 100});
    m_owner.onDemand(nodeA, holderRun, message, m_clock.now());
    EXPECT_EQ(grants().size(), 2U);
}

TEST_F(PoolOwnerTest, LeastServedFlowIsNext)
{
    waitOutTakeover();
    warmUp();
    demand(nodeA, m_holderA, {{1, 8, 0, 1000}});
    demand(nodeB, m_holderB, {{2, 8, 0, 1000}});
    int ofSecond = 0;
    for (const GrantedLease &lease : grants())
        ofSecond += lease.flow == 2 ? 1 : 0;
    EXPECT_EQ(ofSecond, 2);
}

TEST_F(PoolOwnerTest, WeightsDivideTheSlots)
{
    WorkspaceShare share;
    share.workspace = WorkspaceId("studio");
    share.weight = 3;
    m_document.workspaces.push_back(share);
    m_owner.configure(m_document, m_pool, m_clock.now());
    const FlowId studio = flowId(m_document.service, share.workspace);
    waitOutTakeover();
    warmUp();
    demand(nodeA, m_holderA, {{studio, 8, 0, 1000}, {2, 8, 0, 1000}});
    int ofStudio = 0;
    for (const GrantedLease &lease : grants())
        ofStudio += lease.flow == studio ? 1 : 0;
    EXPECT_EQ(ofStudio, 3);
}

// A grant is lost on its way. The holder's next demand speaks of a later grant and doesn't list the
// lease: it can't be taken up any more, so its slot must come free, or the target would idle for
// ever.
TEST_F(PoolOwnerTest, ReclaimsALostGrant)
{
    waitOutTakeover();
    warmUp();
    demand(nodeA, m_holderA, {{1, 2, 0, 500}});
    EXPECT_EQ(grants().size(), 2U); // Lost.
    demand(nodeA, m_holderA, {{1, 4, 0, 500}});
    EXPECT_EQ(grants().size(), 2U);
    m_holderA.onGrant(nodeB, ownerRun, m_lastGrant, m_clock.now());
    demand(nodeA, m_holderA, {{1, 9, 0, 500}});
    EXPECT_EQ(grants().size(), 2U) << "the two lost leases are free again";
}

// A return overtakes the demand that was sent before it. That demand still lists the lease; taken
// at its word the owner would hold the slot for nobody.
TEST_F(PoolOwnerTest, IgnoresDemandOvertakenByAReturn)
{
    waitOutTakeover();
    warmUp();
    demand(nodeA, m_holderA, {{1, 1, 0, 500}});
    ASSERT_EQ(grants().size(), 1U);
    m_holderA.onGrant(nodeB, ownerRun, m_lastGrant, m_clock.now());
    const PoolDemand late = m_holderA.demandMessage({}, m_clock.now());
    const LeaseId lease = m_lastGrant.leases.front().lease;
    PoolReturn message;
    message.leases.push_back(m_holderA.returnLease(lease));
    message.sequence = m_holderA.nextSequence();
    m_owner.onReturn(nodeA, message, m_clock.now());
    m_owner.onDemand(nodeA, holderRun, late, m_clock.now());
    demand(nodeB, m_holderB, {{2, 9, 0, 500}});
    EXPECT_EQ(grants().size(), 4U);
}

// A holder's process ends: what it held is free at once, and what it wanted is void. Of a silent
// holder the requests may still run; its slots come free only by the target's own newer report.
TEST_F(PoolOwnerTest, EndedHolderFreesItsSlotsButSilentOneDoesNot)
{
    waitOutTakeover();
    warmUp();
    demand(nodeA, m_holderA, {{1, 4, 0, 500}});
    ASSERT_EQ(grants().size(), 4U);
    m_holderA.onGrant(nodeB, ownerRun, m_lastGrant, m_clock.now());
    demand(nodeA, m_holderA, {});
    m_clock.advance(5s);
    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 4, 100, 0ms, m_clock.now());
    m_owner.tick(m_clock.now());
    demand(nodeB, m_holderB, {{2, 4, 0, 500}});
    EXPECT_TRUE(grants().empty());

    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 1, 103, 0ms, m_clock.now());
    m_owner.tick(m_clock.now());
    EXPECT_EQ(grants().size(), 3U);

    m_owner.onHolderGone(nodeA, holderRun, m_clock.now());
    EXPECT_EQ(grants().size(), 1U);
}

TEST_F(PoolOwnerTest, AColdTargetGetsColdSlots)
{
    waitOutTakeover();
    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 0, 0, 0ms, m_clock.now());
    demand(nodeA, m_holderA, {{1, 9, 0, 500}});
    EXPECT_EQ(grants().size(), 1U);
}

// Another owner, unknown to this one, put a request on a cold target. Only the target's report
// shows it.
TEST_F(PoolOwnerTest, CountsRequestsReportedByAColdTarget)
{
    waitOutTakeover();
    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 1, 0, 0ms, m_clock.now());
    demand(nodeA, m_holderA, {{1, 9, 0, 500}});
    EXPECT_TRUE(grants().empty());
}

// Other pools of the service served one flow. This pool's owner hears of it and lets the other flow
// go first, so that the gap is bounded over all pools and not in each alone.
TEST_F(PoolOwnerTest, CountsServiceOfOtherPools)
{
    waitOutTakeover();
    warmUp();
    demand(nodeA, m_holderA, {{1, 9, 0, 1000}, {2, 9, 0, 1000}});
    PoolUsage report;
    report.pool = 99;
    report.epoch = 1;
    report.flows = {{1, 5000}};
    m_owner.onRemoteUsage(report); // The first word of an owner sets the mark alone.
    report.flows = {{1, 9000}};
    m_owner.onRemoteUsage(report);
    for (const GrantedLease &lease : grants())
        EXPECT_EQ(lease.flow, 2U);
}

// A node stops by plan and its pool moves to another one. The successor is told what was given out;
// if it waited out a lease term instead, the target would idle for two seconds at each planned
// stop.
TEST_F(PoolOwnerTest, SuccessorWithHandoverGrantsAtOnce)
{
    waitOutTakeover();
    warmUp();
    demand(nodeA, m_holderA, {{1, 3, 0, 500}});
    ASSERT_EQ(grants().size(), 3U);
    m_holderA.onGrant(nodeB, ownerRun, m_lastGrant, m_clock.now());

    PoolOwner successor(m_stateMachine, {ownerRun + 1, 2s, FleetFairPolicy {}}, m_clock.now());
    successor.configure(m_document, m_pool, m_clock.now());
    successor.onLoadReport(targetHash(TargetId("engine")), "boot1", 3, 100, 0ms, m_clock.now());
    successor.takeOver(m_owner.handover(m_clock.now()), m_clock.now());
    successor.onDemand(nodeB, holderRun, m_holderB.demandMessage({{2, 9, 0, 500}}, m_clock.now()),
                       m_clock.now());
    std::size_t count = 0;
    for (const OwnerMessage &message : successor.grant(m_clock.now()))
        count += message.grant.leases.size();
    EXPECT_EQ(count, 1U) << "three of the four slots were given out before";
}

TEST_F(PoolOwnerTest, SuccessorWithHandoverWaitsForColdTargets)
{
    waitOutTakeover();
    PoolOwner successor(m_stateMachine, {ownerRun + 1, 2s, FleetFairPolicy {}}, m_clock.now());
    successor.configure(m_document, m_pool, m_clock.now());
    successor.onLoadReport(targetHash(TargetId("engine")), "boot1", 0, 0, 0ms, m_clock.now());
    successor.takeOver(m_owner.handover(m_clock.now()), m_clock.now());
    successor.onDemand(nodeB, holderRun, m_holderB.demandMessage({{2, 9, 0, 500}}, m_clock.now()),
                       m_clock.now());
    EXPECT_TRUE(successor.grant(m_clock.now()).empty());
}

// A request waits that avoids the only free target, since that target failed it before. The holder
// gives the slot back at once, the owner grants it again at once, and neither does anything else:
// the node hangs. The flow that could use the slot gets it instead.
TEST_F(PoolOwnerTest, RejectedSlotIsNotRegrantedAtOnce)
{
    waitOutTakeover();
    warmUp();
    demand(nodeA, m_holderA, {{7, 1, 0, 100}});
    const auto first = grants();
    ASSERT_EQ(first.size(), 1U);
    ReturnedLease rejectedLease;
    rejectedLease.lease = first.front().lease;
    rejectedLease.isUnfit = true;
    const auto returnLease = [&] {
        PoolReturn message;
        message.sequence = m_holderA.nextSequence();
        message.leases.push_back(rejectedLease);
        m_owner.onReturn(nodeA, message, m_clock.now());
    };
    returnLease();
    EXPECT_TRUE(grants().empty());
    demand(nodeB, m_holderB, {{8, 1, 0, 100}});
    EXPECT_EQ(grants().size(), 1U) << "another flow is not held up";
    m_clock.advance(300ms);
    EXPECT_EQ(grants().size(), 1U) << "the target may fit again";
}

// A holder gets a grant, begins a request on a cold target and is cut off before it can tell. The
// owner hears nothing of the grant. If it took the grant for lost once the term was over, it would
// give the slot away and the target would fall over under one request too many.
TEST_F(PoolOwnerTest, UnconfirmedGrantMayBeInUse)
{
    waitWithTwoColdSlots();
    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 0, 0, 0ms, m_clock.now());
    demand(nodeA, m_holderA, {{7, 1, 0, 100}});
    ASSERT_EQ(grants().size(), 1U);
    m_clock.advance(4500ms); // Past the term and the time after which a holder is silent.
    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 1, 0, 0ms, m_clock.now());
    m_owner.tick(m_clock.now());
    demand(nodeB, m_holderB, {{8, 3, 0, 100}});
    EXPECT_EQ(grants().size(), 1U) << "the target says that something runs";

    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 0, 0, 0ms, m_clock.now());
    m_owner.tick(m_clock.now());
    EXPECT_EQ(grants().size(), 1U) << "the target says that nothing runs";
}

// A cold target bears two. One holder runs a long request there and is cut off; the other's request
// has just ended when the target reports that one runs. Were the silent holder's slot given away
// for it, a third request would bring the target down.
TEST_F(PoolOwnerTest, PartialLoadReportDoesNotFreeTheSilentHolder)
{
    waitWithTwoColdSlots();
    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 0, 0, 0ms, m_clock.now());
    demand(nodeA, m_holderA, {{7, 1, 0, 100}});
    ASSERT_EQ(grants().size(), 1U);
    m_holderA.onGrant(nodeB, ownerRun, m_lastGrant, m_clock.now());
    demand(nodeA, m_holderA, {});
    demand(nodeB, m_holderB, {{8, 3, 0, 100}});
    ASSERT_EQ(grants().size(), 1U);

    m_clock.advance(4s);
    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 1, 0, 0ms, m_clock.now());
    demand(nodeB, m_holderB, {{8, 3, 0, 100}});
    m_owner.tick(m_clock.now());
    EXPECT_EQ(grants().size(), 1U) << "holder B's lost grant is free, holder A's slot is not";
}

// A cold target bears two. A node that is cut off still runs a long request there, which the new
// owner of the pool knows from the target's report alone. Its own grants come on top of that one:
// taken for the same, they were two, and the target fell over under the third.
TEST_F(PoolOwnerTest, UntrackedRequestsAddToOwnLeases)
{
    waitWithTwoColdSlots();
    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 1, 0, 0ms, m_clock.now());
    demand(nodeB, m_holderB, {{8, 3, 0, 100}});
    EXPECT_EQ(grants().size(), 1U);
}
