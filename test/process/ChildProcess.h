// A program that a test starts: its output goes to a file, and it is gone when the test is over.
#pragma once

#include "berylridge/Support/Time.h"

#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace berylridge::test {

class ChildProcess
{
public:
    /// Starts a program of the build with these arguments; output goes to the log file.
    ChildProcess(const std::string &program, std::vector<std::string> arguments,
                 const std::string &logFile);
    /// Kills it if it still runs.
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void sendSignal(int number) const;
    /// The exit status, or 128 plus the sendSignal's number; empty while it runs.
    std::optional<int> status();
    /// Waits for the end. Empty if it still runs after the timeout.
    std::optional<int> wait(Duration timeout);
    /// SIGKILL, and waits for the end.
    void kill();

    const std::string &logFile() const { return m_logFile; }

private:
    std::string m_logFile;
    pid_t m_pid = -1;
    std::optional<int> m_status;
};

/// Asks a condition again and again until it holds. False if it doesn't within the timeout.
bool waitUntil(const std::function<bool()> &condition, Duration timeout = std::chrono::seconds(30));

} // namespace berylridge::test
