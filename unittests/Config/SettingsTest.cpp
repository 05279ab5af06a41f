// Tests which values are read from the settings file, and which errors are reported.
#include "berylridge/Config/Settings.h"

#include <gtest/gtest.h>

using namespace berylridge;

namespace {

const std::string valid = R"({
  "node": "a1", "zone": "a",
  "callers": {"address": "127.0.1.1", "port": 8080},
  "peers": {"address": "127.0.1.1", "port": 7400},
  "admin": {"address": "127.0.1.1", "port": 7500}, // operators only
  "fleetKey": "0123456789abcdef0123456789abcdef",
  "operatorsKeyDigest": "0e5751c026e543b2e8ab2eb06099daa1d1e5df47778f7787faab45cdf12fe3a8",
  "platform": [{"address": "127.0.9.1", "port": 8500}],
  "seeds": [{"node": "b1", "zone": "b", "address": "127.0.1.2", "port": 7400}],
  "chartDirectory": "charts",
  "stopLimitMs": 5000
})";

} // namespace

TEST(Settings, ReadsValidSettings)
{
    const auto read = readSettings("r.json", valid);
    ASSERT_TRUE(read.value) << (read.diagnostics.empty() ? "" : read.diagnostics[0].str());
    EXPECT_EQ(read.value->peers, (Endpoint {"127.0.1.1", 7400}));
    EXPECT_EQ(read.value->advertised, read.value->peers);
    EXPECT_EQ(read.value->stopLimit, std::chrono::seconds(5));
    EXPECT_EQ(read.value->seeds.at(0).node, NodeId("b1"));
    EXPECT_EQ(read.value->sharing, "fleet");
}

// If nodes reach each other through a forwarder, they must advertise its address instead of the
// address that they listen on.
TEST(Settings, AdvertisedEndpointMayDiffer)
{
    std::string text = valid;
    text.insert(1, R"("advertised": {"address": "127.0.7.1", "port": 7400},)");
    const auto read = readSettings("r.json", text);
    ASSERT_TRUE(read.value) << (read.diagnostics.empty() ? "" : read.diagnostics[0].str());
    EXPECT_EQ(read.value->advertised, (Endpoint {"127.0.7.1", 7400}));
    EXPECT_EQ(read.value->peers, (Endpoint {"127.0.1.1", 7400}));
}

TEST(Settings, ReportsAllErrorsWithAllowedValues)
{
    std::string text = valid;
    text.replace(text.find("\"a1\""), 4, "\"\"");
    text.replace(text.find("8080"), 4, "true");
    text.replace(text.find("\"chartDirectory\": \"charts\""), 26, "\"sharing\": \"lottery\"");
    text.replace(text.find("stopLimitMs"), 11, "stopLimit");
    std::vector<std::string> lines;
    for (const auto &diagnostic : readSettings("r.json", text).diagnostics)
        lines.push_back(diagnostic.str());
    ASSERT_EQ(lines.size(), 5U);
    EXPECT_EQ(lines[0], "r.json:1: chartDirectory: is missing; must be a string that is not empty");
    EXPECT_TRUE(lines[1].starts_with("r.json:2: node: must be 1 to 64 letters")) << lines[1];
    EXPECT_EQ(lines[2], "r.json:3: callers.port: must be an integer from 1 to 65535");
    EXPECT_EQ(lines[3],
              "r.json:10: sharing: must be \"fleet\", \"per-node\", \"round-robin\" or \"fifo\"");
    EXPECT_TRUE(lines[4].starts_with("r.json:11: stopLimit: unknown name")) << lines[4];
}

// Guards against limits under which a single request takes more than the memory of the VM.
TEST(Settings, LargestRequestsMustFitIntoTheMemory)
{
    std::string text = valid;
    text.replace(text.find("\"stopLimitMs\": 5000"), 19,
                 "\"bodyLimit\": 16777216, \"memoryLimitMb\": 128, \"trafficThreads\": 2");
    const auto read = readSettings("r.json", text);
    ASSERT_EQ(read.diagnostics.size(), 1U);
    EXPECT_NE(read.diagnostics[0].str().find("bodyLimit"), std::string::npos);
    text.replace(text.find("16777216"), 8, "8388608");
    EXPECT_TRUE(readSettings("r.json", text).diagnostics.empty());
}

// Guards against a router on the users' platform that ends with all its requests when its settings
// are reloaded with an empty list: it reads the first endpoint.
TEST(Settings, PlatformNeedsAnEndpoint)
{
    std::string text = valid;
    const std::string endpoints = R"([{"address": "127.0.9.1", "port": 8500}])";
    text.replace(text.find(endpoints), endpoints.size(), "[]");
    const auto read = readSettings("r.json", text);
    EXPECT_FALSE(read.value);
    ASSERT_EQ(read.diagnostics.size(), 1U);
    EXPECT_EQ(read.diagnostics[0].str(), "r.json:8: platform: must name at least one endpoint");
}
