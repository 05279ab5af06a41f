// Runs each reader on mutated texts, with a fixed seed and a bounded number of rounds. A reader
// must return either a value or at least one diagnostic with a line of the text, and never crash or
// hang. The environment variable BERYLRIDGE_FUZZ_ROUNDS sets the number of rounds for a longer run.
#include "Mutator.h"

#include "berylridge/Config/DocumentWriter.h"
#include "berylridge/Config/Publication.h"
#include "berylridge/Config/ServiceFile.h"
#include "berylridge/Config/Settings.h"

#include <algorithm>
#include <cstdlib>
#include <gtest/gtest.h>

using namespace berylridge;

namespace {

constexpr std::uint64_t seed = 20261203;

const std::string digest(64, 'a');

const std::string validDocument = R"({
  "service": "shop", "kind": "plain", "slots": 6, "coldSlots": 2, "queueTimeoutMs": 4000,
  "retryBudget": 0.25, "bodyLimit": 1000, // bytes
  "routes": [{"method": "POST", "pathPrefix": "/lookup", "isIdempotent": true}],
  "workspaces": [{"workspace": "hue", "weight": 3, "credentialDigest": ")"
    + digest + R"(", "queueLimit": 8}],
  "targets": [{"target": "a1", "zone": "a", "address": "127.0.2.1", "port": 9001}]
})";

const std::string validFleet = "{\n  \"zonesOut\": [\"a\", /* until noon */ \"b\"]\n}";

const std::string validWorkspaces = R"({
  "workspaces": {"hue": ")"
    + digest + R"(", "hoi-an": ")" + std::string(64, 'b') + R"("},
  "groups": {"potters": {"hue": 1, "hoi-an": 2.5}}
})";

const std::string validServiceFile = R"({
  "service": "shop", // credits
  "targets": {"a": {"a1": "10.0.2.1:9001", "a2": {"at": "[fd00::7]:9001", "isLeaving": true}}},
  "routes": {"POST /orders": "once"},
  "workspaces": {"potters": 2, "hue": {"weight": 5, "queueLimit": 7}}
})";

const std::string validSettings = R"({
  "node": "a1", "zone": "a",
  "callers": {"address": "127.0.1.1", "port": 8080},
  "peers": {"address": "127.0.1.1", "port": 7400},
  "admin": {"address": "127.0.1.1", "port": 7500},
  "fleetKey": "0123456789abcdef0123456789abcdef",
  "operatorsKeyDigest": ")"
    + digest + R"(",
  "platform": [{"address": "127.0.9.1", "port": 8500}],
  "seeds": [{"node": "b1", "zone": "b", "address": "127.0.1.2", "port": 7400}],
  "chartDirectory": "charts", "suspectAfterMs": 900
})";

int rounds()
{
    const char *given = std::getenv("BERYLRIDGE_FUZZ_ROUNDS"); // NOLINT(concurrency-mt-unsafe)
    return given ? std::max(1, std::atoi(given)) : 20000;      // NOLINT(cert-err34-c)
}

/// Returns an upper bound of the number of line ends that the parser counts.
int lineEndCount(std::string_view text)
{
    return static_cast<int>(
        std::count_if(text.begin(), text.end(), [](char c) { return c == '\n' || c == '\r'; }));
}

template <typename T>
::testing::AssertionResult isConsistent(const ReadResult<T> &read, const std::string &text)
{
    if (read.value.has_value() != read.diagnostics.empty())
        return ::testing::AssertionFailure() << "expected either a value or diagnostics: " << text;
    for (const auto &diagnostic : read.diagnostics) {
        const bool isInText = diagnostic.line >= 1 && diagnostic.line <= lineEndCount(text) + 1;
        if (!isInText || diagnostic.message.empty())
            return ::testing::AssertionFailure() << diagnostic.str() << "\nin " << text;
    }
    return ::testing::AssertionSuccess();
}

/// Calls the reader with mutated texts. Returns how many of them it accepted as valid.
template <typename Reader>
int fuzz(const std::string &valid, Reader reader)
{
    Mutator mutator(seed);
    EXPECT_TRUE(reader(valid).value.has_value()) << valid;
    int accepted = 0;
    for (int i = 0; i < rounds(); ++i) {
        const auto text = mutator.mutate(valid);
        const auto read = reader(text);
        if (!isConsistent(read, text)) {
            ADD_FAILURE() << "round " << i << ": " << isConsistent(read, text).message();
            return accepted;
        }
        accepted += read.value.has_value() ? 1 : 0;
    }
    return accepted;
}

} // namespace

TEST(Fuzz, ServiceDocument)
{
    const auto accepted = fuzz(validDocument, [](const std::string &text) {
        auto read = readServiceDocument("f", text);
        // A document that a router accepts must be unchanged after writing and reading it again.
        if (read.value) {
            const auto written = writeServiceDocument(*read.value);
            const auto again = readServiceDocument("f", written);
            EXPECT_TRUE(again.value && writeServiceDocument(*again.value) == written) << text;
        }
        return read;
    });
    EXPECT_GT(accepted, 0);
}

TEST(Fuzz, FleetDocument)
{
    EXPECT_GT(
        fuzz(validFleet, [](const std::string &text) { return readFleetDocument("f", text); }), 0);
}

TEST(Fuzz, WorkspacesFile)
{
    EXPECT_GT(fuzz(validWorkspaces,
                   [](const std::string &text) { return readWorkspacesFile("f", text); }),
              0);
}

TEST(Fuzz, ServiceFile)
{
    const auto workspaces = readWorkspacesFile("w", validWorkspaces);
    ASSERT_TRUE(workspaces.value);
    EXPECT_GT(fuzz(validServiceFile,
                   [&](const std::string &text) {
                       return readServiceFile("f", text, *workspaces.value);
                   }),
              0);
}

TEST(Fuzz, Settings)
{
    EXPECT_GT(fuzz(validSettings, [](const std::string &text) { return readSettings("f", text); }),
              0);
}

TEST(Fuzz, Envelope)
{
    EXPECT_GT(fuzz(writeEnvelope({"service/shop", 3, validDocument}),
                   [](const std::string &text) { return readEnvelope("f", text); }),
              0);
}
