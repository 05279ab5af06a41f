#include "NodeFixture.h"

#include "berylridge/Support/Hash.h"

namespace berylridge::test {
namespace {

std::string get(const Endpoint &endpoint, const std::string &path)
{
    FakeCaller caller(endpoint);
    caller.send("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    return caller.readAll();
}

std::string rpc(const Endpoint &endpoint, const std::string &key)
{
    FakeCaller caller(endpoint);
    caller.send("POST /rpc HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer " + key
                + "\r\nContent-Length: 4\r\n\r\ncall");
    return caller.readAll();
}

TEST(AdminTest, readinessFollowsTheCore)
{
    FakeCore core([](const Event &event, Actions &actions) {
        if (std::get_if<VmListArrived>(&event) != nullptr)
            actions.emplace_back(Readiness {true});
    });
    TestNode node(core);
    EXPECT_TRUE(get(node.node().admin(), "/healthz").starts_with("HTTP/1.1 200 "));
    EXPECT_TRUE(get(node.node().admin(), "/readyz").starts_with("HTTP/1.1 503 "));
    node.node().post(VmListArrived {});
    EXPECT_TRUE(eventually(
        [&] { return get(node.node().admin(), "/readyz").starts_with("HTTP/1.1 200 "); }));
}

TEST(AdminTest, metricsCountRequestsAndRejections)
{
    FakeCore core([](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event))
            actions.emplace_back(Refuse {arrived->handle, 429, Verdict::NotRun, "the queue is full",
                                         "queue-full", std::nullopt});
    });
    TestNode node(core);
    FakeCaller caller = node.caller();
    caller.send(requestText("GET", "/v1/services/shop/x"));
    caller.readUntil("}");
    const std::string text = get(node.node().admin(), "/metrics");
    for (const char *line : {"\nberylridge_requests_total{verdict=\"not-run\"} 1\n",
                             "\nberylridge_refusals_total{type=\"queue-full\"} 1\n",
                             "\nberylridge_request_seconds_count 1\n",
                             "\nberylridge_request_seconds_bucket{le=\"+Inf\"} 1\n"})
        EXPECT_NE(text.find(line), std::string::npos) << line << text;
}

TEST(AdminTest, rpcHandlerReceivesOperatorFlag)
{
    FakeCore core;
    TestNode node(
        core, [](Settings &settings) { settings.operatorsKeyDigest = credentialDigest("secret"); },
        [](std::string_view request, bool isOperator) {
            return std::string(request) + (isOperator ? " by operator" : " by stranger");
        });
    EXPECT_TRUE(rpc(node.node().admin(), "secret").ends_with("call by operator"));
    const std::string rejected = rpc(node.node().admin(), "guess");
    EXPECT_TRUE(rejected.starts_with("HTTP/1.1 401 ")) << rejected;
    EXPECT_TRUE(rejected.ends_with("call by stranger")) << rejected;
}

} // namespace
} // namespace berylridge::test
