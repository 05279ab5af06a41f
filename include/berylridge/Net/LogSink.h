// Writes numbered events to the log without blocking its callers.
#pragma once

#include "berylridge/Support/LogEvent.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

namespace berylridge {

/// A bounded queue and a writer thread, which formats records as lines of JSON. A log reader that
/// is slow or has stopped blocks only the writer thread. Records that exceed the queue and lines
/// that exceed the limits on lines and bytes per second are dropped, counted by event, and reported
/// in at most one line per second.
class LogSink
{
public:
    using Write = std::function<void(LogLevel level, const std::string &line)>;

    static constexpr std::size_t queueLimit = 4096;

    /// Calls write only on the writer thread.
    LogSink(LogLevel minLevel, Write write);
    /// Calls close().
    ~LogSink();
    LogSink(const LogSink &) = delete;
    LogSink &operator=(const LogSink &) = delete;

    /// Queues a record. Thread-safe.
    void add(LogRecord record);

    /// Writes the queued records, but waits at most one second for a log reader that has stopped.
    /// Records that are added later are lost. Returns whether all are written.
    bool close();

    /// Returns the number of records that were dropped.
    std::uint64_t dropped() const;

private:
    struct Shared;

    const LogLevel m_minLevel;
    /// Shared with the writer thread, which outlives the sink if a write blocks.
    std::shared_ptr<Shared> m_shared;
    std::thread m_writer;
};

/// Returns a write function that uses log4cplus and writes to standard output.
LogSink::Write log4cplusWriter();

/// Converts "info", "warning" or "error", the levels of the settings. There is no "debug".
LogLevel parseLogLevel(std::string_view name);

} // namespace berylridge
