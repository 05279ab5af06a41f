// Tests how the state of the store reaches the core.
#include "StoreReader.h"

#include "NodeFixture.h"

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
