#include "berylridge/Support/Hash.h"

#include "Idempotency/KeyFleet.h"

#include <gtest/gtest.h>
#include <map>
#include <set>

using namespace berylridge;
using namespace berylridge::test;

namespace {

/// Returns three witnesses from a list by rendezvous hashing, as each router computes them on its
/// own.
std::vector<std::string> witnessesByHash(const std::string &key, std::vector<std::string> list)
{
    std::sort(list.begin(), list.end(), [&](const std::string &a, const std::string &b) {
        return rendezvousWeight(key, a) > rendezvousWeight(key, b);
    });
    list.resize(3);
    return list;
}

/// An unsafe scheme for comparison: a majority vote of the witnesses that the router computes from
/// its own VM list.
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

/// Returns two names that displace the first two of {a, b, c} in the key's hash order.
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

// The witnesses are a, b and c. A partition separates a, b and one router from the rest, while two
// added VMs displace a and b in the hash order. Both sides find a majority, so the key runs twice.
TEST(RosterSafety, MajorityOfLatestListAdmitsKeyTwice)
{
    const std::string key = "purchase";
    // c must remain one of the three witnesses so that a and b are displaced.
    const auto added = displacingNames(key, "c");
    ListHashVoting votes;
    const bool isAdmittedInPartition
        = votes.isAdmitted("a", witnessesByHash(key, {"a", "b", "c"}), {"a", "b"});
    const auto later = witnessesByHash(key, {"a", "b", "c", added[0], added[1]});
    const bool isAdmittedOutsidePartition = votes.isAdmitted("c", later, {"c", added[0], added[1]});
    EXPECT_TRUE(isAdmittedInPartition);
    EXPECT_TRUE(isAdmittedOutsidePartition);
}

// The same failure with the registries: three witnesses, a partition between {a1, b1} and {c1} for
// an hour, two VMs added on c1's side and a list that omits no node. c1's side cannot get the
// consent of a1 and b1, so it must create no roster and refuse keys.
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

    // After the partition ends, all five nodes agree and keys are admitted on both sides again.
    fleet.isLost = [](const FakeMessage &) { return false; };
    fleet.setListEverywhere();
    fleet.run(std::chrono::seconds(15));
    EXPECT_EQ(fleet.at("c2").rosters().lastActive()->members.size(), 5U);
    fleet.begin("c3", timestampedKey(fleet.wall()), 4);
    fleet.deliverAll();
    EXPECT_EQ(fleet.admissions(), 2U);
}

// Too few witnesses remain after five of nine have lost their VMs, and the VM list omits the lost
// ones only later. Until then the remaining nodes must not create a roster without them.
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
