// Checks the bounds of the service gap, starvation and idle slots of whole fleets under overload.
#include "rig/FaultInjector.h"
#include "rig/Rig.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace berylridge::rig;
using namespace std::chrono_literals;

namespace {

constexpr Duration warmUp = 12s;
/// The longest time that a backlogged workspace may receive no service. The share of its weight is
/// at least 2 of 80 slots, and requests take 2 s on average and 20 s at most.
constexpr double maxStarvationSeconds = 10;

class Fairness : public testing::TestWithParam<std::uint64_t>
{
protected:
    void start(const DeploymentOptions &options)
    {
        m_rig = std::make_unique<Rig>(GetParam(), alwaysBacklogged(options));
        m_rig->start();
        m_rig->callers->start();
        m_rig->run(warmUp);
        m_rig->meter->start();
    }
    void expectFair(double factor) const
    {
        const FairnessMeter &meter = *m_rig->meter;
        EXPECT_LE(meter.gap(), factor * meter.largestInFlightCost());
        EXPECT_LE(meter.longestStarvationSeconds(), maxStarvationSeconds);
        for (const std::string &violation : m_rig->simulation.journal.violations())
            ADD_FAILURE() << violation;
    }

    std::unique_ptr<Rig> m_rig;
};

} // namespace

// Sixteen workspaces of weights one to four are always backlogged, three of them with six times the
// load, on routers that each receive a very different part of the load. No scheduling policy can
// guarantee a gap below the cost that one workspace has in flight. The gap must stay below twice
// that cost, and slots must not idle.
TEST_P(Fairness, MenGomGapStaysWithinBound)
{
    start(menGom());
    m_rig->run(60s);
    expectFair(2);
    EXPECT_GE(m_rig->meter->utilisation(), 0.98);
}

TEST_P(Fairness, RiviereBellsGapStaysWithinBound)
{
    start(riviereBells());
    m_rig->run(60s);
    expectFair(2);
    EXPECT_GE(m_rig->meter->utilisation(), 0.98);
}

// Guards against a gap that grows slowly, which a short run can't show: the run takes three times
// as long and must keep the same bound.
TEST_P(Fairness, GapDoesNotGrowWithTime)
{
    start(menGom());
    m_rig->run(180s);
    expectFair(2);
}

// Two routers terminate one after the other and restart without state, so pools change their owners
// and lose the service counts of the previous ones. Each new owner starts all flows with equal
// counts, so each change adds at most the bound once more, and no workspace may starve meanwhile.
TEST_P(Fairness, EachLostOwnerAddsAtMostOneBound)
{
    start(menGom());
    FaultInjector faults(*m_rig);
    m_rig->run(10s);
    faults.inject(Fault::KillNode, 6s, 0);
    m_rig->run(20s);
    faults.inject(Fault::KillNode, 6s, 4);
    m_rig->run(30s);
    expectFair(4);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Fairness, testing::Values<std::uint64_t>(1, 2, 3));
