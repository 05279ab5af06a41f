#include "berylridge/Policy/Pool.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace berylridge;

namespace {

ServiceDocument documentWith(std::size_t targets)
{
    ServiceDocument document;
    document.service = ServiceId("assistant");
    for (std::size_t i = 0; i < targets; ++i) {
        TargetSpec spec;
        spec.target = TargetId("t" + std::to_string(i));
        spec.zone = ZoneId(i % 2 == 0 ? "a" : "b");
        document.targets.push_back(spec);
    }
    return document;
}

} // namespace

TEST(Pool, EachTargetIsInOnePoolOfItsZone)
{
    const ServiceDocument document = documentWith(100);
    std::size_t count = 0;
    for (const Pool &pool : splitIntoPools(document)) {
        for (const TargetSpec &target : pool.targets)
            EXPECT_EQ(target.zone, pool.zone);
        count += pool.targets.size();
    }
    EXPECT_EQ(count, 100U);
}

TEST(Pool, LargeZonesAreSplit)
{
    EXPECT_EQ(splitIntoPools(documentWith(20)).size(), 2U);
    EXPECT_EQ(splitIntoPools(documentWith(100)).size(), 8U);
}

TEST(Pool, TheOrderOfCandidatesDoesNotChangeTheOwner)
{
    std::vector<NodeId> nodes {NodeId("n1"), NodeId("n2"), NodeId("n3")};
    const NodeId owner = rendezvousWinner("assistant|a|0", nodes);
    std::reverse(nodes.begin(), nodes.end());
    EXPECT_EQ(rendezvousWinner("assistant|a|0", nodes), owner);
    EXPECT_TRUE(rendezvousWinner("assistant|a|0", {}).isEmpty());
}
