// What a node turns away when its own processor bears no more.
#include "berylridge/Policy/NodeLoad.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

/// A node's processor: requests that were kept wait for it, the others cost a part of one.
class Processor
{
public:
    explicit Processor(double requestsPerMs, double refusalCost = 0.1)
        : m_requestsPerMs(requestsPerMs)
        , m_refusalCost(refusalCost)
    {
    }

    void take(bool isKept) { m_queued += isKept ? 1 : m_refusalCost; }
    void hold(double requests) { m_queued += requests; }
    void passMs() { m_queued = std::max(0.0, m_queued - m_requestsPerMs); }
    Duration lag() const { return fromSeconds(m_queued / m_requestsPerMs / 1000); }

private:
    double m_requestsPerMs;
    double m_refusalCost;
    double m_queued = 0;
};

} // namespace

// All callers of a large workspace are sent to one node: 900 requests a second where it bears 400.
// Served as they come, all its callers wait until they give up, those of a small one too. The flood
// is turned away as far as it must be; the small workspace sees nothing of it.
TEST(NodeLoad, AFloodAtOneNodeIsTurnedAwayAndItsNeighboursAreServed)
{
    constexpr CredentialKey flood = 1;
    constexpr CredentialKey small = 2;
    ManualClock clock;
    NodeLoad load;
    Processor processor(0.4);
    int floodKept = 0;
    int smallShed = 0;
    Duration worstLag {0};
    for (int ms = 0; ms < 10000; ++ms) {
        if (ms % 50 == 0)
            load.onLag(processor.lag(), clock.now());
        for (int i = 0; i < (ms % 10 == 0 ? 9 : 0); ++i) {
            const bool isKept = !load.sheds(flood, clock.now());
            floodKept += isKept && ms >= 4000 ? 1 : 0;
            processor.take(isKept);
        }
        if (ms % 100 == 50) {
            const bool isKept = !load.sheds(small, clock.now());
            smallShed += isKept || ms < 2000 ? 0 : 1;
            processor.take(isKept);
        }
        if (ms >= 4000)
            worstLag = std::max(worstLag, processor.lag());
        processor.passMs();
        clock.advance(1ms);
    }
    EXPECT_EQ(smallShed, 0);
    EXPECT_LT(worstLag, 200ms);
    EXPECT_GT(floodKept / 6, 270); // Of the 333 a second that the refusals leave room for.
}

// A short hiccup of the machine is no flood.
TEST(NodeLoad, OneLateTurnTurnsNobodyAwayForLong)
{
    ManualClock clock;
    NodeLoad load;
    load.onLag(110ms, clock.now());
    for (int i = 0; i < 7; ++i) {
        clock.advance(50ms);
        load.onLag(0ms, clock.now());
    }
    int shed = 0;
    for (int i = 0; i < 100; ++i) {
        shed += load.sheds(1, clock.now()) ? 1 : 0;
        clock.advance(10ms);
    }
    EXPECT_EQ(shed, 0);
}

// Guards against a thread that is late by seconds and sheds nothing, as its reports are late too.
TEST(NodeLoad, AFloodIsShedWhereReportsComeAsLateAsTheThreadRuns)
{
    ManualClock clock;
    NodeLoad load;
    Processor processor(0.4);
    Duration worstLag {0};
    int nextReport = 0;
    for (int ms = 0; ms < 10000; ++ms) {
        if (ms == nextReport) {
            const Duration lag = processor.lag();
            load.onLag(lag, clock.now());
            nextReport += 50 + static_cast<int>(lag / 1ms);
        }
        // From the first moment on: the thread is late before the first report can tell.
        for (int i = 0; i < (ms % 10 == 0 ? 9 : 0); ++i)
            processor.take(!load.sheds(1, clock.now()));
        if (ms == 0)
            processor.hold(400);
        if (ms >= 4000)
            worstLag = std::max(worstLag, processor.lag());
        processor.passMs();
        clock.advance(1ms);
    }
    EXPECT_LT(worstLag, 200ms);
}

// Guards against memory that grows with each credential that a caller makes up.
TEST(NodeLoad, CredentialsThatDoNotReturnAreForgotten)
{
    ManualClock clock;
    NodeLoad load;
    for (CredentialKey i = 0; i < 20000; ++i) {
        load.sheds(i, clock.now());
        clock.advance(1ms);
    }
    EXPECT_LT(load.knownCredentials(), 5000U);
}

