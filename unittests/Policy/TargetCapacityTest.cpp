#include "berylridge/Policy/TargetCapacity.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

constexpr OwnerAgreement whole {1, 1};

class TargetCapacityTest : public testing::Test
{
protected:
    TargetCapacityTest()
    {
        m_document.slots = 8;
        m_document.coldSlots = 2;
        m_document.warmAfter = 4;
        m_capacity.configure(m_document, false);
    }

    void warmUp(std::string_view bootId)
    {
        m_capacity.onLoadReport(bootId, 0, 0, 0ms, m_clock.now());
        m_capacity.onCompleted(40, bootId, m_clock.now());
    }
    std::uint32_t limit(OwnerAgreement agreement = whole) const
    {
        return m_capacity.limit(agreement, m_clock.now());
    }

    static TargetStateMachine stateMachine()
    {
        return *loadTargetStateMachine(BERYLRIDGE_SOURCE_DIR "/charts");
    }

    ManualClock m_clock;
    TargetStateMachine m_stateMachine = stateMachine();
    ServiceDocument m_document;
    TargetCapacity m_capacity {m_stateMachine, m_clock.now()};
};

} // namespace

TEST_F(TargetCapacityTest, RampsOnCompletedResponsesOnly)
{
    EXPECT_EQ(limit(), 2U);
    m_capacity.onLoadReport("boot1", 0, 0, 0ms, m_clock.now());
    EXPECT_EQ(limit(), 2U);
    m_capacity.onCompleted(3, "boot1", m_clock.now());
    EXPECT_EQ(limit(), 2U);
    m_capacity.onCompleted(1, "boot1", m_clock.now());
    EXPECT_EQ(limit(), 4U);
    m_capacity.onCompleted(6, "boot1", m_clock.now());
    EXPECT_EQ(limit(), 8U);
    EXPECT_EQ(m_capacity.state(), TargetState::Warm);
}

// Guards against responses being counted twice, once by the target's load report and once by the
// holders' returns. A cold engine with three responses would count as warm with six, and crash
// under full load.
TEST_F(TargetCapacityTest, ResponsesInTheLoadReportAreNotCountedTwice)
{
    m_capacity.onLoadReport("boot1", 1, 3, 0ms, m_clock.now());
    m_capacity.onCompleted(1, "boot1", m_clock.now());
    m_capacity.onCompleted(2, "boot1", m_clock.now());
    EXPECT_EQ(limit(), 2U);
    m_capacity.onCompleted(1, "boot1", m_clock.now());
    EXPECT_EQ(limit(), 4U);
}

// Guards against a warm engine that restarts unnoticed between two requests and still counts as
// warm: a full load would crash it again. Its next response or load report carries another boot id.
TEST_F(TargetCapacityTest, NewBootIdMakesTheTargetCold)
{
    warmUp("boot1");
    EXPECT_EQ(limit(), 8U);
    EXPECT_TRUE(m_capacity.onLoadReport("boot2", 0, 0, 0ms, m_clock.now()));
    EXPECT_EQ(limit(), 2U);
    EXPECT_EQ(m_capacity.state(), TargetState::Cold);
}

// Guards against late reports of the old boot closing the new one. After a crash, holders report
// broken connections in any order, some after the new boot was confirmed.
TEST_F(TargetCapacityTest, LateReportsOfAnEndedBootAreIgnored)
{
    warmUp("boot1");
    EXPECT_TRUE(m_capacity.onSignal(TargetSignal::Crash, "boot1", m_clock.now()));
    EXPECT_EQ(limit(), 0U) << "nothing may be sent before the new boot was heard";
    m_capacity.onLoadReport("boot2", 0, 0, 0ms, m_clock.now());
    EXPECT_EQ(limit(), 2U);
    EXPECT_FALSE(m_capacity.onSignal(TargetSignal::Crash, "boot1", m_clock.now()));
    m_capacity.onCompleted(40, "boot1", m_clock.now());
    EXPECT_EQ(limit(), 2U);
}

// Guards against a burst on a cold boot. A warm, idle target that sent no response for seconds may
// have restarted unnoticed.
TEST_F(TargetCapacityTest, StaleBootEvidenceAllowsOnlyColdSlots)
{
    warmUp("boot1");
    m_clock.advance(3s);
    EXPECT_EQ(limit(), 2U);
    m_capacity.onLoadReport("boot1", 0, 40, 0ms, m_clock.now());
    EXPECT_EQ(limit(), 8U);
}

// Guards against two owners overloading a cold target. A zone of three nodes is partitioned in two,
// and each side has an owner.
TEST(AllottedSlots, DisjointOwnersStayWithinTheSlots)
{
    for (std::uint32_t slots = 0; slots <= 9; ++slots) {
        for (std::uint32_t listed = 1; listed <= 9; ++listed) {
            for (std::uint32_t agreeing = 0; agreeing <= listed; ++agreeing) {
                const std::uint32_t sum = allottedSlots(slots, {agreeing, listed})
                    + allottedSlots(slots, {listed - agreeing, listed});
                EXPECT_LE(sum, slots) << agreeing << " of " << listed;
            }
            EXPECT_EQ(allottedSlots(slots, {listed, listed}), slots);
        }
    }
    EXPECT_EQ(allottedSlots(1, {2, 3}), 1U)
        << "the crash of one node of three must not idle a cold target";
}

// An engine that was out of service may have been restarted. On its return it gets cold slots until
// its boot is confirmed, and all slots if the boot is the same.
TEST_F(TargetCapacityTest, ReturningTargetIsColdUntilItsBootIsConfirmed)
{
    warmUp("boot1");
    m_capacity.configure(m_document, true);
    EXPECT_EQ(limit(), 0U);
    m_capacity.configure(m_document, false);
    EXPECT_EQ(limit(), 2U);
    m_capacity.onLoadReport("boot1", 0, 40, 0ms, m_clock.now());
    EXPECT_EQ(limit(), 8U);
}

// Guards against a healthy engine that idles forever because a connection broke, by a network fault
// or since the engine closed a stream. The next poll confirms its boot.
TEST_F(TargetCapacityTest, BrokenConnectionBlocksARunningBootUntilTheNextPoll)
{
    warmUp("boot1");
    m_capacity.onSignal(TargetSignal::Crash, "boot1", m_clock.now());
    m_capacity.onCompleted(1, "boot1", m_clock.now());
    EXPECT_EQ(limit(), 0U) << "an answer on the way does not confirm the boot";
    m_capacity.onLoadReport("boot1", 0, 44, 0ms, m_clock.now());
    EXPECT_EQ(limit(), 8U);
}
