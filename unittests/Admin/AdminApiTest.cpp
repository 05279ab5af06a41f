// Tests the administration API through RpcClient, with a fake node behind it.
#include "berylridge/Admin/AdminApi.h"
#include "berylridge/Admin/RpcClient.h"
#include "berylridge/Support/Hash.h"

#include <gtest/gtest.h>

using namespace berylridge;

namespace {

struct FakeNode
{
    AuditTrail trail;
    std::string state = "ready";
    std::vector<std::string> executedCommands;
    std::vector<LogEventId> logged;
    AdminApi api {hooks(), trail};

    AdminHooks hooks()
    {
        AdminHooks built;
        built.node = NodeId("a1");
        built.status = [this] { return status(); };
        built.explain = [](const std::string &id) { return std::vector {"request " + id, id}; };
        built.leave = [this](const std::string &who) { execute("leave " + who, "leaving"); };
        built.returnToService
            = [this](const std::string &who) { execute("return " + who, "ready"); };
        built.documents = [] { return std::vector<DocumentText> {{"fleet", 3, "{}"}}; };
        built.log = [this](const LogRecord &record) { logged.push_back(record.id); };
        built.wallNow = [] { return WallTime(std::chrono::milliseconds(1767225600123)); };
        return built;
    }

    NodeStatus status() const
    {
        NodeStatus built;
        built.node = NodeId("a1");
        built.state = state;
        built.documents = {DocumentVersionEntry {"fleet", 3}};
        built.members.push_back({NodeId("b1"), ZoneId("b"), "live", 7, 0.5});
        built.targets.emplace_back();
        built.workspaces.emplace_back();
        return built;
    }

    void execute(std::string what, std::string next)
    {
        executedCommands.push_back(std::move(what));
        state = std::move(next);
    }

    RpcReply call(const std::string &method, const Json::Value &parameters = Json::objectValue,
                  bool isOperator = true)
    {
        return callRpc(
            [&](const std::string &request, std::string &response) {
                response = api.handleRpc(request, isOperator);
                return true;
            },
            method, parameters);
    }
};

Json::Value parameters(const std::string &name, const Json::Value &value)
{
    Json::Value built;
    built[name] = value;
    return built;
}

} // namespace

TEST(AdminApi, ReturnsStatus)
{
    FakeNode node;
    const auto reply = node.call("status");
    ASSERT_TRUE(reply.isSuccess) << reply.reason;
    EXPECT_EQ(reply.result["node"].asString(), "a1");
    EXPECT_EQ(reply.result["documents"][0]["version"].asUInt(), 3U);
    EXPECT_EQ(reply.result["members"][0]["state"].asString(), "live");
    EXPECT_EQ(reply.result["targets"].size(), 1U);
    EXPECT_EQ(reply.result["workspaces"].size(), 1U);
}

TEST(AdminApi, LeaveAndReturnAreAuditedWithOperatorName)
{
    FakeNode node;
    EXPECT_EQ(node.call("leave", parameters("who", "lan")).result["state"].asString(), "leaving");
    EXPECT_EQ(node.call("return").result["state"].asString(), "ready");
    EXPECT_EQ(node.executedCommands, (std::vector<std::string> {"leave lan", "return operator"}));

    const auto trail = node.call("audit").result["entries"];
    ASSERT_EQ(trail.size(), 2U);
    EXPECT_EQ(trail[0]["kind"].asString(), "operator-call");
    EXPECT_EQ(trail[0]["who"].asString(), "lan");
    EXPECT_EQ(trail[0]["what"].asString(), "leave");
    EXPECT_EQ(trail[0]["whenMs"].asInt64(), 1767225600123);
}

TEST(AdminApi, EveryCallIsAudited)
{
    FakeNode node;
    for (const auto *method : {"status", "documents", "events"})
        EXPECT_TRUE(node.call(method).isSuccess) << method;
    EXPECT_TRUE(node.call("explain", parameters("requestId", "r-1")).isSuccess);
    const auto page = node.call("audit").result;
    EXPECT_EQ(page["node"].asString(), "a1");
    ASSERT_EQ(page["entries"].size(), 4U);
    EXPECT_EQ(page["entries"][3]["what"].asString(), "explain r-1");
    const auto next = node.call("audit", parameters("after", page["last"])).result;
    ASSERT_EQ(next["entries"].size(), 1U);
    EXPECT_EQ(next["entries"][0]["what"].asString(), "audit");
}

// Guards against an unauthorized client that commands the node to leave through the admin port.
// Without the operators' key the request isn't parsed; the attempt is logged and recorded in the
// audit trail.
TEST(AdminApi, CallWithoutKeyIsRejected)
{
    FakeNode node;
    const auto reply = node.call("leave", parameters("who", "lan"), false);
    EXPECT_FALSE(reply.isSuccess);
    EXPECT_EQ(node.state, "ready");
    EXPECT_TRUE(node.executedCommands.empty());
    EXPECT_EQ(node.logged, std::vector {LogEventId::OperatorRejected});
    EXPECT_EQ(node.trail.after(0, 10).entries.at(0).entry.what, "rejected");
}

TEST(AdminApi, InvalidParametersAreRejected)
{
    FakeNode node;
    EXPECT_NE(node.call("explain").reason.find("requestId is missing"), std::string::npos);
    EXPECT_FALSE(node.call("leave", parameters("who", std::string(65, 'x'))).isSuccess);
    EXPECT_FALSE(node.call("leave", parameters("who", "a\nb")).isSuccess);
    EXPECT_FALSE(node.call("audit", parameters("after", -1)).isSuccess);
    EXPECT_FALSE(node.call("documents", parameters("withText", 1)).isSuccess);
    EXPECT_FALSE(node.call("reboot").isSuccess);
    EXPECT_TRUE(node.executedCommands.empty());
}

TEST(AdminApi, RespondsWithErrorToInvalidBodies)
{
    FakeNode node;
    for (const std::string body :
         {"", "{", "[]", "3", "null", R"({"jsonrpc": {}, "method": []})",
          R"({"jsonrpc": "2.0", "method": "leave", "params": 3, "id": 1})"})
        EXPECT_NE(node.api.handleRpc(body, true).find("error"), std::string::npos) << body;
    EXPECT_NE(node.api.handleRpc(std::string(100'000, '['), true).find("error"), std::string::npos);
    EXPECT_TRUE(node.executedCommands.empty());
}

TEST(AdminApi, ReturnsDocumentTextOnlyOnRequest)
{
    FakeNode node;
    EXPECT_FALSE(node.call("documents").result["documents"][0].isMember("text"));
    const auto reply = node.call("documents", parameters("withText", true));
    EXPECT_EQ(reply.result["documents"][0]["text"].asString(), "{}");
}

TEST(AdminApi, TransportFailureIsReported)
{
    const auto reply = callRpc(
        [](const std::string & /*request*/, std::string &response) {
            response = "connection refused";
            return false;
        },
        "status", Json::objectValue);
    EXPECT_FALSE(reply.isSuccess);
    EXPECT_EQ(reply.reason, "connection refused");
}

TEST(OperatorsKey, AcceptsOnlyBearerTokenWithTheKey)
{
    const auto digest = credentialDigest("secret");
    EXPECT_TRUE(isOperatorsKey("Bearer secret", digest));
    EXPECT_FALSE(isOperatorsKey("Bearer secre", digest));
    EXPECT_FALSE(isOperatorsKey("secret", digest));
    EXPECT_FALSE(isOperatorsKey("", digest));
    EXPECT_FALSE(isOperatorsKey("Bearer secret", ""));
}
