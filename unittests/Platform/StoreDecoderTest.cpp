// Tests the decoding of recorded responses of the platform's store.
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
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
      R"("idle_timeout_ms":15000,"tokens_per_s":720000},"tenants":[{"name":"w","api_keys":["k1","k2"]}]})";

std::string storeItem(const std::string &key, const std::string &value, int revision)
{
    return R"({"key":")" + key + R"(","value":")" + encodeBase64(value) + R"(","rev":)"
        + std::to_string(revision) + "}";
}

} // namespace

TEST(StoreDecoder, ParsesRecordedTarget)
{
    const auto record = parseTargetRecord("i-1", 9, recordedTarget);
    ASSERT_TRUE(record) << record.failureReason();
    EXPECT_EQ(record->id, "i-1");
    EXPECT_EQ(record->revision, 9U);
    EXPECT_EQ(record->service, "huvo11a");
    EXPECT_EQ(record->address, "10.128.0.9");
    EXPECT_EQ(record->port, 8080);
    EXPECT_EQ(record->coldRemainingMs, 250U);
    EXPECT_EQ(record->startedAtMs, 17645);
    EXPECT_EQ(record->softwareVersion, "v1");
    EXPECT_FALSE(record->isDraining);
}

TEST(StoreDecoder, ParsesCallerLimits)
{
    const CallerLimitsSpec expected {16384, 4194304, 3000, 15000};
    EXPECT_EQ(parseCatalog(recordedCatalog)->callerLimits, expected);
}

// Guards against limits of another type or beyond its range, which end the process or reject all.
TEST(StoreDecoder, IgnoresInvalidCallerLimits)
{
    for (const std::string value : {"-1", "1e300", "\"4096\"", "null", "[]"}) {
        std::string text = recordedCatalog;
        text.replace(text.find("4194304"), 7, value);
        text.replace(text.find("15000"), 5, value);
        const CallerLimitsSpec expected {16384, 0, 3000, 0};
        EXPECT_EQ(parseCatalog(text)->callerLimits, expected) << value;
    }
}

// Guards against records that grow with the text of a version, and against two long versions that
// look the same.
TEST(StoreDecoder, BoundsVersionsAndKeepsThemApart)
{
    const auto versionOf = [](const std::string &version) {
        std::string text = recordedTarget;
        text.replace(text.find("\"v1\""), 4, '"' + version + '"');
        const auto record = parseTargetRecord("i-1", 9, text);
        EXPECT_TRUE(record) << record.failureReason();
        return record ? record->softwareVersion : std::string();
    };
    const std::string longText(1000, 'v');
    EXPECT_LE(versionOf(longText + "1").size(), 64U);
    EXPECT_NE(versionOf(longText + "1"), versionOf(longText + "2"));
    EXPECT_EQ(versionOf(longText + "1"), versionOf(longText + "1"));
    EXPECT_EQ(versionOf(""), "");
}

// Other writers store entries under the same prefix as the targets.
TEST(StoreDecoder, RejectsEntriesThatAreNotTargets)
{
    EXPECT_FALSE(parseTargetRecord("i", 1, "not json"));
    EXPECT_FALSE(parseTargetRecord("i", 1, "[]"));
    for (const auto &[from, to] :
         {std::pair<std::string, std::string> {R"("state":"ready")", R"("state":"odd")"},
          {R"("slots":128)", R"("slots":"128")"},
          {R"("addr":"10.128.0.9:8080",)", ""},
          {R"("zone":"vn-north-a")", R"("zone":7)"},
          {R"("cold_left_ms":250)", R"("cold_left_ms":null)"}}) {
        std::string text = recordedTarget;
        text.replace(text.find(from), from.size(), to);
        EXPECT_FALSE(parseTargetRecord("i", 1, text)) << text;
    }
}

