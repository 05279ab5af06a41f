// Reports fatal signals: writes one log line before the signal ends the process.
#pragma once

#include <cstddef>
#include <memory>

namespace berylridge {

/// Installs handlers for SIGSEGV, SIGBUS, SIGFPE, SIGILL and SIGABRT. They write the event
/// FatalSignal to standard output, where log lines go, and then let the signal end the process.
/// Signals that already have a handler keep it.
void installFatalSignalHandlers();

/// Provides an alternate stack for signal handlers on the calling thread, so that an overflow of
/// the thread's own stack is reported too. It must be destroyed on the thread that created it.
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
