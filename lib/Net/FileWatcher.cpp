#include "berylridge/Net/FileWatcher.h"

#include <filesystem>
#include <utility>

namespace berylridge {

FileWatcher::FileWatcher(asio::io_context &context, std::string path,
                         std::function<void()> onChanged)
    : m_timer(context)
    , m_path(std::move(path))
    , m_onChanged(std::move(onChanged))
    , m_fingerprint(readFingerprint())
{
    scheduleCheck();
}

std::string FileWatcher::readFingerprint() const
{
    std::error_code error;
    const auto time = std::filesystem::last_write_time(m_path, error);
    if (error)
        return {};
    const auto size = std::filesystem::file_size(m_path, error);
    if (error)
        return {};
    return std::to_string(time.time_since_epoch().count()) + ' ' + std::to_string(size);
}

void FileWatcher::scheduleCheck()
{
    m_timer.expires_after(checkPeriod);
    m_timer.async_wait([this](error_code error) {
        if (error)
            return;
        std::string current = readFingerprint();
        // The fingerprint is empty while the file is being replaced; the next check reads it again.
        if (!current.empty() && std::exchange(m_fingerprint, current) != current)
            m_onChanged();
        scheduleCheck();
    });
}

} // namespace berylridge
