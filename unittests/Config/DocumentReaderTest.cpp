// Tests which values are read from service and fleet documents, and which errors are reported.
#include "berylridge/Config/DocumentReader.h"

#include <gtest/gtest.h>

using namespace berylridge;

namespace {

constexpr std::string_view valid = R"({
  // The assistant of the recipe pages.
  "service": "assistant",
  "kind": "model-engine",
  "slots": 6, "coldSlots": 2,
  "queueTimeoutMs": 4000,
  "routes": [{"method": "POST", "pathPrefix": "/lookup", "isIdempotent": true}],
  "workspaces": [{"workspace": "bat-trang", "weight": 3,
    "credentialDigest": "0e5751c026e543b2e8ab2eb06099daa1d1e5df47778f7787faab45cdf12fe3a8"}],
  "targets": [{"target": "a1", "zone": "a", "address": "127.0.2.1", "port": 9001}]
})";

std::vector<std::string> errorsOf(std::string_view text)
{
    std::vector<std::string> lines;
    for (const auto &diagnostic : readServiceDocument("s.json", text).diagnostics)
        lines.push_back(diagnostic.str());
    return lines;
}

using Lines = std::vector<std::string>;

} // namespace

TEST(DocumentReader, ReadsAServiceDocument)
{
    const auto read = readServiceDocument("s.json", valid);
    ASSERT_TRUE(read.value);
    EXPECT_EQ(read.value->service, ServiceId("assistant"));
    EXPECT_EQ(read.value->kind, ServiceKind::ModelEngine);
    EXPECT_EQ(read.value->queueTimeout, std::chrono::seconds(4));
    EXPECT_EQ(read.value->slots, 6U);
    ASSERT_EQ(read.value->workspaces.size(), 1U);
    EXPECT_EQ(read.value->workspaces[0].weight, 3);
    EXPECT_EQ(read.value->targets.at(0).port, 9001);
    EXPECT_TRUE(read.value->routes.at(0).isIdempotent);
}

// Operators should be able to correct a file in one pass. The first report must contain an unknown
// name, a wrong type, a value out of range, a missing name and a repeated name, each with its line.
TEST(DocumentReader, ReportsEveryErrorAtOnce)
{
    const auto errors = errorsOf(R"({
  "service": "assistant",
  "slot": 3,
  "slots": 0,
  "warmAfter": "eight",
  "retryBudget": 0.2,
  "retryBudget": 0.3,
  "targets": [
    {"target": "a1", "zone": "a", "address": "localhost", "port": 70000, "port": 1},
    {"target": "a1", "address": "127.0.0.1", "port": 1}
  ]
})");
    ASSERT_EQ(errors.size(), 9U);
    EXPECT_TRUE(errors[0].starts_with("s.json:3: slot: unknown name; allowed here: service, kind"));
    EXPECT_EQ(errors[1], "s.json:4: slots: must be an integer from 1 to 65536");
    EXPECT_EQ(errors[2], "s.json:5: warmAfter: must be an integer from 1 to 1000000");
    EXPECT_EQ(errors[3], "s.json:7: retryBudget: given more than once");
    EXPECT_EQ(errors[4],
              R"(s.json:9: targets[0].address: must be an IP address, as in "10.0.1.7")");
    EXPECT_EQ(errors[5], "s.json:9: targets[0].port: must be an integer from 1 to 65535");
    EXPECT_EQ(errors[6], "s.json:9: targets[0].port: given more than once");
    EXPECT_TRUE(errors[7].starts_with("s.json:10: targets[1].zone: is missing; must be 1 to 64"));
    EXPECT_EQ(errors[8], "s.json:10: targets[1].target: an earlier entry names the same target");
}

TEST(DocumentReader, ChecksFieldsAgainstEachOther)
{
    const std::string digest(64, 'a');
    const std::string workspaces = R"({"service": "s", "slots": 2, "coldSlots": 3, "workspaces": [
      {"workspace": "w", "credentialDigest": ")"
        + digest + R"("},
      {"workspace": "w", "credentialDigest": ")"
        + digest + R"("}]})";
    EXPECT_EQ(errorsOf(workspaces),
              (Lines {
                  "s.json:1: coldSlots: must be at most slots (2)",
                  "s.json:3: workspaces[1].workspace: an earlier entry names the same workspace",
                  "s.json:3: workspaces[1].credentialDigest: another workspace has the same "
                  "credentialDigest",
              }));
}

TEST(DocumentReader, ReportsTheLineOfInvalidJson)
{
    EXPECT_EQ(errorsOf("{\n\"service\": \"s\",\n\"slots\": }\n"),
              Lines {"s.json:3: syntax error: value, object or array expected"});
    EXPECT_EQ(errorsOf("[]"), Lines {"s.json:1: must be an object"});
    EXPECT_EQ(errorsOf("").size(), 1U);
    EXPECT_EQ(errorsOf(std::string(1000, '[')).size(), 1U);
}

TEST(DocumentReader, CountsAllKindsOfLineEnds)
{
    EXPECT_EQ(errorsOf("{\r\n\"service\": \"s\",\r\n\"slots\": 0,\r\n\"slots\": 1}"),
              (Lines {"s.json:3: slots: must be an integer from 1 to 65536",
                      "s.json:4: slots: given more than once"}));
}

TEST(DocumentReader, ReadsTheFleetDocument)
{
    const auto read = readFleetDocument("f.json", R"({"zonesOut": ["b"]})");
    ASSERT_TRUE(read.value);
    EXPECT_EQ(read.value->zonesOut, std::vector {ZoneId("b")});
    EXPECT_EQ(readFleetDocument("f.json", R"({"zonesOut": ["b", "b", 3]})").diagnostics.size(), 2U);
}
