// Writes numbered events to the log without ever making its callers wait.
#pragma once

#include "berylridge/Support/LogEvent.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

namespace berylridge {

/// A bounded queue before a writer thread, which turns records into lines of JSON. A reader of the
/// log that is slow, or has stopped, blocks the writer alone. Records beyond the bound of the
/// queue, and lines beyond the budget of lines and bytes a second, are dropped, counted by event,
/// and told of in one line a second at most.
class LogSink
{
public:
    using Write = std::function<void(LogLevel level, const std::string &line)>;

    static constexpr std::size_t queueLimit = 4096;

    /// write is called on the writer thread alone.
    LogSink(LogLevel minLevel, Write write);
    /// Writes what is queued, but waits no longer than a second for a reader that has stopped.
    ~LogSink();
    LogSink(const LogSink &) = delete;
    LogSink &operator=(const LogSink &) = delete;

    /// From any thread.
    void add(LogRecord record);

    /// Records that were never written.
    std::uint64_t dropped() const;

private:
    struct Shared;

    const LogLevel m_minLevel;
    std::shared_ptr<Shared> m_shared; ///< With the writer, which may outlive a stuck write.
    std::thread m_writer;
};

/// A write function over log4cplus, to standard output.
LogSink::Write log4cplusWriter();

/// "debug" is not known: "info", "warning" or "error", as the settings have it.
LogLevel parseLogLevel(std::string_view name);

} // namespace berylridge