// Guards against a process that ends, or that stops following the store, because of one entry.
TEST(StoreDecoder, OneInvalidEntryLeavesTheOthers)
{
    const auto with = [](const std::string &from, const std::string &to) {
        std::string text = recordedTarget;
        return text.replace(text.find(from), from.size(), to);
    };
    const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
    for (const std::string &invalid :
         {nested, "{\"a\":" + nested + "}", with("\"slots\":128", "\"slots\":" + nested),
          with("\"slots\":128", "\"slots\":4294967296"), with("\"slots\":128", "\"slots\":-1"),
          with("\"slots\":128", "\"slots\":1e400"), with("\"seq\":4", "\"seq\":1e30"),
          with("\"seq\":4", "\"seq\":99999999999999999999999"),
          with("\"cold_left_ms\":250", "\"cold_left_ms\":1e999"), with(":8080", ":65536"),
          with(":8080", ":0"), with(":8080", ":-1"), with(":8080", ":99999999999999999999"),
          with("10.128.0.9", "10.128.0.999"), with("huvo11a", std::string(500'000, 's')),
          with("vn-north-a", std::string(500'000, 'z')), std::string("\xff\xfe\x00{", 4)}) {
        const auto response = parseStoreResponse(
            R"({"as_of":9,"events":[)" + storeItem("servers/i-1", recordedTarget, 7) + ","
            + storeItem("servers/odd", invalid, 8) + ","
            + storeItem("servers/i-2", recordedTarget, 9) + "]}");
        ASSERT_TRUE(response) << response.failureReason();
        ASSERT_EQ(response->items.size(), 3U);
        EXPECT_FALSE(std::get<TargetRecord>(response->items[0]).isRemoved);
        EXPECT_TRUE(std::get<TargetRecord>(response->items[1]).isRemoved) << invalid.substr(0, 200);
        EXPECT_FALSE(std::get<TargetRecord>(response->items[2]).isRemoved);
    }
}

// Guards against times that don't fit into their fields, whose conversion is undefined.
TEST(StoreDecoder, TimesOutOfRangeAreIgnored)
{
    for (const std::string value : {"1e300", "-1", "5000000"}) {
        std::string text = recordedCatalog;
        text.replace(text.find("\"cold_s\":3.0"), 12, "\"cold_s\":" + value);
        EXPECT_EQ(parseCatalog(text)->services[0].coldMs, 0U) << value;
        text = recordedTarget;
        text.replace(text.find(":250"), 4, ":" + value + "000");
        const auto record = parseTargetRecord("i-1", 9, text);
        EXPECT_TRUE(!record || record->coldRemainingMs == 0) << value;
    }
}

TEST(StoreDecoder, ParsesRecordedCatalog)
{
    const auto catalog = parseCatalog(recordedCatalog);
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

// Requests of a kind that this release doesn't know must not be repeated.
TEST(StoreDecoder, RouteOfUnknownKindIsNotRetryable)
{
    std::string text = recordedCatalog;
    const std::string from = R"("type":"stream")";
    text.replace(text.find(from), from.size(), R"("type":"newer")");
    EXPECT_FALSE(parseCatalog(text)->routes[0].isRetryable());
}

TEST(StoreDecoder, ParsesListing)
{
    const auto response
        = parseStoreResponse(R"({"entries":[)" + storeItem("op/config", recordedCatalog, 3) + ","
                             + storeItem("servers/i-1", recordedTarget, 5) + ","
                             + storeItem("op/evacuate/vn-north-a", "{}", 6) + ","
                             + storeItem("other/key", "x", 7) + R"(],"truncated":true,"as_of":9})");
    ASSERT_TRUE(response) << response.failureReason();
    EXPECT_EQ(response->revision, 9U);
    EXPECT_TRUE(response->hasMore);
    EXPECT_EQ(response->lastKey, "other/key");
    ASSERT_EQ(response->items.size(), 4U);
    EXPECT_TRUE(std::holds_alternative<Catalog>(response->items[0]));
    EXPECT_EQ(std::get<TargetRecord>(response->items[1]).id, "i-1");
    EXPECT_TRUE(std::get<ZoneRecord>(response->items[2]).isEvacuated);
    EXPECT_TRUE(response->errors.empty());
}

TEST(StoreDecoder, ParsesWatchResponse)
{
    const auto response
        = parseStoreResponse(R"({"events":[{"key":"servers/i-1","rev":10,"removed":true},)"
                             R"({"key":"op/evacuate/z","rev":11,"removed":true},)"
                             + storeItem("servers/i-2", "rubbish", 12) + R"(],"as_of":12})");
    ASSERT_TRUE(response) << response.failureReason();
    ASSERT_EQ(response->items.size(), 3U);
    EXPECT_TRUE(std::get<TargetRecord>(response->items[0]).isRemoved);
    EXPECT_FALSE(std::get<ZoneRecord>(response->items[1]).isEvacuated);
    // An invalid entry removes the target that its id named before.
    EXPECT_TRUE(std::get<TargetRecord>(response->items[2]).isRemoved);
    EXPECT_EQ(response->errors.size(), 1U);
}

TEST(StoreDecoder, RejectsOtherBodies)
{
    EXPECT_FALSE(parseStoreResponse(""));
    EXPECT_FALSE(parseStoreResponse(R"({"entries":[]})"));
    EXPECT_FALSE(parseStoreResponse("null"));
}

// Guards against a process that ends because of one value in the store: the parser throws if a
// value is nested too deep.
TEST(StoreDecoder, RejectsValuesThatAreNestedTooDeep)
{
    const std::string nested = R"({"version":)" + std::string(100'000, '[');
    EXPECT_FALSE(parseCatalog(nested));
    EXPECT_FALSE(parseTargetRecord("i-1", 9, nested));
    EXPECT_FALSE(parseStoreResponse(nested));
    const auto response
        = parseStoreResponse(R"({"as_of":9,"events":[)" + storeItem("op/config", nested, 9) + "]}");
    ASSERT_TRUE(response);
    EXPECT_TRUE(response->items.empty());
    EXPECT_EQ(response->errors.size(), 1U);
}
