#include "ChildProcess.h"

#include <csignal>
#include <cstdio>
#include <fcntl.h>
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
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = -1;
    const int error = posix_spawn(&pid, path.c_str(), &files, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&files);
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

void ChildProcess::signal(int number) const
{
    if (!m_status)
        ::kill(m_pid, number);
}

std::optional<int> ChildProcess::status()
{
    int raw = 0;
    if (!m_status && waitpid(m_pid, &raw, WNOHANG) == m_pid)
        m_status = WIFEXITED(raw) ? WEXITSTATUS(raw) : 128 + WTERMSIG(raw);
    return m_status;
}

std::optional<int> ChildProcess::wait(Duration limit)
{
    eventually([this] { return status().has_value(); }, limit);
    return status();
}

void ChildProcess::kill()
{
    if (status())
        return;
    signal(SIGKILL);
    wait(std::chrono::seconds(30));
}

bool eventually(const std::function<bool()> &condition, Duration limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(pollPeriod);
    }
    return true;
}

} // namespace berylridge::test