// Guards against a thread that keeps a fixed part of any flood, and is late by all that it keeps
// beyond what it bears.
TEST(NodeLoad, AFloodOfManyTimesWhatTheNodeBearsIsHeldToThat)
{
    ManualClock clock;
    NodeLoad load;
    Processor processor(0.4, 0.02); // Refusals of the flood leave room for 200 a second.
    int kept = 0;
    int nextReport = 0;
    Duration worstLag {0};
    for (int ms = 0; ms < 10000; ++ms) {
        if (ms == nextReport) {
            load.onLag(processor.lag(), clock.now());
            nextReport += 50 + static_cast<int>(processor.lag() / 1ms);
        }
        for (int i = 0; i < 10; ++i) {
            const bool isKept = !load.sheds(1, clock.now());
            kept += isKept && ms >= 4000 ? 1 : 0;
            processor.take(isKept);
        }
        if (ms >= 4000)
            worstLag = std::max(worstLag, processor.lag());
        processor.passMs();
        clock.advance(1ms);
    }
    EXPECT_LT(worstLag, 100ms);
    EXPECT_GT(kept / 6, 180);
}

// Guards against a node that goes on to turn callers away when a flood has ended.
TEST(NodeLoad, AFloodThatEndsLeavesNobodyTurnedAway)
{
    ManualClock clock;
    NodeLoad load;
    Processor processor(0.4);
    int shedAfter = 0;
    for (int ms = 0; ms < 8000; ++ms) {
        if (ms % 50 == 0)
            load.onLag(processor.lag(), clock.now());
        const int requests = ms < 4000 ? 2 : 0;
        for (int i = 0; i < requests; ++i)
            processor.take(!load.sheds(1, clock.now()));
        if (ms % 10 == 0) { // The usual.
            const bool isKept = !load.sheds(2, clock.now());
            shedAfter += isKept || ms < 4500 ? 0 : 1;
            processor.take(isKept);
        }
        processor.passMs();
        clock.advance(1ms);
    }
    EXPECT_EQ(shedAfter, 0);
}

// Guards against a pause of the process that is taken for load, and closes the node for a second.
TEST(NodeLoad, APauseTurnsNobodyAwayForLong)
{
    ManualClock clock;
    NodeLoad load;
    int shed = 0;
    for (int ms = 0; ms < 6000; ++ms) {
        const bool isPaused = ms > 3000 && ms < 4000;
        if (ms % 10 == 0 && !isPaused)
            shed += load.sheds(1, clock.now()) ? 1 : 0;
        if (ms % 50 == 0 && !isPaused)
            load.onLag(ms == 4000 ? 1000ms : 0ms, clock.now());
        clock.advance(1ms);
    }
    EXPECT_LT(shed, 10);
}

// Guards against refusals alone making a node late, and so leaving next to none of its requests.
TEST(NodeLoad, RefusalsThatUseUpTheProcessorLeaveAPartToBeServed)
{
    ManualClock clock;
    NodeLoad load;
    Processor processor(0.4, 0.05); // Refusals alone take more than all of it.
    int kept = 0;
    for (int ms = 0; ms < 10000; ++ms) {
        if (ms % 50 == 0)
            load.onLag(processor.lag(), clock.now());
        for (int i = 0; i < 10; ++i) {
            const bool isKept = !load.sheds(1, clock.now());
            kept += isKept && ms >= 4000 ? 1 : 0;
            processor.take(isKept);
        }
        processor.passMs();
        clock.advance(1ms);
    }
    EXPECT_GT(kept / 6, 80);
}

// Guards against short bursts that a node bears being taken for a flood.
TEST(NodeLoad, AShortBurstTurnsNextToNobodyAway)
{
    ManualClock clock;
    NodeLoad load;
    int shed = 0;
    for (int ms = 0; ms < 6000; ++ms) {
        if (ms % 10 == 0)
            shed += load.sheds(1, clock.now()) ? 1 : 0;
        const bool isLate = ms > 3000 && ms % 1000 == 500;
        if (ms % 50 == 0)
            load.onLag(isLate ? 80ms : 0ms, clock.now());
        clock.advance(1ms);
    }
    EXPECT_LE(shed, 3);
}
