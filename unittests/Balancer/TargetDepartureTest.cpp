// Tests what a fleet does with targets that leave, and with entries that lapse, around outages of
// the platform's store. BERYLRIDGE_DEPARTURE_SEEDS sets the number of seeds.
#include "DepartureFleet.h"

#include <cstdlib>
#include <gtest/gtest.h>
#include <sstream>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t defaultSeeds = 12;
/// The users' bounds: a target gets no requests later than this after the store has acknowledged
/// that it leaves, from nodes that have been in touch with the store for long enough.
constexpr Duration departureLimit = 2000ms;
constexpr Duration inTouchTime = 3000ms;
/// Time within which the store lists live targets again whose entries lapsed.
constexpr Duration relistTime = 2000ms;

class TargetDepartureTest : public test::DepartureFleet, public testing::Test
{
protected:
    TargetDepartureTest()
        : DepartureFleet(1, smallZone)
    {
    }

    std::size_t nodesThatUse(const Target &target)
    {
        std::size_t count = 0;
        for (Node &each : m_fleet.nodes())
            count += isUsed(each, target) ? 1 : 0;
        return count;
    }
};

/// What fails besides the store and the nodes' paths to it.
enum class ReaderLoss { None, All };

/// Lets targets leave in the midst of random outages.
class RandomDepartures : public test::DepartureFleet
{
public:
    struct Result
    {
        std::size_t checks = 0;
        std::size_t outages = 0;
        std::size_t readerLosses = 0;
        std::size_t departures = 0;
        std::size_t lapses = 0;
        /// Requests of nodes in touch that reached a target later than departureLimit.
        std::size_t lateRequests = 0;
        Duration longest {0};
        /// Requests refused although the entry of their live target had only lapsed.
        std::size_t refusals = 0;
    };

    explicit RandomDepartures(std::uint64_t seed, ReaderLoss readerLoss = ReaderLoss::None)
        : DepartureFleet(seed, seed % 3 == 0 ? largeZone : smallZone)
        , m_readerLoss(readerLoss)
        , m_lossRandom(seed)
        , m_disturbedUntil(m_fleet.nodes().size(), Duration(0))
    {
    }

    Result run()
    {
        scheduleOutage();
        if (m_readerLoss == ReaderLoss::All)
            scheduleReaderLoss();
        for (std::size_t i = 1; i < m_targets.size(); ++i)
            m_schedule.add(randomTime(1s, runTime), [this, i] { departUnlessDown(i); });
        for (Duration at = checkInterval; at < runTime; at += checkInterval)
            m_schedule.add(at, [this] { check(); });
        runFor(runTime);
        return m_result;
    }

private:
    static constexpr Duration runTime = 40s;
    static constexpr Duration checkInterval = 50ms;
    static constexpr Duration entryLifetime = 3600ms;
    static constexpr std::size_t readersPerZone = 2;

    void scheduleOutage()
    {
        m_schedule.add(randomTime(500ms, 4s), [this] {
            ++m_result.outages;
            const Duration time = randomTime(1s, 6s);
            switch (randomIndex(4)) {
            case 0:
                takeStoreDown(time);
                break;
            case 1:
                cutZone(time);
                break;
            default:
                refuseNodes(time);
                break;
            }
        });
    }

    /// Kills or freezes the nodes that read the store, time and again; one or more of each zone
    /// live on.
    void scheduleReaderLoss()
    {
        const Duration delay = fromSeconds(1 + 5 * uniform(m_lossRandom));
        m_schedule.add(delay, [this] {
            ++m_result.readerLosses;
            const bool isKill = uniform(m_lossRandom) < 0.5;
            const Duration time = fromSeconds(0.5 + 4 * uniform(m_lossRandom));
            std::map<std::string, std::size_t> lostInZone;
            for (std::size_t i = 0; i < m_fleet.nodes().size(); ++i) {
                if (node(i).isReadingPlatform && lostInZone[node(i).zone]++ < readersPerZone)
                    loseNode(i, isKill, time);
            }
            m_schedule.add(time, [this] { scheduleReaderLoss(); });
        });
    }

