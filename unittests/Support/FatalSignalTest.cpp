#include "berylridge/Support/FatalSignal.h"

#include <csignal>
#include <cstdlib>
#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

using namespace berylridge;

namespace {

/// Recurses until the stack of the calling thread overflows.
std::size_t overflowStack(const volatile std::size_t *depth) // NOLINT(misc-no-recursion): intended
{
    const volatile std::size_t next = *depth + 1;
    return next == 0 ? 0 : overflowStack(&next) + next;
}

constexpr bool hasSanitizer =
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    true;
#else
    false;
#endif

} // namespace

// Guards against a process that is terminated by a signal without reporting where.
TEST(FatalSignalDeathTest, ReportsSignalThreadAndStackFrames)
{
    EXPECT_EXIT(
        {
            dup2(STDERR_FILENO, STDOUT_FILENO); // Death tests compare standard error.
            installFatalSignalHandlers();
            std::abort();
        },
        testing::KilledBySignal(SIGABRT),
        R"("event":1013,"name":"FatalSignal","signal":6,.*"thread":".+","frames":\[.*"\+0x)");
}

// Guards against a stack overflow that leaves no stack space for the handler to report it.
TEST(FatalSignalDeathTest, ReportsStackOverflow)
{
    if (hasSanitizer)
        GTEST_SKIP() << "the sanitizer has a handler of its own for this signal";
    EXPECT_EXIT(
        {
            dup2(STDERR_FILENO, STDOUT_FILENO);
            installFatalSignalHandlers();
            std::thread([] {
                const AlternateSignalStack stack;
                const std::size_t depth = 0;
                overflowStack(&depth);
            }).join();
        },
        testing::KilledBySignal(SIGSEGV), R"("name":"FatalSignal","signal":11,.*"frames":\[")");
}

// Guards against replacing a handler that a sanitizer or debugger has installed.
TEST(FatalSignalDeathTest, KeepsExistingHandler)
{
    EXPECT_EXIT(
        {
            std::signal(SIGABRT, [](int) { std::_Exit(3); });
            installFatalSignalHandlers();
            std::abort();
        },
        testing::ExitedWithCode(3), "");
}
