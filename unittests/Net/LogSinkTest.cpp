#include "berylridge/Net/LogSink.h"

#include "LogLine.h"
#include "NodeFixture.h"

#include "berylridge/Support/LogRateLimiter.h"

#include <future>

namespace berylridge::test {
namespace {

TEST(LogSinkTest, writesEventNumberAndName)
{
    std::vector<std::string> lines;
    {
        LogSink sink(LogLevel::Warning,
                     [&](LogLevel, const std::string &line) { lines.push_back(line); });
        sink.add({LogEventId::TargetState, "below the level"});
        sink.add({LogEventId::TargetCold, "t1"});
    }
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_NE(lines[0].find(R"("event":4003,"name":"TargetCold","detail":"t1"})"),
              std::string::npos)
        << lines[0];
}

TEST(LogSinkTest, closeWritesQueuedRecords)
{
    // Guards against lines that are lost when the process ends without destroying the sink.
    std::vector<std::string> lines;
    LogSink sink(LogLevel::Info, [&](LogLevel, const std::string &line) { lines.push_back(line); });
    sink.add({LogEventId::NodeStopped, "a1"});
    EXPECT_TRUE(sink.close());
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_NE(lines[0].find("NodeStopped"), std::string::npos) << lines[0];
}

/// Returns the number after "name": in a line, or 0 if there is none.
std::uint64_t parseDropCount(const std::string &line, const std::string &name)
{
    const std::size_t at = line.find("\"" + name + "\":");
    return at == std::string::npos ? 0 : std::stoull(line.substr(at + name.size() + 3));
}

TEST(LogSinkTest, addDoesNotBlockOnStalledReader)
{
    // Guards against a stalled log reader that blocks traffic. The first write blocks, the queue
    // fills up, and further records are dropped. When the reader resumes, lines above the rate
    // limit are dropped too. Every record must be written or counted by event name.
    std::promise<void> resumeReader;
    const auto gate = resumeReader.get_future().share();
    std::vector<std::string> lines;
    const std::size_t count = LogSink::queueLimit + 100;
    {
        LogSink sink(LogLevel::Info, [&, gate](LogLevel, const std::string &line) {
            gate.wait();
            lines.push_back(line);
        });
        for (std::size_t i = 0; i < count; ++i)
            sink.add({LogEventId::TargetState, "line"});
        EXPECT_GE(sink.dropped(), 99U);
        resumeReader.set_value();
    }
    std::uint64_t written = 0;
    std::uint64_t reportedDrops = 0;
    for (const std::string &line : lines) {
        const bool isDropReport = line.find("\"event\":1008,") != std::string::npos;
        reportedDrops += isDropReport ? parseDropCount(line, "TargetState") : 0;
        written += isDropReport ? 0 : 1;
    }
    EXPECT_GT(written, 100U);
    EXPECT_GT(reportedDrops, 99U);
    EXPECT_EQ(written + reportedDrops, count);
}

TEST(LogSinkTest, writesAllFieldsOfARecord)
{
    LogRecord record {LogEventId::RequestRefused, "say \"when\"\n", "r1"};
    record.fields["waitMs"] = 12;
    record.fields["steps"][0]["target"] = "t1";
    EXPECT_EQ(formatLogLine(record, WallTime(std::chrono::milliseconds(1767225600007))),
              R"({"time":"2026-01-01T00:00:00.007Z","level":"info","event":5001,)"
              R"("name":"RequestRefused","request":"r1","detail":"say \"when\"\n",)"
              R"("steps":[{"target":"t1"}],"waitMs":12})");
}

TEST(LogRateLimiterTest, RequestLinesLeaveBudgetForWarnings)
{
    // A thousand rejected requests per second must not use up the budget for the warning that gives
    // their cause.
    const ManualClock clock;
    LogRateLimiter rateLimiter({10, 1000});
    int written = 0;
    for (int i = 0; i < 1000; ++i)
        written += rateLimiter.tryTake(10, LogLevel::Info, clock.now()) ? 1 : 0;
    EXPECT_EQ(written, 15);
    EXPECT_TRUE(rateLimiter.tryTake(10, LogLevel::Warning, clock.now()));
    EXPECT_FALSE(rateLimiter.tryTake(2000, LogLevel::Error, clock.now()));
}

} // namespace
} // namespace berylridge::test
