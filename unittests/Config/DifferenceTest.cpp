// Tests the description of a change that operators see before they publish it.
#include "berylridge/Config/Difference.h"

#include <gtest/gtest.h>

using namespace berylridge;

namespace {

ServiceDocument service()
{
    ServiceDocument document;
    document.service = ServiceId("shop");
    document.slots = 4;
    document.workspaces
        = {{WorkspaceId("hue"), 1, "d1", 64}, {WorkspaceId("bat-trang"), 3, "d2", 64}};
    document.targets = {{TargetId("shop.a1"), ZoneId("a"), "10.0.2.1", 9001, false, false},
                        {TargetId("shop.b1"), ZoneId("b"), "10.0.3.1", 9001, false, false}};
    return document;
}

using Lines = std::vector<std::string>;

} // namespace

TEST(Difference, NothingChanged)
{
    const auto difference = compareServices(service(), service());
    EXPECT_TRUE(difference.changes.empty());
    EXPECT_TRUE(difference.warnings.empty());
}

// Raising the weight of a large workspace reduces the share of a small one, although the small
// workspace's own line does not change. The operator must be warned before publishing.
TEST(Difference, ReducedShareCausesAWarning)
{
    auto next = service();
    next.workspaces[1].weight = 9;
    const auto difference = compareServices(service(), next);
    EXPECT_EQ(difference.changes,
              (Lines {"workspace hue share 25% -> 10%", "workspace bat-trang share 75% -> 90%"}));
    EXPECT_EQ(difference.warnings,
              Lines {"workspace hue share 25% -> 10% exceeds the allowed reduction"});
}

TEST(Difference, LeavingTargetReducesTheServicesSlots)
{
    auto next = service();
    next.targets[0].isLeaving = true;
    const auto difference = compareServices(service(), next);
    EXPECT_EQ(difference.changes,
              (Lines {"target shop.a1 zone a 10.0.2.1:9001 -> zone a 10.0.2.1:9001 leaving",
                      "number of slots of all remaining targets 8 -> 4"}));
    EXPECT_EQ(difference.warnings, Lines {"the service loses slots: 8 -> 4"});
}

TEST(Difference, ReportsRemovedAndAddedWorkspaces)
{
    auto next = service();
    next.workspaces[0].workspace = WorkspaceId("hoi-an");
    const auto difference = compareServices(service(), next);
    EXPECT_EQ(difference.changes,
              (Lines {"workspace hue removed", "workspace hoi-an added (share 25%)"}));
    EXPECT_EQ(difference.warnings,
              Lines {"workspace hue loses the service: its callers will be refused"});
}

TEST(Difference, ReportsZonesTakenOutAndReturned)
{
    const FleetDocument before {1, {ZoneId("a")}};
    const FleetDocument next {2, {ZoneId("b")}};
    const auto difference = compareFleets(before, next);
    EXPECT_EQ(difference.changes,
              (Lines {"zone a returns to service", "zone b goes out of service"}));
    EXPECT_EQ(difference.warnings, Lines {"zone b receives no new requests"});
}
