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
    clock.advance(1ms);
    record.clear(1, clock.now(), clock.now());
    EXPECT_FALSE(record.remainingBlockTime(1, clock.now()));
    EXPECT_FALSE(record.isHeld(1, clock.now()));
}

// Guards against a crash that counts again because its report took a longer way than the clearance.
TEST(CrashRecord, ClearanceOutweighsReportsInAnyOrder)
{
    ManualClock clock;
    CrashRecord record;
    EXPECT_TRUE(record.clear(1, 100, clock.now()));
    EXPECT_FALSE(record.add(1, 100, clock.now()));
    record.add(1, 200, clock.now());
    const TimePoint before = clock.now();
    clock.advance(1ms);
    EXPECT_TRUE(record.clear(1, before, clock.now()).empty()) << "it began before the end";
    EXPECT_EQ(record.clear(1, clock.now(), clock.now()), std::vector<std::uint64_t>({200}));
    EXPECT_FALSE(record.clear(1, 200, clock.now()));
    EXPECT_FALSE(record.add(1, 200, clock.now()));
    EXPECT_EQ(record.crashes(1), 0U);
}

TEST(CrashRecord, TargetThatStillRespondsClearsAllThatRanThere)
{
    ManualClock clock;
    CrashRecord record;
    record.add(1, 100, clock.now());
    record.add(2, 100, clock.now());
    record.add(2, 200, clock.now());
    EXPECT_EQ(record.clearBoot(100, clock.now(), clock.now()), std::vector<std::uint64_t>({1, 2}));
    EXPECT_EQ(record.crashes(1), 0U);
    EXPECT_EQ(record.crashes(2), 1U);
}

namespace {

/// Returns the time until a rerun of the subject is permitted at a node without delay, in steps of
/// a second.
Duration timeToRerun(CrashRecord &record, std::uint64_t subject, ManualClock &clock)
{
    const TimePoint begin = clock.now();
    const std::vector<std::uint64_t> subjects {subject};
    while (!record.isRerunDue(subject, subjects, Duration(0), clock.now()))
        clock.advance(1s);
    record.beginRerun(subject, clock.now());
    return clock.now() - begin;
}

} // namespace

// Guards against a subject that keeps ending targets because it is tried again and again, and
// against one that is never tried again.
TEST(CrashRecord, RerunsOfAQuarantinedSubjectGetRarer)
{
    ManualClock clock;
    CrashRecord record({.maxCrashes = 3});
    for (std::uint64_t boot = 1; boot <= 3; ++boot) {
        EXPECT_EQ(timeToRerun(record, 1, clock), Duration(0));
        record.add(1, boot, clock.now());
    }
    EXPECT_EQ(timeToRerun(record, 1, clock), Duration(1s));
    record.add(1, 4, clock.now());
    EXPECT_EQ(timeToRerun(record, 1, clock), Duration(1s));
    record.add(1, 5, clock.now());
    EXPECT_EQ(timeToRerun(record, 1, clock), Duration(15s));
    record.add(1, 6, clock.now());
    EXPECT_EQ(timeToRerun(record, 1, clock), Duration(60s));
    record.add(1, 7, clock.now());
    EXPECT_EQ(timeToRerun(record, 1, clock), Duration(10min));
    // Another request of this node waits for the result.
    EXPECT_GE(timeToRerun(record, 1, clock), Duration(5s));
}

// Guards against a sound subject that stays refused because only requests with the crashing one use
// it at the moment.
TEST(CrashRecord, SubjectThatAnotherOneExplainsIsRerunAtOnce)
{
    ManualClock clock;
    CrashRecord record;
    for (const std::uint64_t boot : {100, 200, 210, 220}) { // After two reruns.
        record.add(1, boot, clock.now());
        record.add(2, boot, clock.now());
    }
    const std::vector<std::uint64_t> both {1, 2};
    EXPECT_FALSE(record.isRerunDue(1, both, Duration(0), clock.now()));
    const std::vector<std::uint64_t> alone {1};
    EXPECT_FALSE(record.isRerunDue(1, alone, 1s, clock.now())) << "another node comes first";
    EXPECT_TRUE(record.isRerunDue(1, alone, Duration(0), clock.now()));
    record.add(1, 300, clock.now());
    clock.advance(6s);
    EXPECT_FALSE(record.isRerunDue(1, alone, Duration(0), clock.now()));
}

