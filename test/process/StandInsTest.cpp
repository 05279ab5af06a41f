// Tests of the stand-ins. The process tests rely on their counts and on the faults that they
// inject.
#include "AnswerText.h"
#include "ChildProcess.h"
#include "HttpCall.h"
#include "JsonText.h"
#include "Outcome.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <regex>
#include <sstream>

using namespace berylridge;
using namespace berylridge::test;

namespace {

/// A stand-in process that listens on a free port.
class StandIn
{
public:
    StandIn(const std::string &program, std::vector<std::string> arguments)
        : m_log((std::filesystem::temp_directory_path()
                 / (program + "-" + std::to_string(getpid()) + "-" + std::to_string(nextSerial())))
                    .string())
        , process(program, std::move(arguments), m_log)
    {
        waitUntil([this] { return readPort(); });
    }
    ~StandIn() { std::filesystem::remove(m_log); }
    StandIn(const StandIn &) = delete;
    StandIn &operator=(const StandIn &) = delete;

    CallSpec spec(const std::string &method, const std::string &target,
                  const std::string &body = "") const
    {
        CallSpec spec;
        spec.endpoint = m_endpoint;
        spec.method = method;
        spec.target = target;
        spec.body = body;
        return spec;
    }
    Json::Value json(const std::string &target) const
    {
        const auto value = parseJson(fetch(spec("GET", target)).body);
        return value ? *value : Json::Value();
    }

private:
    bool readPort()
    {
        std::ostringstream text;
        text << std::ifstream(m_log).rdbuf();
        const std::string logText = text.str();
        std::smatch match;
        if (!std::regex_search(logText, match, std::regex("listening on ([0-9.]+):([0-9]+)\n")))
            return false;
        m_endpoint = {match[1], static_cast<std::uint16_t>(std::stoi(match[2]))};
        return true;
    }

    static int nextSerial()
    {
        static int number = 0;
        return number++;
    }

    std::string m_log;
    Endpoint m_endpoint;

public:
    ChildProcess process;
};

const std::string prompt = R"({"prompt":"celadon","tokens":10})";

} // namespace

TEST(StandIns, StreamIsDeterministicAndResumes)
{
    const StandIn engine("standin-engine", {"--tokens-per-second", "1000"});
    const auto expectedBody = completeStream(prompt, 10);
    const auto first = fetch(engine.spec("POST", "/generate", prompt));
    EXPECT_EQ(classifyResponse(first, expectedBody, true), Outcome::Served);
    EXPECT_FALSE(first.header("X-Boot-Id").empty());

    auto spec = engine.spec("POST", "/generate", prompt);
    spec.headers.emplace_back("Last-Event-ID", "4");
    const auto rest = fetch(spec);
    EXPECT_TRUE(expectedBody.ends_with(rest.body));
    EXPECT_TRUE(rest.body.starts_with("id: 5\n"));
}

TEST(StandIns, InjectedFaultsAreVisibleToTheCaller)
{
    const StandIn engine("standin-engine", {"--tokens-per-second", "1000", "--warm-after", "0"});
    const auto callWithFault
        = [&](const std::string &fault, Duration limit = std::chrono::seconds(30)) {
              fetch(engine.spec("POST", "/control", fault));
              auto spec = engine.spec("POST", "/generate", prompt);
              spec.headers.emplace_back("X-Attempt-Id", "attempt-1");
              spec.timeout = limit;
              return fetch(spec);
          };
    EXPECT_EQ(callWithFault(R"({"order":"cut-answer"})").end, CallEnd::Truncated);
    EXPECT_EQ(callWithFault(R"({"order":"cut-before"})").end, CallEnd::NoResponse);
    EXPECT_EQ(callWithFault(R"({"order":"hang"})", std::chrono::seconds(1)).end, CallEnd::TimedOut);
    EXPECT_EQ(callWithFault(R"({"order":"crossed"})").header("X-Attempt-Id"), "another-attempt-1");
    EXPECT_EQ(callWithFault(R"({"order":"none"})").header("X-Attempt-Id"), "attempt-1");
}

