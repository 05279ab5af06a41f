// Detects changes of a file by polling, because some VMs have no file notification service.
#pragma once

#include "berylridge/Net/Asio.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <string>

namespace berylridge {

/// Polls the file's modification time and size. Runs on the context's thread.
class FileWatcher
{
public:
    /// Polling is fast enough: operators who need a change of settings at once send a signal.
    static constexpr std::chrono::milliseconds checkPeriod {2000};

    FileWatcher(asio::io_context &context, std::string path, std::function<void()> onChanged);

private:
    /// Returns a string that is the same while the file is unchanged, or an empty one if the file's
    /// status can't be read.
    std::string readFingerprint() const;
    void scheduleCheck();

    asio::steady_timer m_timer;
    const std::string m_path;
    std::function<void()> m_onChanged;
    std::string m_fingerprint;
};

} // namespace berylridge
