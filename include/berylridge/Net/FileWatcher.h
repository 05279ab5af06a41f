// Notices that a file was written, without the help of the system: some machines offer none.
#pragma once

#include "berylridge/Net/Asio.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <string>

namespace berylridge {

/// Looks at the file's time and size now and then. Lives on the context's thread.
class FileWatcher
{
public:
    /// Operators don't scheduleCheck for a change of settings that they don't signal.
    static constexpr std::chrono::milliseconds checkPeriod {2000};

    FileWatcher(asio::io_context &context, std::string path, std::function<void()> onChanged);

private:
    /// Equal as long as the file is the same; empty where it can't be looked at.
    std::string readFingerprint() const;
    void scheduleCheck();

    asio::steady_timer m_timer;
    const std::string m_path;
    std::function<void()> m_onChanged;
    std::string m_fingerprint;
};

} // namespace berylridge
