#include "ChildProcess.h"

#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace berylridge::test {

namespace {

constexpr auto pollPeriod = std::chrono::milliseconds(20);

pid_t spawn(const std::string &path, std::vector<std::string> &arguments, const std::string &log)
{
    std::vector<char *> argv;
    argv.reserve(arguments.size() + 1);
    for (auto &argument : arguments)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t fileActions;
    posix_spawn_file_actions_init(&fileActions);
    posix_spawn_file_actions_addopen(&fileActions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&fileActions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = -1;
    const int error = posix_spawn(&pid, path.c_str(), &fileActions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&fileActions);
    if (error != 0)
        throw std::runtime_error("can't start " + path);
    return pid;
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, std::vector<std::string> arguments,
                           const std::string &logFile)
    : m_logFile(logFile)
{
    const std::string path = std::string(BERYLRIDGE_BIN_DIR) + "/" + program;
    arguments.insert(arguments.begin(), path);
    m_pid = spawn(path, arguments, logFile);
}

ChildProcess::~ChildProcess()
{
    kill();
}

std::size_t ChildProcess::peakMemoryBytes() const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    const std::string name = "VmHWM:";
    for (std::string word; status >> word;) {
        std::size_t kibibytes = 0;
        if (word == name && status >> kibibytes)
            return kibibytes << 10;
    }
    return 0;
}

std::size_t ChildProcess::openDescriptors() const
{
    const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(m_pid) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

void ChildProcess::sendSignal(int number) const
{
    if (!m_status)
        ::kill(m_pid, number);
}

std::optional<int> ChildProcess::status()
{
    int waitStatus = 0;
    if (!m_status && waitpid(m_pid, &waitStatus, WNOHANG) == m_pid)
        m_status = WIFEXITED(waitStatus) ? WEXITSTATUS(waitStatus) : 128 + WTERMSIG(waitStatus);
    return m_status;
}

std::optional<int> ChildProcess::wait(Duration timeout)
{
    waitUntil([this] { return status().has_value(); }, timeout);
    return status();
}

void ChildProcess::kill()
{
    if (status())
        return;
    sendSignal(SIGKILL);
    wait(std::chrono::seconds(30));
}

bool waitUntil(const std::function<bool()> &condition, Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(pollPeriod);
    }
    return true;
}

} // namespace berylridge::test
