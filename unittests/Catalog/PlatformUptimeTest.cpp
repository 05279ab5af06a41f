#include "berylridge/Catalog/PlatformUptime.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

/// Two nodes that read the platform, and one that doesn't.
class PlatformUptimeTest : public testing::Test
{
protected:
    PlatformUptimeTest() { clock.advance(100s); }

    /// Lets the platform answer the nodes for the given time, and these report to `receivers`.
    void readFor(Duration time, const std::vector<PlatformUptime *> &readers,
                 const std::vector<PlatformUptime *> &receivers = {})
    {
        for (Duration elapsed {0}; elapsed < time; elapsed += 1s) {
            for (PlatformUptime *reader : readers) {
                reader->onAnswered(clock.now());
                report(*reader, receivers);
            }
            clock.advance(1s);
        }
    }

    void report(const PlatformUptime &from, const std::vector<PlatformUptime *> &receivers)
    {
        const auto report = from.ownReport(clock.now());
        for (PlatformUptime *receiver : receivers) {
            if (report)
                receiver->onReported(*report, clock.now());
        }
    }

    Duration upFor(const PlatformUptime &uptime) const
    {
        return uptime.upSince() ? clock.now() - *uptime.upSince() : Duration(0);
    }

    ManualClock clock;
    PlatformUptime first;
    PlatformUptime second;
    PlatformUptime listener;
};

} // namespace

TEST_F(PlatformUptimeTest, NothingIsKnownBeforeTheFirstAnswer)
{
    EXPECT_FALSE(first.upSince());
    EXPECT_FALSE(first.answeredAt());
    EXPECT_FALSE(first.ownReport(clock.now()));
}

TEST_F(PlatformUptimeTest, PausesBetweenAnswersAreNoOutage)
{
    readFor(5s, {&first});
    EXPECT_EQ(upFor(first), 5s);
}

// Guards against a grace period for lapsed entries after an outage that only this node had.
TEST_F(PlatformUptimeTest, AnOutageOfOneNodeIsNoOutageOfThePlatform)
{
    readFor(5s, {&first, &second}, {&listener});
    readFor(6s, {&second}, {&listener, &first});
    readFor(1s, {&first, &second}, {&listener, &first});
    EXPECT_EQ(upFor(first), 12s);
    EXPECT_EQ(upFor(listener), 12s);
}

// Guards against the same after the node was cut off from its peers too: they tell it when it is
// back.
TEST_F(PlatformUptimeTest, PeersTellANodeThatWasCutOffThatThePlatformWasUp)
{
    readFor(5s, {&first, &second});
    readFor(6s, {&second});
    first.onAnswered(clock.now());
    EXPECT_EQ(upFor(first), 0s);
    report(first, {&second});
    EXPECT_EQ(upFor(second), 11s);
    report(second, {&first});
    EXPECT_EQ(upFor(first), 11s);
}

// Guards against nodes that keep the time of before an outage of the platform and take the lapse of
// its entries for departures.
TEST_F(PlatformUptimeTest, AnOutageOfThePlatformEndsWithItsFirstAnswer)
{
    readFor(5s, {&first, &second}, {&listener});
    clock.advance(4s);
    report(second, {&first, &listener});
    readFor(1s, {&first}, {&second, &listener});
    readFor(1s, {&first, &second}, {&second, &listener});
    EXPECT_EQ(upFor(first), 2s);
    EXPECT_EQ(upFor(second), 2s);
    EXPECT_EQ(upFor(listener), 2s);
}

// Guards against a report that was sent before an outage and arrives after it.
TEST_F(PlatformUptimeTest, OlderPeriodsDontReplaceTheNewest)
{
    readFor(5s, {&first});
    clock.advance(4s);
    first.onAnswered(clock.now());
    first.onReported({5s, 10s}, clock.now());
    EXPECT_EQ(upFor(first), 0s);
}

// Guards against a time without readers, who all failed together, that is taken for an outage: the
// departures in it would be taken for lapses.
TEST_F(PlatformUptimeTest, ATimeWithoutReadersIsNoOutage)
{
    listener.onReadingEnded();
    readFor(5s, {&first, &second}, {&listener});
    clock.advance(4s);
    listener.onReadingStarted(clock.now());
    clock.advance(10ms);
    listener.onAnswered(clock.now());
    EXPECT_FALSE(listener.outageEnd());
    EXPECT_GT(upFor(listener), 9s);
}

// Guards against the same where a node that has ceased to read reports how old its last answer is.
TEST_F(PlatformUptimeTest, AnOldAnswerOfAFormerReaderIsNoOutage)
{
    readFor(5s, {&first, &second}, {&second});
    first.onReadingEnded();
    readFor(6s, {&second});
    listener.onReadingEnded();
    report(first, {&listener});
    listener.onReadingStarted(clock.now());
    listener.onAnswered(clock.now());
    EXPECT_FALSE(listener.outageEnd());
}

// Guards against the lapses of an outage that are taken for departures by a node that begins to
// read in it, or that doesn't read.
TEST_F(PlatformUptimeTest, ARequestThatWaitsInVainShowsAnOutage)
{
    listener.onReadingEnded();
    readFor(5s, {&first}, {&listener});
    second.onReadingEnded();
    report(first, {&second});
    clock.advance(1500ms);
    report(first, {&second, &listener});
    second.onReadingStarted(clock.now());
    EXPECT_TRUE(listener.isSilent(clock.now()));
    clock.advance(2s);
    second.onAnswered(clock.now());
    EXPECT_EQ(second.outageEnd(), clock.now());
    report(second, {&listener});
    EXPECT_EQ(listener.outageEnd(), clock.now());
}

// Guards against nodes that take the silence of readers for the silence of the platform.
TEST_F(PlatformUptimeTest, ThePlatformIsNotSilentWhereNobodyAsks)
{
    listener.onReadingEnded();
    readFor(5s, {&first}, {&listener});
    clock.advance(4s);
    EXPECT_FALSE(listener.isSilent(clock.now()));
}

// Guards against a process that takes an answer for a new one that waited while it was paused.
TEST_F(PlatformUptimeTest, AResumedProcessWaitsForNewAnswers)
{
    readFor(5s, {&first, &second});
    clock.advance(4s);
    first.onProcessResumed(clock.now());
    first.onAnswered(clock.now());
    first.onReported({0s, 5s}, clock.now());
    EXPECT_FALSE(first.answeredAt());
    EXPECT_FALSE(first.ownReport(clock.now()));
    clock.advance(1s);
    second.onAnswered(clock.now());
    report(second, {&first});
    EXPECT_EQ(first.upSince(), clock.now());
}

// Guards against an end before the start in a report of another release or with damaged values.
TEST_F(PlatformUptimeTest, AReportWithoutSenseIsBounded)
{
    first.onReported({3s, 1s}, clock.now());
    EXPECT_EQ(first.upSince(), first.answeredAt());
}
