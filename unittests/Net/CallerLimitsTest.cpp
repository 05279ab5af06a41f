// Tests that the operators' limits for callers replace those of the settings.
#include "NodeFixture.h"

namespace berylridge::test {
namespace {

constexpr const char *path = "/v1/services/shop/orders";
constexpr std::size_t mebibyte = 1 << 20;

class CallerLimitsTest : public testing::Test
{
protected:
    CallerLimitsTest()
        : m_target([](FakeTargetConnection &peer) {
            while (!peer.readRequest().empty())
                peer.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
        })
        , m_core([this](const Event &event, Actions &actions) {
            if (std::holds_alternative<TimerDue>(event))
                actions.emplace_back(SetCallerLimits {limits});
            forwardTo(m_target.endpoint())(event, actions);
        })
    {
    }

    /// Returns the beginning of the response to a request with a body of this size.
    std::string responseTo(std::size_t bodyBytes)
    {
        TestNode node(m_core);
        // The node has applied the limits when it answers.
        FakeCaller first = node.caller();
        first.send(requestText("GET", path));
        first.readUntil("whole");
        FakeCaller caller = node.caller();
        caller.send(requestText("POST", path, {}, std::string(bodyBytes, 'x')));
        return caller.readUntil("\r\n");
    }

    CallerLimitsSpec limits;

private:
    FakeTarget m_target;
    FakeCore m_core;
};

} // namespace

// Guards against a limit of the router that callers inside the operators' limits meet.
TEST_F(CallerLimitsTest, BodyWithinTheOperatorsLimitIsServed)
{
    limits.bodyBytes = 6 * mebibyte;
    EXPECT_TRUE(responseTo(6 * mebibyte).starts_with("HTTP/1.1 200"));
}

TEST_F(CallerLimitsTest, BodyOverTheOperatorsLimitIsRejected)
{
    limits.bodyBytes = 2 * mebibyte;
    EXPECT_TRUE(responseTo(2 * mebibyte + 1).starts_with("HTTP/1.1 413"));
}

// Guards against a limit that allows a single request more than the VM's memory.
TEST_F(CallerLimitsTest, BodyThatTheMemoryCannotHoldIsRejected)
{
    limits.bodyBytes = 1ULL << 40;
    EXPECT_TRUE(responseTo(24 * mebibyte).starts_with("HTTP/1.1 413"));
}

} // namespace berylridge::test
