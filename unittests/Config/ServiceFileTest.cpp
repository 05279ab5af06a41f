// Tests reading service files and the workspaces file, and the resulting documents.
#include "berylridge/Config/ServiceFile.h"
#include "berylridge/Config/DocumentWriter.h"

#include <gtest/gtest.h>

using namespace berylridge;

namespace {

std::string digestOf(char c)
{
    return std::string(64, c);
}

WorkspacesFile workspaces()
{
    const auto read = readWorkspacesFile("w",
                                         R"({
  "workspaces": {"bat-trang": ")" + digestOf('a')
                                             + R"(", "hue": ")" + digestOf('b') + R"("},
  "groups": {"potters": {"bat-trang": 3, "hue": 1}}})");
    return read.value.value_or(WorkspacesFile());
}

template <typename T>
std::string errorsOf(const ReadResult<T> &read)
{
    std::string text;
    for (const auto &diagnostic : read.diagnostics)
        text += diagnostic.str() + "\n";
    return text;
}

constexpr std::string_view shopFile = R"({
  "service": "shop", // kiln-test credits
  "slots": 4,
  "targets": {"a": {"a1": "10.0.2.1:9001", "a2": {"at": "10.0.2.2:9001", "isLeaving": true}}},
  "routes": {"POST /orders": "once", "POST /lookup": "idempotent"},
  "workspaces": {"potters": 2, "hue": {"weight": 5, "queueLimit": 7}}
})";

} // namespace

TEST(ServiceFile, ConvertsToAServiceDocument)
{
    const auto read = readServiceFile("shop", shopFile, workspaces());
    ASSERT_TRUE(read.value) << errorsOf(read);
    const auto &shop = *read.value;
    ASSERT_EQ(shop.workspaces.size(), 2U);
    EXPECT_EQ(shop.workspaces[0].workspace, WorkspaceId("bat-trang"));
    EXPECT_EQ(shop.workspaces[0].weight, 6);
    EXPECT_EQ(shop.workspaces[0].credentialDigest, digestOf('a'));
    EXPECT_EQ(shop.workspaces[1].weight, 5);
    EXPECT_EQ(shop.workspaces[1].queueLimit, 7U);
    ASSERT_EQ(shop.targets.size(), 2U);
    EXPECT_EQ(shop.targets[0].target, TargetId("shop.a1"));
    EXPECT_TRUE(shop.targets[1].isLeaving);
    EXPECT_TRUE(shop.routes[0].isIdempotent);
    EXPECT_FALSE(shop.routes[1].isIdempotent);
}

TEST(ServiceFile, WrittenDocumentReadsBackUnchanged)
{
    const auto shop = *readServiceFile("shop", shopFile, workspaces()).value;
    const auto text = writeServiceDocument(shop);
    const auto again = readServiceDocument("document", text);
    ASSERT_TRUE(again.value) << errorsOf(again);
    EXPECT_EQ(writeServiceDocument(*again.value), text);

    const auto envelope = readEnvelope("e", writeEnvelope({"service/shop", 3, text}));
    ASSERT_TRUE(envelope.value) << errorsOf(envelope);
    EXPECT_EQ(envelope.value->text, text);
    EXPECT_EQ(envelope.value->version, 3U);
}

TEST(ServiceFile, ReportsEveryErrorAtItsLine)
{
    const auto read = readServiceFile("shop", R"({
  "service": "shop",
  "targets": {
    "a": {"a1": "10.0.2.1", "a2": "10.0.2.2:9001"},
    "b": {"a2": "10.0.3.2:9001", "b1": "10.0.2.2:9001"}
  },
  "routes": {"/orders": "once",
    "POST /orders": "twice"},
  "workspaces": {"hoi-an": 1,
    "hue": 0}
})",
                                      workspaces());
    EXPECT_EQ(errorsOf(read),
              R"(shop:4: targets.a.a1: must be an IP address and a port, as in "10.0.1.7:7400"
shop:5: targets.b.a2: another zone has a target of the same name
shop:5: targets.b.b1: another target has the same address and port
shop:7: routes./orders: its name must be a method and a path, as in "POST /v1/orders"
shop:8: routes.POST /orders: must be "idempotent" or "once"
shop:9: workspaces.hoi-an: names no workspace and no group of the workspaces file
shop:10: workspaces.hue: must be a number from 0.001 to 1e+06
)");
}

// If two groups of a service contain the same workspace, its weight is ambiguous; the operator must
// resolve it.
TEST(ServiceFile, GroupsMayNotOverlapInAService)
{
    auto shared = workspaces();
    shared.groups["large"] = {{"bat-trang", 8}};
    const auto read = readServiceFile(
        "shop", R"({"service": "shop", "workspaces": {"potters": 1, "large": 1}})", shared);
    EXPECT_EQ(errorsOf(read),
              "shop:1: workspaces.potters: has workspace bat-trang in common with another group\n");
}

TEST(WorkspacesFile, ReportsEveryError)
{
    const auto read = readWorkspacesFile("w", R"({
  "workspaces": {"hue": "secret", "hue": "x",
    "a": ")" + digestOf('a') + R"(",
    "b": ")" + digestOf('a') + R"("},
  "groups": {"a": {"hue": 1},
    "potters": {"nobody": 1}}})");
    EXPECT_EQ(errorsOf(read),
              "w:2: workspaces.hue: given more than once\n"
              "w:2: workspaces.hue: must be 64 hex digits in lower case, as "
              "`berylctl digest` prints them\n"
              "w:4: workspaces.b: another workspace has the same digest\n"
              "w:5: groups.a: a workspace has the same name\n"
              "w:6: groups.potters.nobody: names no workspace of this file\n");
}
