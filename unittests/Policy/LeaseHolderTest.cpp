#include "berylridge/Policy/LeaseHolder.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

constexpr PoolId pool = 1;
constexpr TargetHash target = 2;
constexpr FlowId flow = 3;
const NodeId owner("owner");

PoolGrant grantOf(LeaseId lease, std::uint64_t number, TimePoint askedAt)
{
    PoolGrant grant;
    grant.pool = pool;
    grant.number = number;
    grant.demandSentAt = askedAt.time_since_epoch().count();
    grant.termMs = 2000;
    grant.quantumMs = 250;
    grant.leases.push_back({lease, target, flow});
    return grant;
}

} // namespace

// Guards against a grant that the network delayed for longer than its term. The owner has granted
// the slot to another node after the term; if the late grant were used, a cold target would get one
// request too many.
TEST(LeaseHolder, GrantReceivedAfterItsTermIsUnusable)
{
    ManualClock clock;
    LeaseHolder holder(pool);
    const TimePoint demandSentTime = clock.now();
    clock.advance(2100ms);
    for (const LeaseId lease :
         holder.onGrant(owner, 1, grantOf(10, 1, demandSentTime), clock.now()))
        EXPECT_FALSE(holder.canStartRequest(lease, clock.now()));
}

// Two grants are reordered by the network. The owner receives a demand that acknowledges the later
// one and considers the earlier one lost, so the holder must ignore it when it arrives.
TEST(LeaseHolder, ReorderedGrantIsIgnored)
{
    ManualClock clock;
    LeaseHolder holder(pool);
    EXPECT_EQ(holder.onGrant(owner, 1, grantOf(11, 2, clock.now()), clock.now()).size(), 1U);
    EXPECT_TRUE(holder.onGrant(owner, 1, grantOf(10, 1, clock.now()), clock.now()).empty());
    EXPECT_FALSE(holder.find(10));
}

TEST(LeaseHolder, ShortRequestsShareALeaseUpToTheQuantum)
{
    ManualClock clock;
    LeaseHolder holder(pool);
    holder.onGrant(owner, 1, grantOf(10, 1, clock.now()), clock.now());
    int runs = 0;
    do {
        holder.begin(10);
        clock.advance(20ms);
        ++runs;
    } while (holder.end(10, 20ms, true, clock.now()));
    EXPECT_EQ(runs, 13);
    const ReturnedLease returned = holder.returnLease(10);
    EXPECT_EQ(returned.completed, 13U);
    EXPECT_EQ(returned.usedMs, 260U);
}

// The process resumes after a pause and holds leases. Their terms may still run by its clock, but
// the owner may have been replaced in the meantime, so none may be used again.
TEST(LeaseHolder, NoRequestStartsOnOldLeasesAfterAPause)
{
    ManualClock clock;
    LeaseHolder holder(pool);
    holder.onGrant(owner, 1, grantOf(10, 1, clock.now()), clock.now());
    holder.onGrant(owner, 1, grantOf(11, 2, clock.now()), clock.now());
    holder.begin(10);
    holder.dropIdleLeases();
    EXPECT_FALSE(holder.find(11));
    EXPECT_FALSE(holder.end(10, 1ms, true, clock.now()));
}

TEST(LeaseHolder, OwnerViewIsStaleWithoutReportedDemand)
{
    ManualClock clock;
    LeaseHolder holder(pool);
    EXPECT_TRUE(holder.isOwnerViewStale(flow, 1));
    holder.demandMessage({{flow, 4, 0, 100}}, clock.now());
    EXPECT_FALSE(holder.isOwnerViewStale(flow, 5));
    EXPECT_TRUE(holder.isOwnerViewStale(flow, 9));
    EXPECT_FALSE(holder.isOwnerViewStale(flow, 0));
}
