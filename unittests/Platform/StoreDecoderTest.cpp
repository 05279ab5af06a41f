// Recorded answers of the platform's store, as the product's types.
#include "StoreDecoder.h"

#include "berylridge/Net/Base64.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace berylridge::platform;

namespace {

const std::string recordedTarget
    = R"({"service":"huvo11a","addr":"10.128.0.9:8080","zone":"vn-north-a","version":"v1",)"
      R"("slots":128,"state":"ready","cold_left_ms":250,"phase":"mixed","seq":4,"born":17645})";

const std::string recordedCatalog
    = R"({"version":7,"routes":[{"name":"r1","host":"f.example","prefix":"/a/","type":"stream",)"
      R"("timeout_ms":8000,"slo_ms":400,"priority":1,"split":[{"service":"s1","weight":90},)"
      R"({"service":"s2","weight":10}],"attempts":2,"public":false,"sticky":true,)"
      R"("can_resume":true,"itl_target_ms":200},{"name":"r2","host":"f.example","prefix":"/b/",)"
      R"("type":"non_idempotent","timeout_ms":1200,"slo_ms":150,"service":"s2","attempts":1}],)"
      R"("services":[{"name":"s1","max_conns":620,"cold_s":3.0,"cold_per_s":19.0,"engine":)"
      R"({"slots":128,"kv_cap_tokens":1026424}},{"name":"s2","max_conns":100}],)"
      R"("limits":{"tokens_per_s":720000},"tenants":[{"name":"w","api_keys":["k1","k2"]}]})";

std::string item(const std::string &key, const std::string &value, int revision)
{
    return R"({"key":")" + key + R"(","value":")" + encodeBase64(value) + R"(","rev":)"
        + std::to_string(revision) + "}";
}

} // namespace

TEST(StoreDecoder, ReadsARecordedTarget)
{
    const auto record = readTarget("i-1", 9, recordedTarget);
    ASSERT_TRUE(record) << record.failureReason();
    EXPECT_EQ(record->id, "i-1");
    EXPECT_EQ(record->revision, 9U);
    EXPECT_EQ(record->service, "huvo11a");
    EXPECT_EQ(record->address, "10.128.0.9");
    EXPECT_EQ(record->port, 8080);
    EXPECT_EQ(record->coldRemainingMs, 250U);
    EXPECT_EQ(record->startedAtMs, 17645);
    EXPECT_FALSE(record->isDraining);
}

// Entries of other writers lie among the targets' own.
TEST(StoreDecoder, ForeignEntriesNameNoTarget)
{
    EXPECT_FALSE(readTarget("i", 1, "not json"));
    EXPECT_FALSE(readTarget("i", 1, "[]"));
    for (const auto &[from, to] :
         {std::pair<std::string, std::string> {R"("state":"ready")", R"("state":"odd")"},
          {R"("slots":128)", R"("slots":"128")"},
          {R"("addr":"10.128.0.9:8080",)", ""},
          {R"("zone":"vn-north-a")", R"("zone":7)"},
          {R"("cold_left_ms":250)", R"("cold_left_ms":null)"}}) {
        std::string text = recordedTarget;
        text.replace(text.find(from), from.size(), to);
        EXPECT_FALSE(readTarget("i", 1, text)) << text;
    }
}

TEST(StoreDecoder, ReadsARecordedConfiguration)
{
    const auto catalog = readCatalog(recordedCatalog);
    ASSERT_TRUE(catalog) << catalog.failureReason();
    EXPECT_EQ(catalog->version, 7U);
    ASSERT_EQ(catalog->routes.size(), 2U);
    const RouteSpec &stream = catalog->routes[0];
    EXPECT_EQ(stream.requestKind(), RequestKind::Stream);
    EXPECT_TRUE(stream.isRetryable());
    EXPECT_EQ(stream.services.size(), 2U);
    EXPECT_EQ(stream.latencyTargetMs, 400U);
    EXPECT_FALSE(catalog->routes[1].isRetryable());
    EXPECT_EQ(catalog->routes[1].services.at(0).service, "s2");
    EXPECT_TRUE(catalog->services[0].isEngine);
    EXPECT_EQ(catalog->services[0].engineTokens, 1026424U);
    EXPECT_DOUBLE_EQ(catalog->services[0].coldRequestsPerSecond, 19);
    EXPECT_EQ(catalog->services[0].coldMs, 3000U);
    EXPECT_EQ(catalog->workspaces.at(0).credentials.size(), 2U);
    EXPECT_DOUBLE_EQ(catalog->tokensPerSecond, 720000);
}

// A kind of request that this release doesn't know must not be repeated.
TEST(StoreDecoder, AnUnknownKindIsTheStrictest)
{
    std::string text = recordedCatalog;
    const std::string from = R"("type":"stream")";
    text.replace(text.find(from), from.size(), R"("type":"newer")");
    EXPECT_FALSE(readCatalog(text)->routes[0].isRetryable());
}

TEST(StoreDecoder, ReadsAListing)
{
    const auto answer = readStoreAnswer(
        R"({"entries":[)" + item("op/config", recordedCatalog, 3) + ","
        + item("servers/i-1", recordedTarget, 5) + "," + item("op/evacuate/vn-north-a", "{}", 6)
        + "," + item("other/key", "x", 7) + R"(],"truncated":true,"as_of":9})");
    ASSERT_TRUE(answer) << answer.failureReason();
    EXPECT_EQ(answer->revision, 9U);
    EXPECT_TRUE(answer->hasMore);
    EXPECT_EQ(answer->lastKey, "other/key");
    ASSERT_EQ(answer->items.size(), 4U);
    EXPECT_TRUE(std::holds_alternative<Catalog>(answer->items[0]));
    EXPECT_EQ(std::get<TargetRecord>(answer->items[1]).id, "i-1");
    EXPECT_TRUE(std::get<ZoneRecord>(answer->items[2]).isEvacuated);
    EXPECT_TRUE(answer->unreadable.empty());
}

TEST(StoreDecoder, ReadsAWatch)
{
    const auto answer
        = readStoreAnswer(R"({"events":[{"key":"servers/i-1","rev":10,"removed":true},)"
                          R"({"key":"op/evacuate/z","rev":11,"removed":true},)"
                          + item("servers/i-2", "rubbish", 12) + R"(],"as_of":12})");
    ASSERT_TRUE(answer) << answer.failureReason();
    ASSERT_EQ(answer->items.size(), 3U);
    EXPECT_TRUE(std::get<TargetRecord>(answer->items[0]).isRemoved);
    EXPECT_FALSE(std::get<ZoneRecord>(answer->items[1]).isEvacuated);
    // What can't be read takes the place of whatever the same id said before.
    EXPECT_TRUE(std::get<TargetRecord>(answer->items[2]).isRemoved);
    EXPECT_EQ(answer->unreadable.size(), 1U);
}

TEST(StoreDecoder, OtherBodiesAreNoAnswers)
{
    EXPECT_FALSE(readStoreAnswer(""));
    EXPECT_FALSE(readStoreAnswer(R"({"entries":[]})"));
    EXPECT_FALSE(readStoreAnswer("null"));
}
