#include "berylridge/Net/LogSink.h"

#include "ThreadName.h"

#include <condition_variable>
#include <deque>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace berylridge {

namespace {

constexpr std::chrono::seconds closeLimit {1};

std::string lineOf(const LogRecord &record)
{
    const LogEventInfo &info = logEventInfo(record.id);
    std::string line = std::to_string(static_cast<unsigned>(info.id)) + " ";
    line.append(info.name);
    if (!record.detail.empty())
        line.append(": ").append(record.detail);
    return line;
}

log4cplus::LogLevel levelOf(LogLevel level)
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
    Write write;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<Line> lines;
    std::uint64_t dropped = 0;
    std::uint64_t droppedSaid = 0;
    bool isClosing = false;
    bool isDone = false;

    /// The next line to write; nothing once the sink closes and all is written.
    std::optional<Line> next()
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [this] { return isClosing || !lines.empty(); });
        if (lines.empty()) {
            isDone = true;
            changed.notify_all();
            return std::nullopt;
        }
        if (dropped != droppedSaid) {
            const std::uint64_t count = dropped - std::exchange(droppedSaid, dropped);
            return Line {LogLevel::Warning,
                         lineOf({LogEventId::LogLinesDropped, std::to_string(count) + " lines"})};
        }
        Line line = std::move(lines.front());
        lines.pop_front();
        return line;
    }
};

LogSink::LogSink(LogLevel lowest, Write write)
    : m_lowest(lowest)
    , m_shared(std::make_shared<Shared>())
{
    m_shared->write = std::move(write);
    m_writer = std::thread([shared = m_shared] {
        nameThread("log");
        while (const auto line = shared->next())
            shared->write(line->level, line->text);
    });
}

LogSink::~LogSink()
{
    bool isDone = false;
    {
        std::unique_lock lock(m_shared->mutex);
        m_shared->isClosing = true;
        m_shared->changed.notify_all();
        isDone = m_shared->changed.wait_for(lock, closeLimit, [this] { return m_shared->isDone; });
    }
    if (isDone)
        m_writer.join();
    else
        m_writer.detach(); // Stuck in a write that the log's reader doesn't take.
}

void LogSink::add(const LogRecord &record)
{
    const LogLevel level = logEventInfo(record.id).level;
    if (level < m_lowest || level == LogLevel::Retired)
        return;
    Line line {level, lineOf(record)};
    const std::lock_guard lock(m_shared->mutex);
    if (m_shared->lines.size() >= queueLimit) {
        ++m_shared->dropped;
        return;
    }
    m_shared->lines.push_back(std::move(line));
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
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%q} %p %m%n")));
    log4cplus::Logger logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("berylridge"));
    logger.addAppender(appender);
    return [library, logger](LogLevel level, const std::string &line) {
        logger.log(levelOf(level), LOG4CPLUS_STRING_TO_TSTRING(line));
    };
}

LogLevel logLevelOf(std::string_view name)
{
    if (name == "error")
        return LogLevel::Error;
    return name == "warning" ? LogLevel::Warning : LogLevel::Info;
}

} // namespace berylridge
