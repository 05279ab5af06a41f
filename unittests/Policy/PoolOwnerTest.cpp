#include "berylridge/Policy/PoolOwner.h"
#include "berylridge/Policy/LeaseHolder.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

const NodeId nodeA("a1");
const NodeId nodeB("a2");
constexpr Incarnation ownerIncarnation = 77;
constexpr Incarnation holderIncarnation = 5;

/// Sets up an owner of one pool that has one target of four slots, and the messages of its holders.
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
        m_owner.onDemand(node, holderIncarnation,
                         holder.demandMessage(std::move(wants), m_clock.now()), m_clock.now());
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
    PoolOwner m_owner {m_stateMachine, {ownerIncarnation, 2s, FleetFairPolicy {}}, m_clock.now()};
    LeaseHolder m_holderA {0};
    LeaseHolder m_holderB {0};
    PoolGrant m_lastGrant;
};

} // namespace

// Guards against a new owner that grants at once while the grants of a paused earlier owner are
// still valid. The target would get twice its load.
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

// Guards against a target's slots being granted twice when a holder continues to use a lease of the
// earlier owner. The new owner learns of the lease from the holder's demand.
TEST_F(PoolOwnerTest, CountsLeasesOfAnEarlierOwner)
{
    PoolDemand message = m_holderA.demandMessage({{1, 9, 0, 500}}, m_clock.now());
    waitOutTakeover();
    warmUp();
    message.held.push_back({4711, targetHash(TargetId("engine")), 1, 100});
    message.held.push_back({4712, targetHash(TargetId("engine")), 1, 100});
    m_owner.onDemand(nodeA, holderIncarnation, message, m_clock.now());
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

// Guards against a slot that idles forever after a grant was lost. The holder's next demand
// acknowledges a later grant and does not list the lease, so it cannot be used any more.
TEST_F(PoolOwnerTest, ReclaimsALostGrant)
{
    waitOutTakeover();
    warmUp();
    demand(nodeA, m_holderA, {{1, 2, 0, 500}});
    EXPECT_EQ(grants().size(), 2U); // The messages are lost.
    demand(nodeA, m_holderA, {{1, 4, 0, 500}});
    EXPECT_EQ(grants().size(), 2U);
    m_holderA.onGrant(nodeB, ownerIncarnation, m_lastGrant, m_clock.now());
    demand(nodeA, m_holderA, {{1, 9, 0, 500}});
    EXPECT_EQ(grants().size(), 2U) << "the two lost leases must be reclaimed";
}

// Guards against a slot that nobody uses when a return overtakes a demand that was sent before it
// and still lists the lease.
TEST_F(PoolOwnerTest, IgnoresDemandOvertakenByAReturn)
{
    waitOutTakeover();
    warmUp();
    demand(nodeA, m_holderA, {{1, 1, 0, 500}});
    ASSERT_EQ(grants().size(), 1U);
    m_holderA.onGrant(nodeB, ownerIncarnation, m_lastGrant, m_clock.now());
    const PoolDemand late = m_holderA.demandMessage({}, m_clock.now());
    const LeaseId lease = m_lastGrant.leases.front().lease;
    PoolReturn message;
    message.leases.push_back(m_holderA.returnLease(lease));
    message.sequence = m_holderA.nextSequence();
    m_owner.onReturn(nodeA, message, m_clock.now());
    m_owner.onDemand(nodeA, holderIncarnation, late, m_clock.now());
    demand(nodeB, m_holderB, {{2, 9, 0, 500}});
    EXPECT_EQ(grants().size(), 4U);
}

// When a holder's process ends, its leases are released at once and its demand is dropped. Requests
// of a silent holder may still run, so its slots are released only by a later report of the target.
TEST_F(PoolOwnerTest, EndedHolderFreesItsSlotsButSilentOneDoesNot)
{
    waitOutTakeover();
    warmUp();
    demand(nodeA, m_holderA, {{1, 4, 0, 500}});
    ASSERT_EQ(grants().size(), 4U);
    m_holderA.onGrant(nodeB, ownerIncarnation, m_lastGrant, m_clock.now());
    demand(nodeA, m_holderA, {});
    m_clock.advance(5s);
    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 4, 100, 0ms, m_clock.now());
    m_owner.tick(m_clock.now());
    demand(nodeB, m_holderB, {{2, 4, 0, 500}});
    EXPECT_TRUE(grants().empty());

    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 1, 103, 0ms, m_clock.now());
    m_owner.tick(m_clock.now());
    EXPECT_EQ(grants().size(), 3U);

    m_owner.onHolderEnded(nodeA, holderIncarnation, m_clock.now());
    EXPECT_EQ(grants().size(), 1U);
}

TEST_F(PoolOwnerTest, AColdTargetGetsColdSlots)
{
    waitOutTakeover();
    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 0, 0, 0ms, m_clock.now());
    demand(nodeA, m_holderA, {{1, 9, 0, 500}});
    EXPECT_EQ(grants().size(), 1U);
}

// Another owner, unknown to this one, started a request on a cold target. Only the target's report
// shows it.
TEST_F(PoolOwnerTest, CountsRequestsReportedByAColdTarget)
{
    waitOutTakeover();
    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 1, 0, 0ms, m_clock.now());
    demand(nodeA, m_holderA, {{1, 9, 0, 500}});
    EXPECT_TRUE(grants().empty());
}

