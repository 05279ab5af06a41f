#include "berylridge/Net/FileWatch.h"

#include <filesystem>
#include <utility>

namespace berylridge {

FileWatch::FileWatch(asio::io_context &context, std::string path, std::function<void()> changed)
    : m_timer(context)
    , m_path(std::move(path))
    , m_changed(std::move(changed))
    , m_stamp(stamp())
{
    wait();
}

std::string FileWatch::stamp() const
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

void FileWatch::wait()
{
    m_timer.expires_after(period);
    m_timer.async_wait([this](error_code error) {
        if (error)
            return;
        std::string now = stamp();
        // A file that is just being replaced is looked at again in a moment.
        if (!now.empty() && std::exchange(m_stamp, now) != now)
            m_changed();
        wait();
    });
}

} // namespace berylridge