TEST(StandIns, ColdEngineCrashesWhenOverloaded)
{
    StandIn engine("standin-engine", {"--cold-slots", "1", "--tokens-per-second", "5"});
    auto spec = engine.spec("POST", "/generate", prompt);
    boost::asio::io_context io;
    PooledHttpClient caller(io);
    std::vector<CallEnd> ends;
    for (int i = 0; i < 2; ++i)
        caller.call(spec, [&](const CallResult &result) { ends.push_back(result.end); });
    io.run();
    EXPECT_EQ(ends.size(), 2U);
    EXPECT_EQ(engine.process.wait(std::chrono::seconds(30)), 70);
}

TEST(StandIns, MarkedBodyCrashesTheEngine)
{
    StandIn engine("standin-engine", {"--deadly-marker", "poison"});
    fetch(engine.spec("POST", "/generate", R"({"prompt":"poison"})"));
    EXPECT_EQ(engine.process.wait(std::chrono::seconds(30)), 71);
}

TEST(StandIns, ClosingTheConnectionCancelsTheRequest)
{
    const StandIn engine("standin-engine", {"--tokens-per-second", "5"});
    auto spec = engine.spec("POST", "/generate", prompt);
    spec.timeout = std::chrono::milliseconds(300);
    EXPECT_EQ(fetch(spec).end, CallEnd::TimedOut);
    EXPECT_TRUE(waitUntil([&] { return engine.json("/stats")["cancels"].asUInt64() == 1; }));
    EXPECT_EQ(engine.json("/load")["running"].asUInt(), 0U);
}

// The service executes the purchase and its response is lost. The caller cannot tell whether it
// ran, but the count must include the execution; otherwise a duplicate purchase would stay
// undetected.
TEST(StandIns, PurchaseIsCountedWhenItsResponseIsLost)
{
    const StandIn service("standin-service", {});
    fetch(service.spec("POST", "/control", R"({"order":"cut-answer"})"));
    auto spec = service.spec("POST", "/purchases", "{}");
    spec.headers.emplace_back("Idempotency-Key", "k1");
    EXPECT_NE(fetch(spec).end, CallEnd::Complete);
    EXPECT_EQ(classifyResponse(fetch(spec), purchaseResponse("{}"), true), Outcome::Served);
    EXPECT_EQ(service.json("/stats")["executionsByKey"]["k1"].asUInt64(), 2U);
}

TEST(StandIns, PlatformWatchReturnsUpdatesAndStaleModeServesAnOldRevision)
{
    const StandIn platform("standin-platform", {});
    const auto putDocument = [&](int version) {
        const auto text = R"({"name":"fleet","text":"{}","version":)" + std::to_string(version);
        EXPECT_EQ(fetch(platform.spec("PUT", "/v1/documents", text + "}")).status, 200U);
    };
    putDocument(1);
    const auto first = platform.json("/v1/documents?since=0");
    const auto revision = first["revision"].asUInt64();
    EXPECT_EQ(first["documents"][0]["version"].asUInt(), 1U);

    // A caller watches for the next revision and receives it as soon as it is stored.
    boost::asio::io_context io;
    PooledHttpClient caller(io);
    CallResult watched;
    caller.call(
        platform.spec("GET", "/v1/documents?since=" + std::to_string(revision) + "&wait=60"),
        [&](CallResult result) { watched = std::move(result); });
    io.run_for(std::chrono::milliseconds(100));
    putDocument(2);
    io.run();
    EXPECT_EQ((*parseJson(watched.body))["documents"][0]["version"].asUInt(), 2U);

    fetch(platform.spec("POST", "/control",
                        R"({"mode":"stale","revision":)" + std::to_string(revision) + "}"));
    EXPECT_EQ(platform.json("/v1/documents")["documents"][0]["version"].asUInt(), 1U);
    fetch(platform.spec("POST", "/control", R"({"mode":"down"})"));
    EXPECT_EQ(fetch(platform.spec("GET", "/v1/documents")).end, CallEnd::NoResponse);
    fetch(platform.spec("POST", "/control", R"({"mode":"normal"})"));
    EXPECT_EQ(platform.json("/v1/documents")["documents"][0]["version"].asUInt(), 2U);
}
