#include "berylridge/Support/FatalSignal.h"

#include "berylridge/Support/LogEvent.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <ctime>
#include <execinfo.h>
#include <string_view>
#include <sys/prctl.h>
#include <unistd.h>

// Start and end of the program's code, defined by the linker.
extern "C" {
extern const char __executable_start; // NOLINT: the linker's name
extern const char etext;              // NOLINT: the linker's name
}

namespace berylridge {

namespace {

constexpr std::size_t signalStackBytes = 64 << 10;
constexpr int maxFrames = 48;
constexpr auto fatalSignals = std::to_array<int>({SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT});

std::uintptr_t addressOf(const void *place)
{
    return reinterpret_cast<std::uintptr_t>(place);
}

/// Builds a line in a fixed buffer, because a signal handler must not allocate heap memory.
class FixedSizeLine
{
public:
    FixedSizeLine &text(std::string_view text)
    {
        const std::size_t size = std::min(text.size(), m_bytes.size() - m_size);
        std::copy_n(text.begin(), size, m_bytes.begin() + static_cast<std::ptrdiff_t>(m_size));
        m_size += size;
        return *this;
    }

    FixedSizeLine &number(std::uint64_t number, int base = 10)
    {
        std::array<char, 24> digits {};
        const auto end = std::to_chars(digits.begin(), digits.end(), number, base).ptr;
        return text({digits.data(), static_cast<std::size_t>(end - digits.data())});
    }

    void write() const
    {
        const ssize_t ignored = ::write(STDOUT_FILENO, m_bytes.data(), m_size);
        static_cast<void>(ignored); // A failed write cannot be reported anywhere.
    }

private:
    std::array<char, 4096> m_bytes {};
    std::size_t m_size = 0;
};

std::uint64_t unixMs()
{
    timespec now {};
    clock_gettime(CLOCK_REALTIME, &now);
    return static_cast<std::uint64_t>(now.tv_sec) * 1000
        + static_cast<std::uint64_t>(now.tv_nsec) / 1000000;
}

/// Appends the stack frames. Addresses in the program are written as offsets in its file, as symbol
/// tables have them; other addresses are written as absolute addresses.
void appendFrames(FixedSizeLine &line)
{
    std::array<void *, maxFrames> frames {};
    const int count = ::backtrace(frames.data(), maxFrames);
    const std::uintptr_t begin = addressOf(&__executable_start);
    const std::uintptr_t end = addressOf(&etext);
    line.text(",\"frames\":[");
    for (int i = 0; i < count; ++i) {
        const std::uintptr_t at = addressOf(frames.at(static_cast<std::size_t>(i)));
        const bool isOwn = at >= begin && at < end;
        line.text(i > 0 ? ",\"" : "\"").text(isOwn ? "+0x" : "0x");
        line.number(isOwn ? at - begin : at, 16).text("\"");
    }
    line.text("]");
}

void onFatalSignal(int number, siginfo_t *info, void *)
{
    std::array<char, 16> thread {};
    ::prctl(PR_GET_NAME, thread.data());
    const LogEventInfo &event = logEventInfo(LogEventId::FatalSignal);
    FixedSizeLine line;
    line.text("{\"unixMs\":").number(unixMs()).text(",\"level\":\"");
    line.text(logLevelName(event.level)).text("\",\"event\":");
    line.number(static_cast<std::uint64_t>(event.id)).text(",\"name\":\"").text(event.name);
    line.text("\",\"signal\":").number(static_cast<std::uint64_t>(number));
    line.text(",\"address\":\"0x").number(addressOf(info->si_addr), 16);
    line.text("\",\"thread\":\"").text(thread.data()).text("\"");
    appendFrames(line);
    line.text("}\n").write();
    // SA_RESETHAND has restored the default action, so raising the signal again ends the process.
    ::raise(number);
}

} // namespace

void installFatalSignalHandlers()
{
    // The first call of backtrace() loads the unwinder library, which a signal handler must not do.
    std::array<void *, 1> frame {};
    ::backtrace(frame.data(), 1);
    for (const int number : fatalSignals) {
        struct sigaction known = {};
        ::sigaction(number, nullptr, &known);
        if ((known.sa_flags & SA_SIGINFO) != 0 || known.sa_handler != SIG_DFL)
            continue;
        struct sigaction action = {};
        action.sa_sigaction = onFatalSignal;
        action.sa_flags = SA_SIGINFO | SA_ONSTACK | static_cast<int>(SA_RESETHAND);
        ::sigaction(number, &action, nullptr);
    }
}

AlternateSignalStack::AlternateSignalStack()
    : m_memory(std::make_unique<std::byte[]>(signalStackBytes))
{
    stack_t stack = {};
    stack.ss_sp = m_memory.get();
    stack.ss_size = signalStackBytes;
    ::sigaltstack(&stack, nullptr);
}

AlternateSignalStack::~AlternateSignalStack()
{
    stack_t none = {};
    none.ss_flags = SS_DISABLE;
    ::sigaltstack(&none, nullptr);
}

} // namespace berylridge
