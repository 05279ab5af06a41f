// Tests which requests a node sheds when its processor is saturated.
#include "berylridge/Policy/LoadShedder.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

/// Models a node's processor: accepted requests queue for it, and rejected ones cost a fraction of
/// one.
class Processor
{
public:
    explicit Processor(double requestsPerMs, double refusalCost = 0.1)
        : m_requestsPerMs(requestsPerMs)
        , m_refusalCost(refusalCost)
    {
    }

    void take(bool isAccepted) { m_queued += isAccepted ? 1 : m_refusalCost; }
    void hold(double requests) { m_queued += requests; }
    void advanceOneMs() { m_queued = std::max(0.0, m_queued - m_requestsPerMs); }
    Duration lag() const { return fromSeconds(m_queued / m_requestsPerMs / 1000); }

private:
    double m_requestsPerMs;
    double m_refusalCost;
    double m_queued = 0;
};

} // namespace

// Guards against a flood of one workspace at one node delaying all its callers until they time out:
// 900 requests per second where the node can handle 400. Only as much of the flood as needed is
// shed, and nothing of the small workspace.
TEST(LoadShedder, ShedsAFloodAndServesOtherCredentials)
{
    constexpr CredentialKey flood = 1;
    constexpr CredentialKey small = 2;
    ManualClock clock;
    LoadShedder shedder;
    Processor processor(0.4);
    int floodAccepted = 0;
    int smallShed = 0;
    Duration worstLag {0};
    for (int ms = 0; ms < 10000; ++ms) {
        if (ms % 50 == 0)
            shedder.onLag(processor.lag(), clock.now());
        for (int i = 0; i < (ms % 10 == 0 ? 9 : 0); ++i) {
            const bool isAccepted = !shedder.sheds(flood, clock.now());
            floodAccepted += isAccepted && ms >= 4000 ? 1 : 0;
            processor.take(isAccepted);
        }
        if (ms % 100 == 50) {
            const bool isAccepted = !shedder.sheds(small, clock.now());
            smallShed += isAccepted || ms < 2000 ? 0 : 1;
            processor.take(isAccepted);
        }
        if (ms >= 4000)
            worstLag = std::max(worstLag, processor.lag());
        processor.advanceOneMs();
        clock.advance(1ms);
    }
    EXPECT_EQ(smallShed, 0);
    EXPECT_LT(worstLag, 200ms);
    EXPECT_GT(floodAccepted / 6, 270); // The rejections leave capacity for 333 per second.
}

// Guards against a short stall of the machine being treated as a flood.
TEST(LoadShedder, OneLateReportDoesNotKeepShedding)
{
    ManualClock clock;
    LoadShedder shedder;
    shedder.onLag(110ms, clock.now());
    for (int i = 0; i < 7; ++i) {
        clock.advance(50ms);
        shedder.onLag(0ms, clock.now());
    }
    int shed = 0;
    for (int i = 0; i < 100; ++i) {
        shed += shedder.sheds(1, clock.now()) ? 1 : 0;
        clock.advance(10ms);
    }
    EXPECT_EQ(shed, 0);
}

// Guards against a thread that is late by seconds and sheds nothing, since its reports are late
// too.
TEST(LoadShedder, ShedsAFloodWhenReportsAreDelayed)
{
    ManualClock clock;
    LoadShedder shedder;
    Processor processor(0.4);
    Duration worstLag {0};
    int nextReport = 0;
    for (int ms = 0; ms < 10000; ++ms) {
        if (ms == nextReport) {
            const Duration lag = processor.lag();
            shedder.onLag(lag, clock.now());
            nextReport += 50 + static_cast<int>(lag / 1ms);
        }
        // The flood starts in the first ms: the thread is late before the first report.
        for (int i = 0; i < (ms % 10 == 0 ? 9 : 0); ++i)
            processor.take(!shedder.sheds(1, clock.now()));
        if (ms == 0)
            processor.hold(400);
        if (ms >= 4000)
            worstLag = std::max(worstLag, processor.lag());
        processor.advanceOneMs();
        clock.advance(1ms);
    }
    EXPECT_LT(worstLag, 200ms);
}

// Guards against memory growing with each credential that a caller invents.
TEST(LoadShedder, ForgetsIdleCredentials)
{
    ManualClock clock;
    LoadShedder shedder;
    for (CredentialKey i = 0; i < 20000; ++i) {
        shedder.sheds(i, clock.now());
        clock.advance(1ms);
    }
    EXPECT_LT(shedder.credentialCount(), 5000U);
}