TEST(CrashRecord, SubjectsBeyondTheLimitAreForgotten)
{
    ManualClock clock;
    CrashRecord record({.maxSubjects = 2});
    for (std::uint64_t subject = 1; subject <= 3; ++subject) {
        record.add(subject, 100, clock.now());
        clock.advance(1s);
    }
    EXPECT_EQ(record.crashes(1), 0U);
    EXPECT_EQ(record.crashes(2), 1U);
    EXPECT_EQ(record.crashes(3), 1U);
}

// Guards against a verdict that nodes keep alive by repeating it to each other.
TEST(CrashRecord, KnownReportsDoNotKeepAVerdictCurrent)
{
    ManualClock clock;
    CrashRecord record;
    record.add(1, 100, clock.now());
    record.add(1, 200, clock.now());
    const auto quarantinedCount = [&] {
        int count = 0;
        record.forEachQuarantined(clock.now(), [&](std::uint64_t, std::uint64_t) { ++count; });
        return count;
    };
    EXPECT_EQ(quarantinedCount(), 2);
    clock.advance(9min);
    record.add(1, 200, clock.now());
    clock.advance(2min);
    record.expire(clock.now());
    EXPECT_TRUE(record.isQuarantined(1));
    EXPECT_EQ(quarantinedCount(), 0);
    clock.advance(9min);
    record.expire(clock.now());
    EXPECT_FALSE(record.isQuarantined(1));
}

// Guards against a record of a subject in use that grows with each target that ends.
TEST(CrashRecord, ClearedReportsExpireWhileTheSubjectIsInUse)
{
    ManualClock clock;
    CrashRecord record;
    record.add(1, 100, clock.now());
    clock.advance(1ms);
    record.clear(1, clock.now(), clock.now());
    for (int i = 0; i < 90; ++i) {
        clock.advance(1s);
        record.add(1, 200, clock.now());
        record.clear(1, clock.now(), clock.now());
        record.expire(clock.now());
    }
    EXPECT_TRUE(record.add(1, 100, clock.now())) << "the clearance is forgotten";
}

// Guards against a quarantined part that runs again because reports of many others displace it.
TEST(CrashRecord, QuarantinedSubjectsAreForgottenLast)
{
    ManualClock clock;
    CrashRecord record({.maxSubjects = 4});
    record.add(1, 100, clock.now());
    record.add(1, 200, clock.now());
    for (std::uint64_t subject = 2; subject < 20; ++subject) {
        clock.advance(1ms);
        record.add(subject, 300, clock.now());
    }
    EXPECT_TRUE(record.isQuarantined(1));
}

namespace {

CrashRecordOptions optionsOfParts()
{
    return {.maxCrashes = 3, .simultaneousTime = 60ms};
}

} // namespace

// Guards against a fault that breaks connections to a few targets within milliseconds being counted
// as several crashes that one subject caused.
TEST(CrashRecord, BootsThatBreakWithinMillisecondsAreOneCrash)
{
    ManualClock clock;
    CrashRecord record(optionsOfParts());
    for (std::uint64_t boot = 1; boot <= 3; ++boot) {
        record.add(1, boot, clock.now());
        clock.advance(20ms);
    }
    EXPECT_EQ(record.crashes(1), 1U);
    for (std::uint64_t boot = 4; boot <= 5; ++boot) {
        clock.advance(100ms);
        record.add(1, boot, clock.now());
    }
    EXPECT_TRUE(record.isQuarantined(1));
}

// Guards against overloaded nodes that notice broken connections late: their reports would make
// several crashes out of one fault that interrupted many targets.
TEST(CrashRecord, LateReportsOfAMassInterruptionAreOneCrash)
{
    ManualClock clock;
    CrashRecord record(optionsOfParts());
    for (std::uint64_t boot = 100; boot < 104; ++boot)
        record.addBoot(boot, clock.now());
    for (std::uint64_t boot = 1; boot <= 4; ++boot) {
        clock.advance(100ms);
        record.add(1, boot, clock.now());
    }
    EXPECT_EQ(record.crashes(1), 1U);
    clock.advance(400ms);
    record.add(1, 5, clock.now());
    EXPECT_EQ(record.crashes(1), 2U);
}

// Guards against reports that arrive late, by another way, being placed at the time of their
// arrival.
TEST(CrashRecord, CrashesAreOrderedByWhenTheyWereObserved)
{
    ManualClock clock;
    CrashRecord record(optionsOfParts());
    const TimePoint begin = clock.now();
    for (std::uint64_t boot = 1; boot <= 4; ++boot) {
        clock.advance(300ms);
        record.add(1, boot, begin, clock.now());
    }
    EXPECT_EQ(record.crashes(1), 1U);
    record.clearBoot(1, begin, clock.now());
    EXPECT_EQ(record.crashes(1), 1U);
}
