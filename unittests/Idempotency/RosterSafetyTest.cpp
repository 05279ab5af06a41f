#include "berylridge/Support/Hash.h"

#include "Idempotency/KeyFleet.h"

#include <gtest/gtest.h>
#include <map>
#include <set>

using namespace berylridge;
using namespace berylridge::test;

namespace {

/// Three witnesses of a list, by rendezvous hash: what each router works out by itself.
std::vector<std::string> witnessesByHash(const std::string &key, std::vector<std::string> list)
{
    std::sort(list.begin(), list.end(), [&](const std::string &a, const std::string &b) {
        return rendezvousWeight(key, a) > rendezvousWeight(key, b);
    });
    list.resize(3);
    return list;
}

/// The scheme that the trap is for: a majority of the hash over the list that the router holds.
class ListHashVoting
{
public:
    bool isAdmitted(const std::string &router, const std::vector<std::string> &witnesses,
                    const std::set<std::string> &reachable)
    {
        std::size_t yes = 0;
        for (const std::string &witness : witnesses) {
            if (reachable.contains(witness))
                yes += m_holders.try_emplace(witness, router).first->second == router ? 1 : 0;
        }
        return yes * 2 > witnesses.size();
    }

private:
    std::map<std::string, std::string> m_holders;
};

/// Two names that displace the first two of {a, b, c} in the key's hash.
std::vector<std::string> displacingNames(const std::string &key, const std::string &last)
{
    std::vector<std::string> found;
    for (int i = 0; found.size() < 2; ++i) {
        const std::string name = "x" + std::to_string(i);
        const auto witnesses = witnessesByHash(key, {"a", "b", "c", name});
        const bool isIn = std::find(witnesses.begin(), witnesses.end(), name) != witnesses.end();
        if (isIn && rendezvousWeight(key, name) > rendezvousWeight(key, last))
            found.push_back(name);
    }
    return found;
}

} // namespace

// Witnesses a, b and c. a and b are cut off together with one router. Meanwhile two added VMs
// displace a and b in the hash. Both sides find a majority, and the purchase runs twice.
TEST(RosterSafety, MajorityOfLatestListAdmitsKeyTwice)
{
    const std::string key = "purchase";
    // c stays among the three, so the other two give way.
    const auto added = displacingNames(key, "c");
    ListHashVoting votes;
    const bool isAdmittedInPartition
        = votes.isAdmitted("a", witnessesByHash(key, {"a", "b", "c"}), {"a", "b"});
    const auto later = witnessesByHash(key, {"a", "b", "c", added[0], added[1]});
    const bool isAdmittedOutsidePartition = votes.isAdmitted("c", later, {"c", added[0], added[1]});
    EXPECT_TRUE(isAdmittedInPartition);
    EXPECT_TRUE(isAdmittedOutsidePartition);
}

// The same failure with the registries: three witnesses, a cut between {a1, b1} and {c1} for an
// hour, two added VMs on the side of c1 and a list that drops none. The side of c1 can't have the
// consent of a1 and b1, so it makes no roster of its own and refuses.
TEST(RosterSafety, PartitionedMajorityRetainsItsKeys)
{
    KeyFleet fleet;
    fleet.publishVmList({{"a1", "a"}, {"b1", "b"}, {"c1", "c"}});
    for (const std::string name : {"a1", "b1", "c1"})
        fleet.start(name, name.substr(0, 1));
    fleet.run(std::chrono::seconds(10));

    const std::set<std::string> partitioned {"a1", "b1"};
    fleet.isLost = [&](const FakeMessage &message) {
        return partitioned.contains(message.from.node.str())
            != partitioned.contains(message.to.str());
    };
    fleet.publishVmList({{"a1", "a"}, {"b1", "b"}, {"c1", "c"}, {"c2", "c"}, {"c3", "c"}});
    fleet.setList("c1");
    fleet.start("c2", "c");
    fleet.start("c3", "c");
    fleet.run(std::chrono::minutes(59));

    const std::string key = timestampedKey(fleet.wall());
    fleet.begin("a1", key);
    fleet.begin("c1", key, 2);
    fleet.begin("c2", key, 3);
    fleet.run(std::chrono::seconds(3));
    EXPECT_EQ(fleet.admissions(), 1U);

    // The cut heals: all five agree, and keys are served on both sides again.
    fleet.isLost = [](const FakeMessage &) { return false; };
    fleet.setListEverywhere();
    fleet.run(std::chrono::seconds(15));
    EXPECT_EQ(fleet.at("c2").rosters().lastActive()->members.size(), 5U);
    fleet.begin("c3", timestampedKey(fleet.wall()), 4);
    fleet.deliverAll();
    EXPECT_EQ(fleet.admissions(), 2U);
}

// Two of the witnesses die for good just when the fleet is cut, and one restarts: the rest are too
// few. The list drops the dead only later. Until then nobody may start anew beside them.
TEST(RosterSafety, UnresponsiveWitnessesAreNotTreatedAsTerminated)
{
    KeyFleet fleet = startNineNodes();
    for (const std::string name : {"a1", "a2", "a3", "b1", "b2"})
        fleet.loseVm(name);
    fleet.run(std::chrono::minutes(10));
    fleet.begin("c1", timestampedKey(fleet.wall()));
    fleet.run(std::chrono::seconds(3));
    EXPECT_EQ(fleet.admissions(), 0U);

    fleet.publishVmList({{"b3", "b"}, {"c1", "c"}, {"c2", "c"}, {"c3", "c"}});
    fleet.setListEverywhere();
    fleet.run(std::chrono::seconds(10));
    fleet.begin("c1", timestampedKey(fleet.wall()), 2);
    fleet.deliverAll();
    EXPECT_EQ(fleet.admissions(), 1U);
}
