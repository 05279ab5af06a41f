#include "Idempotency/KeyFleet.h"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck.h>
#include <set>

using namespace berylridge;
using namespace berylridge::test;

namespace {

const std::vector<std::string> names {"a1", "a2", "b1", "b2", "c1", "c2"};

std::string zoneOf(const std::string &name)
{
    return name.substr(0, 1);
}

/// A fleet with randomly injected faults that records what callers and targets observe.
class FaultInjectionFleet
{
public:
    explicit FaultInjectionFleet(std::uint64_t seed)
        : m_random(seed)
    {
        publishVmList();
        for (const std::string &name : names)
            m_fleet.start(name, zoneOf(name));
        m_fleet.run(std::chrono::seconds(8));
        m_fleet.isLost = [this](const FakeMessage &message) { return isLost(message); };
    }

    void step()
    {
        switch (randomBelow(14)) {
        case 0:
            m_partitionedZone = randomBelow(2) == 0 ? "" : zoneOf(randomNode());
            break;
        case 1:
            m_lossPercent = randomBelow(3) * 20;
            break;
        case 2:
            if (randomBelow(4) == 0)
                restart(randomNode());
            break;
        case 3:
            m_fleet.nodes.at(NodeId(randomNode()))->isPaused = randomBelow(2) == 0;
            break;
        case 4:
            publishVmList();
            m_fleet.setList(randomNode());
            break;
        case 5:
            m_fleet.setListEverywhere();
            break;
        case 6:
            m_fleet.reportTerminated(randomNode());
            break;
        case 7:
            dispatchRandomKeys();
            break;
        case 8:
            releaseRandomKeys();
            break;
        case 9:
            if (randomBelow(3) == 0)
                healAndStabilize();
            break;
        default:
            beginRandomKey();
            break;
        }
        m_fleet.run(std::chrono::milliseconds(50 * (1 + randomBelow(30))));
        checkDecisions();
    }

    std::size_t duplicateDispatches() const { return m_duplicateDispatches; }
    std::size_t falseNotRun() const { return m_falseNotRun; }
    std::size_t dispatches() const { return m_dispatched.size(); }

private:
    std::size_t randomBelow(std::size_t count) { return m_random() % count; }
    const std::string &randomNode() { return names[randomBelow(names.size())]; }

    /// Removes all faults for long enough that the nodes agree on a new roster.
    void healAndStabilize()
    {
        m_partitionedZone.clear();
        m_lossPercent = 0;
        for (const std::string &name : names)
            m_fleet.nodes.at(NodeId(name))->isPaused = false;
        m_fleet.run(std::chrono::seconds(8));
    }

    bool isLost(const FakeMessage &message)
    {
        const bool isPartitioned = !m_partitionedZone.empty()
            && (zoneOf(message.from.node.str()) == m_partitionedZone)
                != (zoneOf(message.to.str()) == m_partitionedZone);
        return isPartitioned || randomBelow(100) < m_lossPercent;
    }

    void publishVmList()
    {
        std::vector<std::pair<std::string, std::string>> vms;
        vms.reserve(names.size());
        for (const std::string &name : names)
            vms.emplace_back(name, zoneOf(name));
        m_fleet.publishVmList(vms);
    }

    void restart(const std::string &name)
    {
        m_fleet.kill(name);
        m_fleet.start(name, zoneOf(name));
    }

    void beginRandomKey()
    {
        if (m_keys.empty() || randomBelow(3) == 0)
            m_keys.push_back(timestampedKey(m_fleet.wall(), ++m_number));
        // Callers repeat one of their latest keys through any router.
        const std::string &key
            = m_keys[m_keys.size() - 1 - randomBelow(std::min<std::size_t>(3, m_keys.size()))];
        m_fleet.begin(randomNode(), key);
        m_fleet.begin(randomNode(), key, 2);
    }

    void dispatchRandomKeys()
    {
        for (const std::string &name : names) {
            KeyRegistry &registry = m_fleet.at(name);
            for (const std::string &key : m_keys) {
                if (randomBelow(2) == 0
                    || !registry.mayDispatch(key, m_fleet.now(), m_fleet.wall()))
                    continue;
                registry.dispatched(key);
                m_duplicateDispatches += m_dispatched.insert(key).second ? 0 : 1;
                if (randomBelow(2) == 0)
                    registry.finished(key, 200, {}, "done");
            }
        }
    }

    void releaseRandomKeys()
    {
        const std::string &name = randomNode();
        for (const std::string &key : m_keys) {
            if (m_fleet.at(name).phase(key) > KeyPhase::Admitted)
                continue;
            if (m_fleet.release(name, key) == Verdict::NotRun && m_dispatched.contains(key))
                ++m_falseNotRun;
        }
    }

    void checkDecisions()
    {
        for (const KeyDecision &decision : m_fleet.decisions) {
            const auto *refused = std::get_if<KeyRefused>(&decision);
            if (refused && refused->verdict == Verdict::NotRun
                && m_dispatched.contains(refused->key)) {
                ++m_falseNotRun;
            }
        }
        m_fleet.decisions.clear();
    }

    std::mt19937_64 m_random;
    KeyFleet m_fleet;
    std::string m_partitionedZone;
    std::size_t m_lossPercent = 0;
    std::vector<std::string> m_keys;
    unsigned m_number = 0;
    std::set<std::string> m_dispatched;
    std::size_t m_duplicateDispatches = 0;
    std::size_t m_falseNotRun = 0;
};

} // namespace

// Partitions, message loss, restarts, pauses and VM list updates are injected at random while
// callers repeat their keys through any router. Guards against a key that is dispatched twice, and
// against a dispatched key that is reported as not run.
TEST(KeyProperty, NoKeyIsDispatchedTwiceUnderRandomFaults)
{
    std::size_t dispatches = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        FaultInjectionFleet fleet(seed);
        for (int i = 0; i < 150; ++i)
            fleet.step();
        EXPECT_EQ(fleet.duplicateDispatches(), 0U) << "seed " << seed;
        EXPECT_EQ(fleet.falseNotRun(), 0U) << "seed " << seed;
        dispatches += fleet.dispatches();
    }
    EXPECT_GT(dispatches, 1000U);
}

// Any text of a caller must parse as a key, and any issued key must parse to the values that it was
// formatted from. rapidcheck generates both with its own seed, which it prints on failure.
TEST(KeyProperty, ParsesAnyTextAndRoundTripsIssuedKeys)
{
    const bool isSatisfied = rc::check(
        "issued keys round-trip",
        [](std::uint32_t time, std::uint64_t incarnation, std::uint64_t number) {
            const ParsedKey made {KeyKind::Issued, WallTime(std::chrono::milliseconds(time)),
                                  NodeId("n-1"), incarnation, number};
            const ParsedKey read
                = parseKey(scopedKey(ServiceId("s"), WorkspaceId("w"), formatIssuedKey(made)));
            RC_ASSERT(read.kind == KeyKind::Issued);
            RC_ASSERT(read.createdAt == made.createdAt && read.issuerIncarnation == incarnation
                      && read.sequence == number);
        });
    EXPECT_TRUE(isSatisfied);
    const bool isRead = rc::check("any text parses as a key", [](const std::string &text) {
        const KeyKind kind = parseKey(scopedKey(ServiceId("s"), WorkspaceId("w"), text)).kind;
        RC_ASSERT(kind <= KeyKind::Issued);
    });
    EXPECT_TRUE(isRead);
}
