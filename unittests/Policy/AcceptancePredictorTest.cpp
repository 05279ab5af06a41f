// Tests which requests an overloaded thread sheds because the core would reject them.
#include "berylridge/Policy/AcceptancePredictor.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

constexpr CredentialKey floodCredential = 1;
constexpr CredentialKey otherCredential = 2;

/// Models a thread whose processor handles 80 requests per second. The core accepts a few requests
/// of the flood per second and all others. A request that the core rejects costs as much as a
/// served one, and one that the thread sheds a tenth of that.
class ModelThread
{
public:
    explicit ModelThread(double acceptedOfFlood)
        : m_acceptedOfFlood(acceptedOfFlood)
    {
    }

    void advanceOneMs()
    {
        m_queued = std::max(0.0, m_queued - 0.08);
        m_credit = std::min(m_credit + m_acceptedOfFlood / 1000, 1.0);
        m_clock.advance(1ms);
        if (++m_ms % 50 == 0)
            m_shedder.onLag(fromSeconds(m_queued / 80), m_clock.now());
    }

    void sendFlood()
    {
        const bool isShed = m_predictor.predictsRejection(floodCredential, m_clock.now())
            || m_shedder.sheds(floodCredential, m_clock.now());
        m_queued += isShed ? 0.1 : 1;
        passedOfFlood += isShed ? 0 : 1;
        if (isShed)
            return;
        if (m_credit >= 1) {
            m_credit -= 1;
            m_predictor.onAccepted(floodCredential, m_clock.now());
        } else {
            m_predictor.onOverShare(floodCredential, 200ms, m_clock.now());
        }
    }

    void sendOther()
    {
        const bool isShed = m_shedder.sheds(otherCredential, m_clock.now());
        m_queued += isShed ? 0.1 : 1;
        ++others;
        shedOthers += isShed ? 1 : 0;
    }

    int passedOfFlood = 0;
    int others = 0;
    int shedOthers = 0;

private:
    double m_acceptedOfFlood;
    ManualClock m_clock;
    LoadShedder m_shedder;
    AcceptancePredictor m_predictor;
    double m_queued = 0;
    double m_credit = 0; ///< Requests of the flood that the core would accept now.
    int m_ms = 0;
};

} // namespace

// Guards against requests of a workspace within its share that are shed, while the thread reads
// requests of a flood that the core rejects.
TEST(AcceptancePredictor, RejectedFloodLeavesRoomForOthers)
{
    ModelThread thread(5);
    for (int ms = 0; ms < 10000; ++ms) {
        if (ms == 2000)
            thread.others = thread.shedOthers = 0;
        if (ms % 5 == 0)
            thread.sendFlood();
        if (ms % 25 == 3)
            thread.sendOther();
        thread.advanceOneMs();
    }
    EXPECT_LE(thread.shedOthers, thread.others / 20);
}

// Guards against a workspace whose requests stay shed after the core accepts them again.
TEST(AcceptancePredictor, FollowsTheCoreWhenItAcceptsAgain)
{
    ManualClock clock;
    AcceptancePredictor predictor;
    int shed = 0;
    for (int ms = 0; ms < 8000; ++ms, clock.advance(1ms)) {
        if (ms % 10 != 0)
            continue;
        const bool isAccepted = ms >= 4000;
        if (predictor.predictsRejection(floodCredential, clock.now()))
            shed += ms >= 6000 ? 1 : 0;
        else if (isAccepted)
            predictor.onAccepted(floodCredential, clock.now());
        else
            predictor.onOverShare(floodCredential, 200ms, clock.now());
    }
    EXPECT_EQ(shed, 0);
}

// Guards against memory growing with each credential that a caller invents, also while nothing is
// predicted.
TEST(AcceptancePredictor, ForgetsIdleCredentials)
{
    ManualClock clock;
    AcceptancePredictor predictor;
    for (CredentialKey caller = 0; caller < 20000; ++caller, clock.advance(1ms)) {
        if (caller % 2 == 0)
            predictor.onAccepted(caller, clock.now());
        else
            predictor.onOverShare(caller, 200ms, clock.now());
    }
    EXPECT_LT(predictor.callerCount(), 6000U);
}

// Guards against a flood that is told to come back sooner by a busy thread than by the core.
TEST(AcceptancePredictor, RemembersWhenTheCoreWantsCallersBack)
{
    ManualClock clock;
    AcceptancePredictor predictor;
    for (int i = 0; i < 10; ++i) {
        predictor.onOverShare(floodCredential, 200ms, clock.now());
        predictor.onAccepted(otherCredential, clock.now());
    }
    EXPECT_EQ(predictor.retryAfter(floodCredential, clock.now()), Duration(200ms));
    EXPECT_FALSE(predictor.retryAfter(otherCredential, clock.now()));
    clock.advance(5s);
    EXPECT_FALSE(predictor.retryAfter(floodCredential, clock.now()));
}
