// Where a process died: one log line before a fatal signal ends it.
#pragma once

#include <cstddef>
#include <memory>

namespace berylridge {

/// From now on SIGSEGV, SIGBUS, SIGFPE, SIGILL and SIGABRT write the event FatalSignal to standard
/// output, where log lines go, before they end the process as they would have. A signal that has a
/// handler keeps it.
void installFatalSignalHandlers();

/// A stack for signal handlers of the calling thread, so that an overflow of the thread's own stack
/// is reported too. Ends on the thread that made it.
class AlternateSignalStack
{
public:
    AlternateSignalStack();
    ~AlternateSignalStack();
    AlternateSignalStack(const AlternateSignalStack &) = delete;
    AlternateSignalStack &operator=(const AlternateSignalStack &) = delete;

private:
    std::unique_ptr<std::byte[]> m_memory;
};

} // namespace berylridge
