// Tests how the state of the store reaches the core.
#include "StoreReader.h"

#include "NodeFixture.h"

#include <atomic>
#include <gtest/gtest.h>
#include <vector>

using namespace berylridge;
using namespace berylridge::test;
using berylridge::platform::StoreReader;

namespace {

std::string response(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A store without entries, whose watch requests end with the test.
void serveEmptyStore(FakeTargetConnection &peer)
{
    while (true) {
        const std::string head = peer.readRequest();
        if (head.empty() || head.find("kv-watch") != std::string::npos)
            return;
        peer.send(response(R"({"as_of":7,"entries":[]})"));
    }
}

/// A store without entries that ends watch requests at once.
void serveEmptyWatches(FakeTargetConnection &peer)
{
    while (!peer.readRequest().empty())
        peer.send(response(R"({"as_of":7,"entries":[],"events":[]})"));
}

class StoreReaderTest : public testing::Test
{
protected:
    /// Runs the reader until an event of the type satisfies the condition.
    template <typename T, typename Condition>
    bool runUntilEvent(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + testTimeout;
        while (std::chrono::steady_clock::now() < end) {
            for (const Event &event : std::exchange(m_events, {})) {
                const auto *match = std::get_if<T>(&event);
                if (match && condition(*match))
                    return true;
            }
            m_context.run_one_for(std::chrono::milliseconds(50));
        }
        return false;
    }

    bool runUntilReachability(bool isReachable)
    {
        return runUntilEvent<PlatformReachability>(
            [=](const PlatformReachability &event) { return event.isReachable == isReachable; });
    }

    asio::io_context m_context;
    std::vector<Event> m_events;
    StoreReader::EventHandler m_onEvent
        = [this](Event event) { m_events.push_back(std::move(event)); };
};

} // namespace

// Guards against a node that takes the store for unreachable for as long as it runs, since its
// settings named another address during an outage: it refuses to take streams up, and drops targets
// whose entries lapsed.
TEST_F(StoreReaderTest, StoreOfChangedSettingsIsReportedAsReachable)
{
    FakeTarget store(serveEmptyStore);
    StoreReader reader(m_context, closedPort(), m_onEvent, [](const LogRecord &) {});
    reader.setEnabled(true);
    ASSERT_TRUE(runUntilReachability(false));
    reader.setStore(store.endpoint());
    EXPECT_TRUE(runUntilReachability(true));
}

// Guards against a listing that never ends, because the key after which its next page starts breaks
// the request: other writers choose their keys.
TEST_F(StoreReaderTest, ListingContinuesAfterAnyKey)
{
    std::atomic<bool> isContinued = false;
    FakeTarget store([&](FakeTargetConnection &peer) {
        for (std::string head = peer.readRequest(); !head.empty(); head = peer.readRequest()) {
            if (head.find("kv-watch") != std::string::npos)
                return;
            const bool isNextPage = head.find("&after=") != std::string::npos;
            if (head.find("&after=servers/odd%20%26prefix%3D%25%2B%0D%0A%C3%A9 HTTP/1.1\r\n")
                != std::string::npos)
                isContinued = true;
            peer.send(response(isNextPage
                                   ? R"({"as_of":7,"entries":[]})"
                                   : R"({"as_of":7,"truncated":true,"entries":[{"rev":3,)"
                                     R"("key":"servers/odd &prefix=%+\r\né","value":""}]})"));
        }
    });
    StoreReader reader(m_context, store.endpoint(), m_onEvent, [](const LogRecord &) {});
    reader.setEnabled(true);
    EXPECT_TRUE(runUntilEvent<DirectoryArrived>(
        [](const DirectoryArrived &event) { return event.directoryUpdate.isFullSnapshot; }));
    EXPECT_TRUE(isContinued);
}

// Guards against a node that learns up to a second late that the store is back, and takes the first
// departure after its return for a lapse in the outage.
TEST_F(StoreReaderTest, FirstWatchAfterAFailureIsAnsweredWithoutAChange)
{
    std::atomic<int> watches = 0;
    FakeTarget store([&](FakeTargetConnection &peer) {
        constexpr int rejectedWatches = 3;
        for (std::string head = peer.readRequest(); !head.empty(); head = peer.readRequest()) {
            if (head.find("kv-watch") == std::string::npos)
                peer.send(response(R"({"as_of":7,"entries":[]})"));
            else if (++watches <= rejectedWatches)
                peer.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            else if (head.find("wait_ms=0 ") != std::string::npos)
                peer.send(response(R"({"as_of":7,"events":[]})"));
        }
    });
    StoreReader reader(m_context, store.endpoint(), m_onEvent, [](const LogRecord &) {});
    reader.setEnabled(true);
    ASSERT_TRUE(runUntilReachability(false));
    ASSERT_TRUE(runUntilReachability(true));
    EXPECT_EQ(watches, 4);
}

// Guards against a reader that goes on beside the next one: a wait that has ended when the reader
// stops, but whose handler has not run yet, can't be cancelled any more.
TEST_F(StoreReaderTest, StopsAlthoughItsNextRequestIsDue)
{
    FakeTarget store(serveEmptyWatches);
    StoreReader reader(m_context, store.endpoint(), m_onEvent, [](const LogRecord &) {});
    reader.setEnabled(true);
    const auto isWatchEvent
        = [](const DirectoryArrived &event) { return !event.directoryUpdate.isFullSnapshot; };
    ASSERT_TRUE(runUntilEvent<DirectoryArrived>(isWatchEvent));
    // The wait for the next request ends while the context doesn't run.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    asio::post(m_context, [&] { reader.setEnabled(false); });
    while (m_events.empty() && m_context.run_one_for(testTimeout) > 0) { }
    EXPECT_TRUE(m_events.empty());
    EXPECT_EQ(store.connections(), 1);
}

// Guards against a revision that was read before it was asked for, and against a read for each
// request of the core, since the store counts calls.
TEST_F(StoreReaderTest, RevisionIsReadAfterItWasRequested)
{
    std::atomic<int> reads = 0;
    FakeTarget store([&](FakeTargetConnection &peer) {
        for (std::string head = peer.readRequest(); !head.empty(); head = peer.readRequest()) {
            if (head.find("kv-watch") != std::string::npos)
                return;
            const bool isRevisionRead = head.find("prefix=op/evacuate/") != std::string::npos;
            const int revision = isRevisionRead ? 100 + ++reads : 7;
            peer.send(response(R"({"as_of":)" + std::to_string(revision) + R"(,"entries":[]})"));
        }
    });
    StoreReader reader(m_context, store.endpoint(), m_onEvent, [](const LogRecord &) {});
    reader.setEnabled(true);
    for (std::uint64_t ticket = 1; ticket <= 5; ++ticket)
        reader.readRevision(ticket);
    const auto isLast = [](const PlatformRevisionRead &event) {
        return event.ticket == 5 && event.revision == 102;
    };
    EXPECT_TRUE(runUntilEvent<PlatformRevisionRead>(isLast));
    EXPECT_EQ(reads, 2);
}
