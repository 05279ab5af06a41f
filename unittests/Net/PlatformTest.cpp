#include "NodeFixture.h"
#include "PlatformWatcher.h"
#include "TargetPoller.h"

#include <mutex>

namespace berylridge::test {
namespace {

std::string jsonResponse(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string documents(int revision, int version)
{
    return R"({"revision": )" + std::to_string(revision)
        + R"(, "documents": [{"name": "fleet", "version": )" + std::to_string(version)
        + R"(, "text": "{}"}, {"name": "service/shop", "version": 1, "text": "{}"}]})";
}

constexpr const char *vms = R"({"revision": 5, "vms": [{"node": "a1", "zone": "a", )"
                            R"("address": "127.0.1.1", "port": 7400, "leaving": true}]})";

FakeCore::EventHandler watchPlatformOnFirstEvent()
{
    return [isOn = false](const Event &, Actions &actions) mutable {
        if (!std::exchange(isOn, true))
            actions.emplace_back(WatchPlatform {true});
    };
}

TEST(PlatformTest, reportsOnlyChangedDocuments)
{
    // The first platform endpoint refuses connections. The second responds, changes one document,
    // and then waits.
    FakeTarget platform([](FakeTargetConnection &peer) {
        for (int revision = 1; true; ++revision) {
            const std::string head = peer.readRequest();
            const bool hasUpdate = head.find("since=2&") == std::string::npos
                && head.find("since=5&") == std::string::npos;
            if (head.empty() || !hasUpdate) {
                peer.waitForClose();
                return;
            }
            const bool isVms = head.starts_with("GET /v1/vms");
            peer.send(jsonResponse(isVms ? vms : documents(revision, revision)));
        }
    });
    FakeCore core(watchPlatformOnFirstEvent());
    TestNode node(core, [&](Settings &settings) {
        settings.platform = {closedPort(), platform.endpoint()};
    });
    const auto arrived = core.waitForEvents<DocumentArrived>(3);
    EXPECT_EQ(arrived.size(), 3U) << "the unchanged document causes no event";
    EXPECT_EQ(arrived[2].document.version, 2U);
    const auto lists = core.waitForEvents<VmListArrived>(1);
    EXPECT_EQ(lists[0].list.revision, 5U);
    EXPECT_TRUE(lists[0].list.vms.at(0).isLeaving);
    core.waitForEvents<PlatformReachability>(1);
}

TEST(PlatformTest, reportsOutageAndRecovery)
{
    // Guards against an invalid response that is taken for an empty list of documents. The platform
    // responds first with invalid and then with valid JSON; the invalid response must count as an
    // outage.
    std::atomic<bool> isHealthy {false};
    FakeTarget platform([&](FakeTargetConnection &peer) {
        while (!peer.readRequest().empty())
            peer.send(jsonResponse(isHealthy ? documents(1, 1) : R"({"revision": 1})"));
    });
    FakeCore core(watchPlatformOnFirstEvent());
    TestNode node(core, [&](Settings &settings) { settings.platform = {platform.endpoint()}; });
    EXPECT_FALSE(core.waitForEvents<PlatformReachability>(1)[0].isReachable);
    EXPECT_TRUE(core.receivedEvents<DocumentArrived>().empty());
    isHealthy = true;
    EXPECT_TRUE(
        eventually([&] { return core.receivedEvents<PlatformReachability>().back().isReachable; }));
    EXPECT_EQ(core.waitForEvents<DocumentArrived>(2).size(), 2U);
}

TEST(PlatformTest, pollsTargetLoad)
{
    FakeTarget target([](FakeTargetConnection &peer) {
        while (!peer.readRequest().empty())
            peer.send(
                jsonResponse(R"({"bootId": "b7", "running": 3, "completed": 17, "ageMs": 200})"));
    });
    const Endpoint closed = closedPort();
    FakeCore core([&](const Event &event, Actions &actions) {
        if (std::get_if<PlatformReachability>(&event) == nullptr)
            return;
        actions.emplace_back(PollTarget {TargetId("t1"), target.endpoint()});
        actions.emplace_back(PollTarget {TargetId("t2"), closed});
    });
    TestNode node(core);
    node.node().post(PlatformReachability {true});
    const auto report = core.waitForEvents<TargetLoadReport>(1)[0];
    EXPECT_EQ(report.bootId, "b7");
    EXPECT_EQ(report.running, 3U);
    EXPECT_EQ(report.completed, 17U);
    EXPECT_EQ(report.age, Duration(std::chrono::milliseconds(200)));
    const auto failed = core.waitForEvents<TargetPollFailed>(1)[0];
    EXPECT_EQ(failed.target, TargetId("t2"));
    EXPECT_EQ(failed.failure, AttemptFailure::ConnectRefused);
}

// Guards against a text that is nested too deeply for the parser and ends the process.
TEST(PlatformTest, RejectsDeeplyNestedTexts)
{
    const std::string nested = "{\"a\":" + std::string(100'000, '[');
    EXPECT_FALSE(parseDocumentsResponse(nested));
    EXPECT_FALSE(parseVmListResponse(nested));
    EXPECT_FALSE(parseLoadReport(TargetId("t1"), nested));
}

} // namespace
} // namespace berylridge::test