    void loseNode(std::size_t index, bool isKill, Duration time)
    {
        Node &lost = node(index);
        m_disturbedUntil[index] = std::max(m_disturbedUntil[index], now() + time);
        if (isKill)
            test::SimulatedFleet::stopNode(lost);
        else
            test::SimulatedFleet::pauseNode(lost);
        m_schedule.add(time, [this, &lost, isKill] {
            if (isKill)
                m_fleet.startNode(lost);
            else
                m_fleet.resumeNode(lost);
        });
    }

    void refuseNodes(Duration time)
    {
        const std::size_t first = randomIndex(m_fleet.nodes().size());
        const std::size_t count = 1 + randomIndex(3);
        for (std::size_t i = 0; i < count; ++i)
            disturb((first + i) % m_fleet.nodes().size(), time);
        m_schedule.add(time, [this] { scheduleOutage(); });
    }

    void cutZone(Duration time)
    {
        const std::string zone = "z" + std::to_string(randomIndex(zones));
        m_fleet.cutZone(zone);
        for (std::size_t i = 0; i < m_fleet.nodes().size(); ++i) {
            if (node(i).zone == zone)
                disturb(i, time);
        }
        m_schedule.add(time, [this] {
            m_fleet.cutZone({});
            scheduleOutage();
        });
    }

    void takeStoreDown(Duration time)
    {
        m_store.setDown(true);
        m_storeDisturbedUntil = now() + time;
        if (time > entryLifetime)
            m_schedule.add(time - 10ms, [this] { lapse(); });
        m_schedule.add(time, [this] {
            m_store.setDown(false);
            scheduleOutage();
        });
    }

    /// Lets the entries of all targets lapse. The store lists live ones again after its return.
    void lapse()
    {
        for (const Target &target : m_targets) {
            if (target.leftAt)
                continue;
            ++m_result.lapses;
            m_store.remove(target.id);
            m_schedule.add(randomTime(50ms, relistTime - 500ms), [this, &target] {
                if (!target.leftAt)
                    m_store.list(recordOf(target));
            });
        }
    }

    void disturb(std::size_t index, Duration time)
    {
        m_store.setRefused(node(index), true);
        m_disturbedUntil[index] = std::max(m_disturbedUntil[index], now() + time);
        m_schedule.add(time, [this, index] { m_store.setRefused(node(index), false); });
    }

    void departUnlessDown(std::size_t index)
    {
        // A target can't register its departure with a store that is down.
        if (m_store.isDown()) {
            m_schedule.add(500ms, [this, index] { departUnlessDown(index); });
            return;
        }
        ++m_result.departures;
        leave(m_targets[index]);
    }

    void check()
    {
        for (std::size_t i = 0; i < m_fleet.nodes().size(); ++i) {
            if (!node(i).core || node(i).isPaused)
                continue;
            const bool isInTouch
                = now() - std::max(m_disturbedUntil[i], m_storeDisturbedUntil) >= inTouchTime;
            const bool isUndisturbed = now() - m_disturbedUntil[i] >= inTouchTime;
            for (const Target &target : m_targets) {
                if (!target.leftAt && !isUndisturbed)
                    continue;
                if (target.leftAt && (!isInTouch || now() - *target.leftAt <= departureLimit))
                    continue;
                ++m_result.checks;
                const bool isUsed = DepartureFleet::isUsed(node(i), target);
                if (!target.leftAt)
                    m_result.refusals += isUsed ? 0 : 1;
                else if (isUsed)
                    recordLateRequest(now() - *target.leftAt);
            }
        }
    }

    void recordLateRequest(Duration since)
    {
        ++m_result.lateRequests;
        m_result.longest = std::max(m_result.longest, since);
    }

    const ReaderLoss m_readerLoss;
    RandomEngine m_lossRandom;
    std::vector<Duration> m_disturbedUntil; ///< By node.
    Duration m_storeDisturbedUntil {0};
    Result m_result;
};

std::uint64_t seedCount()
{
    const char *text = std::getenv("BERYLRIDGE_DEPARTURE_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : defaultSeeds;
}

std::string describe(const RandomDepartures::Result &result)
{
    std::ostringstream text;
    text << "checks " << result.checks << ", outages " << result.outages << ", reader losses "
         << result.readerLosses << ", departures " << result.departures << ", lapses "
         << result.lapses << ", late requests " << result.lateRequests << " (longest "
         << toMilliseconds(result.longest) << " ms), refusals " << result.refusals;
    return text.str();
}

} // namespace

