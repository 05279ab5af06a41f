// Tests that a change of the platform's state takes effect in time at all nodes when the nodes that
// read the platform fail together.
#include "DepartureFleet.h"

#include <algorithm>
#include <cstddef>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

/// The users' bound: a change of the catalog, of targets or of zones has taken effect this long
/// after the platform has confirmed it.
constexpr Duration changeLimit = 2000ms;
/// Readers may fail at any moment of their watches.
constexpr Duration maxWatchTime = 1100ms;
constexpr Duration failureStep = 250ms;
/// The readers of a zone, and the node that finds out whether the platform answers.
constexpr std::size_t maxCallersPerZone = 3;

class ReaderLossTest : public testing::TestWithParam<std::size_t>
{
protected:
    class Fleet : public test::DepartureFleet
    {
    public:
        explicit Fleet(std::size_t nodesPerZone)
            : DepartureFleet(1, nodesPerZone)
        {
        }

        using DepartureFleet::runFor;

        std::vector<Node *> readers()
        {
            std::vector<Node *> found;
            for (Node &each : m_fleet.nodes()) {
                if (each.isReadingPlatform)
                    found.push_back(&each);
            }
            return found;
        }

        void kill(const std::vector<Node *> &nodes)
        {
            for (Node *each : nodes)
                m_fleet.stopNode(*each);
        }

        void freeze(const std::vector<Node *> &nodes)
        {
            for (Node *each : nodes)
                m_fleet.pauseNode(*each);
        }

        void leave(const std::vector<Node *> &nodes)
        {
            for (Node *each : nodes)
                m_fleet.handle(*each, LeaveOrdered {"test"});
        }

        /// Lets the nodes' requests to the platform go unanswered.
        void disconnect(const std::vector<Node *> &nodes)
        {
            for (Node *each : nodes)
                m_store.setSilent(*each);
        }

        void disconnectAll()
        {
            for (Node &each : m_fleet.nodes())
                m_store.setSilent(each);
        }

        /// Takes the credential away that isUsed() sends.
        void revokeCredential() { m_store.publish(catalog("another key")); }

        void removeTarget() { DepartureFleet::leave(m_targets[0]); }

        std::size_t nodesThatUseRemovedTarget(const std::vector<Node *> &failed)
        {
            return nodesThatUse(m_targets[0], failed);
        }

        /// Returns the nodes other than the given ones that still accept the credential.
        std::size_t nodesBehind(const std::vector<Node *> &failed)
        {
            return nodesThatUse(m_targets[1], failed);
        }

        std::size_t nodesThatUse(const Target &target, const std::vector<Node *> &failed)
        {
            std::size_t count = 0;
            for (Node &each : m_fleet.nodes()) {
                const bool hasFailed
                    = std::find(failed.begin(), failed.end(), &each) != failed.end();
                count += !hasFailed && isUsed(each, target) ? 1 : 0;
            }
            return count;
        }

        std::size_t mostCallersInAZone()
        {
            std::map<std::string, std::size_t> callers;
            std::size_t most = 0;
            for (const Node *each : readers())
                most = std::max(most, ++callers[each->zone]);
            return most;
        }
    };

    using Fail = void (Fleet::*)(const std::vector<test::SimulatedFleet::Node *> &);

    /// Lets all readers fail at different times after their last answer, and the platform's state
    /// change right after that.
    void expectChangeInTime(Fail fail) const
    {
        for (Duration offset {0}; offset <= maxWatchTime; offset += failureStep) {
            Fleet fleet(GetParam());
            fleet.runFor(offset);
            const auto failed = fleet.readers();
            (fleet.*fail)(failed);
            fleet.revokeCredential();
            fleet.runFor(changeLimit);
            EXPECT_EQ(fleet.nodesBehind(failed), 0U) << toMilliseconds(offset) << " ms";
        }
    }
};

} // namespace

// Guards against nodes that accept a revoked credential for seconds because all nodes that read the
// platform lost power together.
TEST_P(ReaderLossTest, ChangeTakesEffectAfterAllReadersWereKilled)
{
    expectChangeInTime(&Fleet::kill);
}

// Guards against requests to a target that left while no node read the platform.
TEST_P(ReaderLossTest, DepartureTakesEffectAfterAllReadersWereKilled)
{
    Fleet fleet(GetParam());
    const auto failed = fleet.readers();
    fleet.kill(failed);
    fleet.removeTarget();
    fleet.runFor(changeLimit);
    EXPECT_EQ(fleet.nodesThatUseRemovedTarget(failed), 0U);
}

// Guards against nodes that accept a revoked credential while all readers are frozen.
TEST_P(ReaderLossTest, ChangeTakesEffectWhileAllReadersAreFrozen)
{
    expectChangeInTime(&Fleet::freeze);
}

// Guards against the same where all readers are stopped together as planned.
TEST_P(ReaderLossTest, ChangeTakesEffectWhileAllReadersLeave)
{
    expectChangeInTime(&Fleet::leave);
}

// Guards against nodes that wait for readers whose messages arrive, but which the platform no
// longer answers.
TEST_P(ReaderLossTest, ChangeTakesEffectAfterAllReadersLostTheirPath)
{
    expectChangeInTime(&Fleet::disconnect);
}

// Guards against nodes that all call the platform as soon as it stops answering.
TEST_P(ReaderLossTest, FewNodesCallASilentPlatform)
{
    Fleet fleet(GetParam());
    fleet.disconnectAll();
    fleet.runFor(2500ms);
    EXPECT_LE(fleet.mostCallersInAZone(), maxCallersPerZone);
}

// Guards against nodes that take a platform without changes for one that doesn't answer.
TEST_P(ReaderLossTest, ReadersOfAQuietPlatformAreNotReplaced)
{
    Fleet fleet(GetParam());
    const auto readers = fleet.readers();
    for (int i = 0; i < 100; ++i) {
        fleet.runFor(100ms);
        EXPECT_EQ(fleet.readers(), readers);
    }
}

INSTANTIATE_TEST_SUITE_P(NodesPerZone, ReaderLossTest, testing::Values(3, 7, 42),
                         testing::PrintToStringParamName());
