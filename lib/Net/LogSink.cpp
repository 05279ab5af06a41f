#include "berylridge/Net/LogSink.h"

#include "LogLine.h"
#include "ThreadName.h"

#include "berylridge/Support/FatalSignal.h"
#include "berylridge/Support/LogRateLimiter.h"

#include <condition_variable>
#include <deque>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace berylridge {

namespace {

constexpr std::chrono::seconds closeTimeout {1};
/// Minimum time between lines that report dropped records.
constexpr Duration dropReportPeriod = std::chrono::seconds(1);

log4cplus::LogLevel log4cplusLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Info:
    case LogLevel::Retired:
        return log4cplus::INFO_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

} // namespace

struct LogSink::Shared
{
    struct Entry
    {
        LogRecord record;
        WallTime time;
    };

    /// Waits for the next record to write. Returns nothing once the sink is closing and the queue
    /// is empty.
    std::optional<Entry> waitForEntry()
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [this] { return isClosing || !entries.empty(); });
        if (entries.empty())
            return std::nullopt;
        Entry entry = std::move(entries.front());
        entries.pop_front();
        return entry;
    }

    void drop(LogEventId id)
    {
        ++dropped;
        ++unreportedDrops[id];
    }

    /// Returns a record that counts the drops since the previous report, or nothing if there were
    /// none or the previous report is too recent.
    std::optional<LogRecord> takeDropReport(TimePoint now)
    {
        const std::lock_guard lock(mutex);
        if (unreportedDrops.empty() || now - lastDropReportAt < dropReportPeriod)
            return std::nullopt;
        lastDropReportAt = now;
        LogRecord record {LogEventId::LogLinesDropped, ""};
        for (const auto &[id, count] : std::exchange(unreportedDrops, {}))
            record.fields[std::string(logEventInfo(id).name)] = Json::UInt64(count);
        return record;
    }

    /// Writes records until the sink is closed.
    void writeAll();

    Write write;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<Entry> entries;
    std::uint64_t dropped = 0;
    std::map<LogEventId, std::uint64_t> unreportedDrops;
    TimePoint lastDropReportAt {};
    bool isClosing = false;
    bool isDone = false;
};

void LogSink::Shared::writeAll()
{
    const SystemClock clock;
    LogRateLimiter rateLimiter {LogRateLimiter::Limits()};
    while (const auto entry = waitForEntry()) {
        const LogLevel level = logEventInfo(entry->record.id).level;
        const std::string line = formatLogLine(entry->record, entry->time);
        if (!rateLimiter.tryTake(line.size(), level, clock.now())) {
            const std::lock_guard lock(mutex);
            drop(entry->record.id);
            continue;
        }
        if (const auto dropReport = takeDropReport(clock.now()))
            write(LogLevel::Warning, formatLogLine(*dropReport, clock.wallNow()));
        write(level, line);
    }
    if (const auto dropReport = takeDropReport(clock.now() + dropReportPeriod))
        write(LogLevel::Warning, formatLogLine(*dropReport, clock.wallNow()));
}

LogSink::LogSink(LogLevel minLevel, Write write)
    : m_minLevel(minLevel)
    , m_shared(std::make_shared<Shared>())
{
    m_shared->write = std::move(write);
    m_writer = std::thread([shared = m_shared] {
        setThreadName("log");
        const AlternateSignalStack stack;
        shared->writeAll();
        const std::lock_guard lock(shared->mutex);
        shared->isDone = true;
        shared->changed.notify_all();
    });
}

LogSink::~LogSink()
{
    if (close())
        m_writer.join();
    else
        m_writer.detach(); // The writer is blocked because the log's reader has stopped.
}

bool LogSink::close()
{
    std::unique_lock lock(m_shared->mutex);
    m_shared->isClosing = true;
    m_shared->changed.notify_all();
    return m_shared->changed.wait_for(lock, closeTimeout, [this] { return m_shared->isDone; });
}

void LogSink::add(LogRecord record)
{
    const LogLevel level = logEventInfo(record.id).level;
    if (level < m_minLevel || level == LogLevel::Retired)
        return;
    const WallTime time = SystemClock().wallNow();
    const std::lock_guard lock(m_shared->mutex);
    if (m_shared->entries.size() >= queueLimit) {
        m_shared->drop(record.id);
        return;
    }
    m_shared->entries.push_back({std::move(record), time});
    m_shared->changed.notify_all();
}

std::uint64_t LogSink::dropped() const
{
    const std::lock_guard lock(m_shared->mutex);
    return m_shared->dropped;
}

LogSink::Write log4cplusWriter()
{
    const auto library = std::make_shared<log4cplus::Initializer>();
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(false, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
    log4cplus::Logger logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("berylridge"));
    logger.addAppender(appender);
    return [library, logger](LogLevel level, const std::string &line) {
        logger.log(log4cplusLevel(level), LOG4CPLUS_STRING_TO_TSTRING(line));
    };
}

LogLevel parseLogLevel(std::string_view name)
{
    if (name == "error")
        return LogLevel::Error;
    return name == "warning" ? LogLevel::Warning : LogLevel::Info;
}

} // namespace berylridge