// Guards against requests to a target that leaves just after this node's path to the store is back.
TEST_F(TargetDepartureTest, DepartureAfterAnOutageOfOneNodeIsNoLapse)
{
    m_store.setRefused(node(0), true);
    runFor(4s);
    m_store.setRefused(node(0), false);
    runFor(1s);
    leave(m_targets[0]);
    runFor(200ms);
    EXPECT_EQ(nodesThatUse(m_targets[0]), 0U);
    EXPECT_EQ(nodesThatUse(m_targets[1]), m_fleet.nodes().size());
}

// Guards against nodes that use a target that has left, because a node whose path to the store was
// disturbed took the departure for a lapse.
TEST_F(TargetDepartureTest, DepartureAfterAnOutageOfAZoneIsNoLapse)
{
    m_fleet.cutZone("z0");
    for (Node &each : m_fleet.nodes())
        m_store.setRefused(each, each.zone == "z0");
    runFor(4s);
    m_fleet.cutZone({});
    for (Node &each : m_fleet.nodes())
        m_store.setRefused(each, false);
    runFor(1s);
    leave(m_targets[0]);
    runFor(200ms);
    EXPECT_EQ(nodesThatUse(m_targets[0]), 0U);
}

// Guards against a fleet that forgets all targets, and serves nothing, when the store is back and
// their entries have lapsed.
TEST_F(TargetDepartureTest, TargetsWhoseEntriesLapsedStayUsableUntilTheyAreListedAgain)
{
    m_store.setDown(true);
    runFor(5s);
    for (const Target &target : m_targets)
        m_store.remove(target.id);
    m_store.setDown(false);
    runFor(900ms);
    for (const Target &target : m_targets)
        EXPECT_EQ(nodesThatUse(target), m_fleet.nodes().size()) << target.id;
    for (std::size_t i = 1; i < m_targets.size(); ++i)
        m_store.list(recordOf(m_targets[i]));
    runFor(relistTime + 500ms);
    EXPECT_EQ(nodesThatUse(m_targets[0]), 0U);
    EXPECT_EQ(nodesThatUse(m_targets[1]), m_fleet.nodes().size());
}

// Guards against a fleet that forgets all targets because a node that was paused takes what it
// received before the pause for an answer during the outage.
TEST_F(TargetDepartureTest, AnswerThatWaitedForAPausedNodeDoesNotHideAnOutage)
{
    test::SimulatedFleet::pauseNode(node(0));
    runFor(1500ms);
    m_store.setDown(true);
    runFor(4s);
    m_fleet.resumeNode(node(0));
    runFor(1s);
    for (const Target &target : m_targets)
        m_store.remove(target.id);
    m_store.setDown(false);
    runFor(relistTime - 500ms);
    for (const Target &target : m_targets)
        EXPECT_EQ(nodesThatUse(target), m_fleet.nodes().size()) << target.id;
}

// Guards against requests to a target later than the users' bound after it left, and against
// refusals while the entries of live targets have lapsed, in the midst of random outages.
TEST(TargetDepartureFleetTest, NoRequestReachesATargetThatHasLeft)
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        const RandomDepartures::Result result = RandomDepartures(seed).run();
        EXPECT_EQ(result.lateRequests, 0U) << "seed " << seed << ": " << describe(result);
        EXPECT_EQ(result.refusals, 0U) << "seed " << seed << ": " << describe(result);
        EXPECT_GT(result.departures, 0U) << "seed " << seed;
    }
}

// Guards against the same where all nodes that read the platform fail together, time and again.
TEST(TargetDepartureFleetTest, NoRequestReachesATargetThatHasLeftWhileReadersFail)
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        const RandomDepartures::Result result = RandomDepartures(seed, ReaderLoss::All).run();
        EXPECT_EQ(result.lateRequests, 0U) << "seed " << seed << ": " << describe(result);
        EXPECT_EQ(result.refusals, 0U) << "seed " << seed << ": " << describe(result);
        EXPECT_GT(result.readerLosses, 0U) << "seed " << seed;
    }
}
