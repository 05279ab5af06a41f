#include "berylridge/Policy/DispatchNoticeFilter.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t nodeCount = 67;
constexpr std::size_t shortRequestsPerLongOne = 9;
constexpr Duration shortBusy = 20ms;
constexpr Duration longBusy = 300ms;

struct Reported
{
    std::size_t longRequests = 0;
    std::size_t shortRequests = 0;
};

/// Counts what one node reports in ten seconds, after five seconds of the same load.
Reported reportedRequests(double requestsPerSecond)
{
    ManualClock clock;
    DispatchNoticeFilter filter;
    Reported reported;
    const Duration interval = fromSeconds(1 / requestsPerSecond);
    const TimePoint start = clock.now() + 5s;
    for (std::size_t i = 0; clock.now() < start + 10s; ++i, clock.advance(interval)) {
        const bool isLong = i % (shortRequestsPerLongOne + 1) == 0;
        if (!filter.accepts(isLong ? longBusy : shortBusy, nodeCount, clock.now())
            || clock.now() < start)
            continue;
        ++(isLong ? reported.longRequests : reported.shortRequests);
    }
    return reported;
}

} // namespace

// Each notice reaches all nodes. If each node reported each request, a fleet under load would spend
// its processors on notices.
TEST(DispatchNoticeFilter, FleetStaysNearItsRate)
{
    const Reported reported = reportedRequests(500);
    const double perSecond
        = static_cast<double>(reported.longRequests + reported.shortRequests) / 10;
    EXPECT_LE(perSecond * nodeCount, 1.25 * DispatchNoticeFilter::maxReceivedPerSecond);
}

// A short prompt that is reported in place of a long one leaves the other nodes unaware of the
// target that is busy for longest.
TEST(DispatchNoticeFilter, ReportsLongRequestsFirst)
{
    const Reported reported = reportedRequests(20);
    EXPECT_GE(reported.longRequests, 18U) << "of 20";
    EXPECT_LT(reported.shortRequests, 20U) << "of 180";
}

// A node with little load has room to report all its requests.
TEST(DispatchNoticeFilter, ReportsEachRequestAtLowLoad)
{
    const Reported reported = reportedRequests(2);
    EXPECT_EQ(reported.longRequests + reported.shortRequests, 20U);
}
