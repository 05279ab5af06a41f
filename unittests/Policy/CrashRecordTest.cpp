#include "berylridge/Policy/CrashRecord.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

// A request crashes each target that runs it, and its caller sends it again through other routers.
// Each router hears of the same crash from several sides; counted twice, one crash would block a
// request that only happened to run beside the guilty one.
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

// A request crashed one target and its caller has sent it through other routers too. Were two of
// its sendings run at the same time, they would crash two targets more before anybody knows.
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

// Two targets lose their power while a common lookup runs on both. It has nothing to do with it,
// and the next whole answer shows so; otherwise everybody's lookup would be refused for ten
// minutes.
TEST(CrashRecord, CompleteAnswerClearsTheRecord)
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
