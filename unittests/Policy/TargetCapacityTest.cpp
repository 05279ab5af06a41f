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

TEST_F(TargetCapacityTest, RampsOnCompletedAnswersOnly)
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

// A cold engine completes three answers. Its load report tells so, then the holders' returns tell
// of the same three. Added up they pass for six, the target counts as warm, and the full load
// brings it down while it still warms up.
TEST_F(TargetCapacityTest, AnswersInTheLoadReportAreNotCountedTwice)
{
    m_capacity.onLoadReport("boot1", 1, 3, 0ms, m_clock.now());
    m_capacity.onCompleted(1, "boot1", m_clock.now());
    m_capacity.onCompleted(2, "boot1", m_clock.now());
    EXPECT_EQ(limit(), 2U);
    m_capacity.onCompleted(1, "boot1", m_clock.now());
    EXPECT_EQ(limit(), 4U);
}

// A warm engine restarts between two requests and nobody saw a broken connection. Its next answer
// or load report carries another boot id. Were it still taken for warm, a full load would bring it
// down again.
TEST_F(TargetCapacityTest, NewBootIdMakesTheTargetCold)
{
    warmUp("boot1");
    EXPECT_EQ(limit(), 8U);
    EXPECT_TRUE(m_capacity.onLoadReport("boot2", 0, 0, 0ms, m_clock.now()));
    EXPECT_EQ(limit(), 2U);
    EXPECT_EQ(m_capacity.state(), TargetState::Cold);
}

// The engine crashes; holders' news of broken connections comes in any order, some after its new
// boot was heard. Late news of the old boot must not close the new one.
TEST_F(TargetCapacityTest, LateReportsOfAnEndedBootAreIgnored)
{
    warmUp("boot1");
    EXPECT_TRUE(m_capacity.onSignal(TargetSignal::Crash, "boot1", m_clock.now()));
    EXPECT_EQ(limit(), 0U) << "nothing is sent before the new boot was heard";
    m_capacity.onLoadReport("boot2", 0, 0, 0ms, m_clock.now());
    EXPECT_EQ(limit(), 2U);
    EXPECT_FALSE(m_capacity.onSignal(TargetSignal::Crash, "boot1", m_clock.now()));
    m_capacity.onCompleted(40, "boot1", m_clock.now());
    EXPECT_EQ(limit(), 2U);
}

// Nobody has heard of a warm, idle target for seconds. It may have restarted unseen; a burst would
// then hit a cold boot with all slots at once.
TEST_F(TargetCapacityTest, StaleBootEvidenceAllowsOnlyColdSlots)
{
    warmUp("boot1");
    m_clock.advance(3s);
    EXPECT_EQ(limit(), 2U);
    m_capacity.onLoadReport("boot1", 0, 40, 0ms, m_clock.now());
    EXPECT_EQ(limit(), 8U);
}

// A zone of three is cut in two, and each side has an owner. Together they must not give a cold
// target more than it bears.
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
    EXPECT_EQ(allottedSlots(1, {2, 3}), 1U) << "one crash of three must not idle a cold target";
}

// An engine that was taken out may have been restarted meanwhile: on its return it gets cold slots
// until its boot is heard, and all of them when it is the same boot.
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

// A connection breaks, but the engine lives: a network fault, or a stream that the engine cut. Its
// boot is heard again by the next poll; were it taken for ended for ever, a healthy engine would
// stand idle.
TEST_F(TargetCapacityTest, BrokenConnectionBlocksARunningBootUntilTheNextPoll)
{
    warmUp("boot1");
    m_capacity.onSignal(TargetSignal::Crash, "boot1", m_clock.now());
    m_capacity.onCompleted(1, "boot1", m_clock.now());
    EXPECT_EQ(limit(), 0U) << "an answer that was on its way proves nothing";
    m_capacity.onLoadReport("boot1", 0, 44, 0ms, m_clock.now());
    EXPECT_EQ(limit(), 8U);
}
