#include "berylridge/Policy/CrashRecord.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

// Guards against one crash being counted twice. Each router receives several reports of the same
// crash; counted twice, it would block a request that only happened to run beside the one that
// caused it.
TEST(CrashRecord, CountsEachBootOnce)
{
    ManualClock clock;
    CrashRecord record;
    EXPECT_TRUE(record.add(1, 100, clock.now()));
    EXPECT_FALSE(record.add(1, 100, clock.now()));
    EXPECT_FALSE(record.remainingBlockTime(1, clock.now()));
    EXPECT_TRUE(record.add(1, 200, clock.now()));
    EXPECT_TRUE(record.remainingBlockTime(1, clock.now()));
    EXPECT_FALSE(record.remainingBlockTime(2, clock.now()));
}

TEST(CrashRecord, BlockExpires)
{
    ManualClock clock;
    CrashRecord record;
    record.add(1, 100, clock.now());
    record.add(1, 200, clock.now());
    clock.advance(11min);
    EXPECT_FALSE(record.remainingBlockTime(1, clock.now()));
    record.expire(clock.now());
    EXPECT_EQ(record.crashes(1), 0U);
}

// Guards against two concurrent attempts of a request that crashed a target and that its caller
// resent through other routers. They would crash two more targets before the first result is known.
TEST(CrashRecord, HoldsOtherRequestsDuringTheRerun)
{
    ManualClock clock;
    CrashRecord record;
    EXPECT_FALSE(record.isHeld(1, clock.now()));
    record.add(1, 100, clock.now());
    EXPECT_TRUE(record.isHeld(1, clock.now()));
    EXPECT_FALSE(record.isHeld(2, clock.now()));
    clock.advance(5s);
    EXPECT_FALSE(record.isHeld(1, clock.now()));
}

// Guards against a common request being rejected for ten minutes because two targets lost their
// power while it ran on both. The next complete response shows that it did not cause the crashes.
TEST(CrashRecord, CompleteResponseClearsTheRecord)
{
    ManualClock clock;
    CrashRecord record;
    record.add(1, 100, clock.now());
    record.add(1, 200, clock.now());
    EXPECT_TRUE(record.remainingBlockTime(1, clock.now()));
    record.clear(1);
    EXPECT_FALSE(record.remainingBlockTime(1, clock.now()));
    EXPECT_FALSE(record.isHeld(1, clock.now()));
}