// Other pools of the service served one flow. The owner prefers the other flow, so that the
// difference is bounded over all pools and not in each one alone.
TEST_F(PoolOwnerTest, CountsServiceOfOtherPools)
{
    waitOutTakeover();
    warmUp();
    demand(nodeA, m_holderA, {{1, 9, 0, 1000}, {2, 9, 0, 1000}});
    PoolUsage report;
    report.pool = 99;
    report.epoch = 1;
    report.flows = {{1, 5000}};
    m_owner.onRemoteUsage(report); // The first report of an owner only sets the baseline.
    report.flows = {{1, 9000}};
    m_owner.onRemoteUsage(report);
    for (const GrantedLease &lease : grants())
        EXPECT_EQ(lease.flow, 2U);
}

// Guards against a target that idles for two seconds at each planned stop of a node. The successor
// receives the granted leases, so it need not wait for a lease term.
TEST_F(PoolOwnerTest, SuccessorWithHandoverGrantsAtOnce)
{
    waitOutTakeover();
    warmUp();
    demand(nodeA, m_holderA, {{1, 3, 0, 500}});
    ASSERT_EQ(grants().size(), 3U);
    m_holderA.onGrant(nodeB, ownerIncarnation, m_lastGrant, m_clock.now());

    PoolOwner successor(m_stateMachine, {ownerIncarnation + 1, 2s, FleetFairPolicy {}},
                        m_clock.now());
    successor.configure(m_document, m_pool, m_clock.now());
    successor.onLoadReport(targetHash(TargetId("engine")), "boot1", 3, 100, 0ms, m_clock.now());
    successor.takeOver(m_owner.handover(m_clock.now()), m_clock.now());
    successor.onDemand(nodeB, holderIncarnation,
                       m_holderB.demandMessage({{2, 9, 0, 500}}, m_clock.now()), m_clock.now());
    std::size_t count = 0;
    for (const OwnerMessage &message : successor.grant(m_clock.now()))
        count += message.grant.leases.size();
    EXPECT_EQ(count, 1U) << "three of the four slots were leased out before";
}

TEST_F(PoolOwnerTest, SuccessorWithHandoverWaitsForColdTargets)
{
    waitOutTakeover();
    PoolOwner successor(m_stateMachine, {ownerIncarnation + 1, 2s, FleetFairPolicy {}},
                        m_clock.now());
    successor.configure(m_document, m_pool, m_clock.now());
    successor.onLoadReport(targetHash(TargetId("engine")), "boot1", 0, 0, 0ms, m_clock.now());
    successor.takeOver(m_owner.handover(m_clock.now()), m_clock.now());
    successor.onDemand(nodeB, holderIncarnation,
                       m_holderB.demandMessage({{2, 9, 0, 500}}, m_clock.now()), m_clock.now());
    EXPECT_TRUE(successor.grant(m_clock.now()).empty());
}

// Guards against a livelock between owner and holder. A request avoids the only free target, which
// failed it before: the holder returns the slot, the owner grants it again, and neither does
// anything else. The slot goes to a flow that can use it.
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
    EXPECT_EQ(grants().size(), 1U) << "another flow must not be blocked";
    m_clock.advance(300ms);
    EXPECT_EQ(grants().size(), 1U) << "the rejection of the target has expired";
}

// Guards against a grant being considered lost only because no message about it arrived after its
// term. Its holder may have started a request on a cold target and been partitioned before it could
// report; one more request would crash the target.
TEST_F(PoolOwnerTest, UnconfirmedGrantMayBeInUse)
{
    waitWithTwoColdSlots();
    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 0, 0, 0ms, m_clock.now());
    demand(nodeA, m_holderA, {{7, 1, 0, 100}});
    ASSERT_EQ(grants().size(), 1U);
    m_clock.advance(4500ms); // Longer than the term and the timeout after which a holder is silent.
    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 1, 0, 0ms, m_clock.now());
    m_owner.tick(m_clock.now());
    demand(nodeB, m_holderB, {{8, 3, 0, 100}});
    EXPECT_EQ(grants().size(), 1U) << "the target reports a running request";

    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 0, 0, 0ms, m_clock.now());
    m_owner.tick(m_clock.now());
    EXPECT_EQ(grants().size(), 1U) << "the target reports no running requests";
}

// Guards against a report of one running request releasing the slot of a silent holder. A cold
// target can run two: the silent holder's request still runs and another holder's has just ended,
// so a third one would crash the target.
TEST_F(PoolOwnerTest, PartialLoadReportDoesNotFreeTheSilentHolder)
{
    waitWithTwoColdSlots();
    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 0, 0, 0ms, m_clock.now());
    demand(nodeA, m_holderA, {{7, 1, 0, 100}});
    ASSERT_EQ(grants().size(), 1U);
    m_holderA.onGrant(nodeB, ownerIncarnation, m_lastGrant, m_clock.now());
    demand(nodeA, m_holderA, {});
    demand(nodeB, m_holderB, {{8, 3, 0, 100}});
    ASSERT_EQ(grants().size(), 1U);

    m_clock.advance(4s);
    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 1, 0, 0ms, m_clock.now());
    demand(nodeB, m_holderB, {{8, 3, 0, 100}});
    m_owner.tick(m_clock.now());
    EXPECT_EQ(grants().size(), 1U) << "holder B's lost grant is free, holder A's slot is not";
}

// Guards against a request of a partitioned node being taken for one of this owner's own. A cold
// target can run two, and the new owner knows the request from the target's report only; if it
// granted two slots, a third request would crash the target.
TEST_F(PoolOwnerTest, UntrackedRequestsAddToOwnLeases)
{
    waitWithTwoColdSlots();
    m_owner.onLoadReport(targetHash(TargetId("engine")), "boot1", 1, 0, 0ms, m_clock.now());
    demand(nodeB, m_holderB, {{8, 3, 0, 100}});
    EXPECT_EQ(grants().size(), 1U);
}
