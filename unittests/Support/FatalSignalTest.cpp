#include "berylridge/Support/FatalSignal.h"

#include <csignal>
#include <cstdlib>
#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

using namespace berylridge;

namespace {

/// Calls itself until the stack of the calling thread is used up.
std::size_t overflowStack(
    const volatile std::size_t *depth) // NOLINT(misc-no-recursion): its purpose
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

// Guards against a process that dies without a word of where.
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

// Guards against an overflow of a thread's stack leaving no room to tell of it.
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

// Guards against a handler that a sanitizer or debugger had set being lost.
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
