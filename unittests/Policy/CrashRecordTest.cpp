#include "berylridge/Policy/CrashRecord.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

// A request crashes each target that runs it, and its caller sends it again through other routers.
// Each router hears of the same crash from several sides; counted twice, one crash would block a
// request that only happened to run beside the guilty one.
TEST(CrashRecord, EachEndedBootCountsOnce)
{
    PausedClock clock;
    CrashRecord record;
    EXPECT_TRUE(record.add(1, 100, clock.now()));
    EXPECT_FALSE(record.add(1, 100, clock.now()));
    EXPECT_FALSE(record.blockedFor(1, clock.now()));
    EXPECT_TRUE(record.add(1, 200, clock.now()));
    EXPECT_TRUE(record.blockedFor(1, clock.now()));
    EXPECT_FALSE(record.blockedFor(2, clock.now()));
}

TEST(CrashRecord, TheBlockEnds)
{
    PausedClock clock;
    CrashRecord record;
    record.add(1, 100, clock.now());
    record.add(1, 200, clock.now());
    clock.advance(11min);
    EXPECT_FALSE(record.blockedFor(1, clock.now()));
    record.expire(clock.now());
    EXPECT_EQ(record.crashes(1), 0U);
}
