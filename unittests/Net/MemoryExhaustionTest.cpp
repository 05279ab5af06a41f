// Tests that targets can't fill a router's memory together, although each response keeps to its
// limits.
#include "HeldBytes.h"
#include "NodeFixture.h"

#include <sstream>

namespace berylridge::test {
namespace {

constexpr const char *faultyPath = "/v1/services/shop/faulty";
constexpr const char *otherPath = "/v1/services/shop/orders";
constexpr const char *streamHead
    = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Maximum memory for all bytes of targets' responses together: a third of the smallest router VM.
constexpr std::size_t memoryTarget = 40 << 20;
/// Size of an event; below the limit for a single one.
constexpr std::size_t eventBytes = 900 << 10;
/// Number of events of that size for which the memory suffices.
constexpr std::size_t maxHeldEvents = memoryTarget / eventBytes;

std::string chunk(const std::string &bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

/// An event of eventBytes, without the blank line that ends it.
std::string incompleteEvent()
{
    return "data: " + std::string(eventBytes - 6, 'x');
}

/// A faulty target, which runs the script for each request to faultyPath, and a target for all
/// other requests, which responds with a stream whose event arrives in two pieces.
class MemoryExhaustionTest : public testing::Test
{
protected:
    explicit MemoryExhaustionTest(FakeTarget::Script script)
        : m_faulty(std::move(script))
        , m_other([](FakeTargetConnection &peer) {
            while (!peer.readRequest().empty()) {
                peer.send(streamHead + chunk("id: 1\ndata: wh"));
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
                peer.send(chunk("ole\n\ndata: [DONE]\n\n") + chunk({}));
            }
        })
        , core([this](const Event &event, Actions &actions) {
            const auto *arrived = std::get_if<RequestArrived>(&event);
            const bool isOther = arrived != nullptr && arrived->path.ends_with("/orders");
            forwardTo((isOther ? m_other : m_faulty).endpoint())(event, actions);
        })
        , node(core)
    {
    }

    void sendFaulty(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            callers.push_back(std::make_unique<FakeCaller>(node.node().callers()));
            callers.back()->send(requestText("GET", faultyPath));
        }
    }

    /// Expects that all attempts fail for which the memory doesn't suffice, and that another
    /// caller's request is answered.
    void expectBounded()
    {
        for (const AttemptFailed &failed :
             core.waitForEvents<AttemptFailed>(callers.size() - maxHeldEvents))
            EXPECT_EQ(failed.failure, AttemptFailure::InvalidResponse);
        FakeCaller other = node.caller();
        other.send(requestText("GET", otherPath));
        EXPECT_NE(other.readUntil("[DONE]").find("data: whole\n"), std::string::npos);
    }

    /// Expects that all bytes that were counted for the process are returned.
    static void expectNothingHeld()
    {
        EXPECT_TRUE(eventually([] { return HeldBytes::processBytes() == 0; }))
            << HeldBytes::processBytes();
    }

private:
    FakeTarget m_faulty;
    FakeTarget m_other;

protected:
    FakeCore core;
    TestNode node;
    std::vector<std::unique_ptr<FakeCaller>> callers;
};

class IncompleteEventsTest : public MemoryExhaustionTest
{
protected:
    IncompleteEventsTest()
        : MemoryExhaustionTest([](FakeTargetConnection &peer) {
            peer.readRequest();
            peer.send(streamHead + chunk(incompleteEvent()));
            peer.waitForClose();
        })
    {
    }
};

class CompleteEventsTest : public MemoryExhaustionTest
{
protected:
    CompleteEventsTest()
        : MemoryExhaustionTest([](FakeTargetConnection &peer) {
            peer.readRequest();
            peer.send(streamHead + chunk(incompleteEvent()) + chunk("\n\ndata: [DONE]\n\n")
                      + chunk({}));
        })
    {
    }
};

class UnreadEventsTest : public MemoryExhaustionTest
{
protected:
    UnreadEventsTest()
        : MemoryExhaustionTest([](FakeTargetConnection &peer) {
            constexpr int maxEvents = 16; // More than the operating system buffers.
            peer.readRequest();
            peer.send(streamHead);
            const std::string event = chunk(incompleteEvent() + "\n\n");
            for (int i = 0; i < maxEvents && peer.send(event); ++i) { }
        })
    {
    }
};

} // namespace

// Guards against events without end of many streams that together fill the memory.
TEST_F(IncompleteEventsTest, ManyTogetherAreBounded)
{
    sendFaulty(200);
    expectBounded();
    EXPECT_LE(HeldBytes::processBytes(), HeldBytes::limitBytes);
    EXPECT_GT(HeldBytes::refusals(), 0U);
    callers.clear();
    expectNothingHeld();
}

// Guards against large events for callers that don't read, which together fill the memory.
TEST_F(UnreadEventsTest, ManyTogetherAreBounded)
{
    sendFaulty(64);
    expectBounded();
    EXPECT_LE(HeldBytes::processBytes(), HeldBytes::limitBytes);
    EXPECT_GT(HeldBytes::refusals(), 0U);
    callers.clear();
    expectNothingHeld();
}

// Guards against complete streams that use up the memory for later ones.
TEST_F(CompleteEventsTest, AreNoLongerCounted)
{
    for (std::size_t i = 0; i < 2 * maxHeldEvents; ++i) {
        FakeCaller caller = node.caller();
        caller.send(requestText("GET", faultyPath, "Connection: close\r\n"));
        EXPECT_GT(caller.readAll().size(), eventBytes);
    }
    expectNothingHeld();
}

// Guards against requests with few bytes that fail because others hold many.
TEST(HeldBytesTest, FreeBytesDoNotDependOnOthers)
{
    HeldBytes small;
    {
        HeldBytes large;
        EXPECT_TRUE(large.resize(HeldBytes::freeBytes + HeldBytes::limitBytes));
        EXPECT_FALSE(large.resize(HeldBytes::freeBytes + HeldBytes::limitBytes + 1));
        EXPECT_TRUE(small.resize(HeldBytes::freeBytes));
        EXPECT_FALSE(small.resize(HeldBytes::freeBytes + 1));
        EXPECT_EQ(HeldBytes::processBytes(), HeldBytes::limitBytes);
    }
    EXPECT_TRUE(small.resize(HeldBytes::freeBytes + 1));
    EXPECT_TRUE(small.resize(0));
    EXPECT_EQ(HeldBytes::processBytes(), 0U);
}

} // namespace berylridge::test
