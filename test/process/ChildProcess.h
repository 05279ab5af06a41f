// A program that a test starts. Its output goes to a file, and the destructor kills it.
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
    /// Starts a program from the build directory; appends its output to the log file.
    ChildProcess(const std::string &program, std::vector<std::string> arguments,
                 const std::string &logFile);
    /// Kills the process if it still runs.
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void sendSignal(int number) const;
    /// Returns the exit status, or 128 plus the number of the signal that terminated the process;
    /// empty while it runs.
    std::optional<int> status();
    /// Waits for the process to exit. Returns empty if it still runs after the timeout.
    std::optional<int> wait(Duration timeout);
    /// Sends SIGKILL and waits for the process to exit.
    void kill();

    /// Returns the largest resident memory that the process has had; 0 once it has ended.
    std::size_t peakMemoryBytes() const;
    std::size_t openDescriptors() const;

    const std::string &logFile() const { return m_logFile; }

private:
    std::string m_logFile;
    pid_t m_pid = -1;
    std::optional<int> m_status;
};

/// Polls a condition until it holds. Returns false if it does not hold within the timeout.
bool waitUntil(const std::function<bool()> &condition, Duration timeout = std::chrono::seconds(30));

} // namespace berylridge::test
