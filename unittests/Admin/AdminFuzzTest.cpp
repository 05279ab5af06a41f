// Sends mutated request bodies, with a fixed seed and a bounded count, to the administration API.
#include "Config/Mutator.h"
#include "berylridge/Admin/AdminApi.h"

#include <gtest/gtest.h>

using namespace berylridge;

// For any body the response is empty (a notification) or JSON-RPC, and no exception leaves the
// component. An exception would terminate the control thread, and with it the router.
TEST(AdminFuzz, MutatedBodiesNeverThrow)
{
    AuditTrail trail;
    AdminHooks hooks;
    hooks.status = [] { return NodeStatus(); };
    hooks.explain = [](const std::string & /*id*/) { return std::vector<std::string>(); };
    hooks.leave = [](const std::string & /*who*/) {};
    hooks.returnToService = [](const std::string & /*who*/) {};
    hooks.log = [](const LogRecord & /*record*/) {};
    hooks.wallNow = [] { return WallTime(); };
    AdminApi api(hooks, trail);

    Mutator mutator(20261203);
    for (
        const std::string seedBody :
        {R"({"jsonrpc":"2.0","id":1,"method":"audit","params":{"after":3,"limit":10,"who":"lan"}})",
         R"([{"jsonrpc":"2.0","id":"x","method":"explain","params":{"requestId":"r-1"}}])"}) {
        for (int i = 0; i < 10000; ++i) {
            const auto body = mutator.mutate(seedBody);
            const auto response = api.handleRpc(body, true);
            ASSERT_TRUE(response.empty() || response.find("jsonrpc") != std::string::npos) << body;
        }
    }
}