// Guards against a thread that accepts a fixed fraction of any flood, and is late by all that it
// accepts beyond its capacity.
TEST(LoadShedder, LimitsAFloodOfManyTimesTheCapacity)
{
    ManualClock clock;
    LoadShedder shedder;
    Processor processor(0.4, 0.02); // The flood's rejections leave capacity for 200 per second.
    int accepted = 0;
    int nextReport = 0;
    Duration worstLag {0};
    for (int ms = 0; ms < 10000; ++ms) {
        if (ms == nextReport) {
            shedder.onLag(processor.lag(), clock.now());
            nextReport += 50 + static_cast<int>(processor.lag() / 1ms);
        }
        for (int i = 0; i < 10; ++i) {
            const bool isAccepted = !shedder.sheds(1, clock.now());
            accepted += isAccepted && ms >= 4000 ? 1 : 0;
            processor.take(isAccepted);
        }
        if (ms >= 4000)
            worstLag = std::max(worstLag, processor.lag());
        processor.advanceOneMs();
        clock.advance(1ms);
    }
    EXPECT_LT(worstLag, 100ms);
    EXPECT_GT(accepted / 6, 180);
}

// Guards against a node that continues to reject callers after a flood has ended.
TEST(LoadShedder, StopsSheddingAfterAFlood)
{
    ManualClock clock;
    LoadShedder shedder;
    Processor processor(0.4);
    int shedAfter = 0;
    for (int ms = 0; ms < 8000; ++ms) {
        if (ms % 50 == 0)
            shedder.onLag(processor.lag(), clock.now());
        const int requests = ms < 4000 ? 2 : 0;
        for (int i = 0; i < requests; ++i)
            processor.take(!shedder.sheds(1, clock.now()));
        if (ms % 10 == 0) { // The usual load.
            const bool isAccepted = !shedder.sheds(2, clock.now());
            shedAfter += isAccepted || ms < 4500 ? 0 : 1;
            processor.take(isAccepted);
        }
        processor.advanceOneMs();
        clock.advance(1ms);
    }
    EXPECT_EQ(shedAfter, 0);
}

// Guards against a pause of the process being treated as load, so that the node rejects requests
// for a second.
TEST(LoadShedder, ProcessPauseDoesNotKeepShedding)
{
    ManualClock clock;
    LoadShedder shedder;
    int shed = 0;
    for (int ms = 0; ms < 6000; ++ms) {
        const bool isPaused = ms > 3000 && ms < 4000;
        if (ms % 10 == 0 && !isPaused)
            shed += shedder.sheds(1, clock.now()) ? 1 : 0;
        if (ms % 50 == 0 && !isPaused)
            shedder.onLag(ms == 4000 ? 1000ms : 0ms, clock.now());
        clock.advance(1ms);
    }
    EXPECT_LT(shed, 10);
}

// Guards against rejections alone making a node late, so that almost no requests are accepted.
TEST(LoadShedder, ServesAMinimumWhenRefusalsExhaustTheProcessor)
{
    ManualClock clock;
    LoadShedder shedder;
    Processor processor(0.4, 0.05); // Rejections alone exceed the capacity.
    int accepted = 0;
    for (int ms = 0; ms < 10000; ++ms) {
        if (ms % 50 == 0)
            shedder.onLag(processor.lag(), clock.now());
        for (int i = 0; i < 10; ++i) {
            const bool isAccepted = !shedder.sheds(1, clock.now());
            accepted += isAccepted && ms >= 4000 ? 1 : 0;
            processor.take(isAccepted);
        }
        processor.advanceOneMs();
        clock.advance(1ms);
    }
    EXPECT_GT(accepted / 6, 80);
}

// Guards against short bursts within a node's capacity being treated as a flood.
TEST(LoadShedder, ShortBurstShedsAlmostNothing)
{
    ManualClock clock;
    LoadShedder shedder;
    int shed = 0;
    for (int ms = 0; ms < 6000; ++ms) {
        if (ms % 10 == 0)
            shed += shedder.sheds(1, clock.now()) ? 1 : 0;
        const bool isLate = ms > 3000 && ms % 1000 == 500;
        if (ms % 50 == 0)
            shedder.onLag(isLate ? 80ms : 0ms, clock.now());
        clock.advance(1ms);
    }
    EXPECT_LE(shed, 3);
}
