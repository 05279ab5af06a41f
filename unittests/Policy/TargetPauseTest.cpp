// Tests pauses that targets ask for, and the attempts that are held back meanwhile.
#include "berylridge/Policy/TargetPause.h"
#include "berylridge/Policy/TargetHolds.h"

#include <gtest/gtest.h>
#include <set>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

const TimePoint start {100s};
const TargetId target("t");

} // namespace

// Guards against a pause that is shorter than the target asked for, or much longer.
TEST(TargetPause, LastsAsLongAsAskedForAndALittleLonger)
{
    RandomEngine random(1);
    for (int i = 0; i < 100; ++i) {
        TargetPause pause;
        EXPECT_TRUE(pause.begin(3s, random, start));
        EXPECT_FALSE(pause.isOpen(start + 3s - 1ms));
        EXPECT_TRUE(pause.isOpen(start + 3500ms));
    }
}

// Guards against nodes that were asked at the same time and return at the same time.
TEST(TargetPause, EndsAtDifferentTimesOnDifferentNodes)
{
    std::set<TimePoint> ends;
    for (std::uint64_t node = 0; node < 20; ++node) {
        RandomEngine random(node);
        TargetPause pause;
        pause.begin(3s, random, start);
        ends.insert(pause.endsAt());
    }
    EXPECT_GT(ends.size(), 15U);
}

// Guards against a target that nobody tries again because a request that tried it was lost.
TEST(TargetPause, AnotherRequestTriesIfTheFirstGetsNoResponse)
{
    RandomEngine random(1);
    TargetPause pause;
    pause.begin(1s, random, start);
    const TimePoint end = pause.endsAt();
    pause.onRequestSent(end);
    EXPECT_FALSE(pause.isOpen(end + 500ms));
    EXPECT_TRUE(pause.isOpen(end + 700ms));
    pause.onRequestSent(end + 700ms);
    EXPECT_FALSE(pause.isOpen(end + 800ms));
    pause.onResponseStarted(end + 800ms);
    EXPECT_TRUE(pause.isOpen(end + 800ms));
    pause.onRequestSent(end + 800ms);
    EXPECT_TRUE(pause.isOpen(end + 800ms)) << "no trial after a response";
}

TEST(TargetPause, IsBounded)
{
    RandomEngine random(1);
    TargetPause pause;
    pause.begin(24h, random, start);
    EXPECT_FALSE(pause.isOpen(start + TargetPause::maxPause - 1ms));
    EXPECT_TRUE(pause.isOpen(start + TargetPause::maxPause + 1s));
}

// Guards against attempts at a new boot that are held back because of the earlier one.
TEST(TargetHolds, ConcernOneBootForABoundedTime)
{
    TargetHolds holds;
    EXPECT_FALSE(holds.contains(target, 1, start));
    holds.add(target, 1, 2s, start);
    holds.add(target, 1, 1s, start);
    EXPECT_TRUE(holds.contains(target, 1, start + 1900ms));
    EXPECT_FALSE(holds.contains(target, 1, start + 2s));
    EXPECT_FALSE(holds.contains(target, 2, start + 1s));
    holds.add(target, 2, Duration::max(), start);
    EXPECT_FALSE(holds.contains(target, 1, start + 1s));
    EXPECT_TRUE(holds.contains(target, 2, start + 1s));
    EXPECT_FALSE(holds.contains(target, 2, start + TargetHolds::maxHold));
}
