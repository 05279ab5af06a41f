// Notices that a file was written, without the help of the system: some machines offer none.
#pragma once

#include "berylridge/Net/Asio.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <string>

namespace berylridge {

/// Looks at the file's time and size now and then. Lives on the context's thread.
class FileWatch
{
public:
    /// Operators don't wait for a change of settings that they don't signal.
    static constexpr std::chrono::milliseconds period {2000};

    FileWatch(asio::io_context &context, std::string path, std::function<void()> changed);

private:
    /// Equal as long as the file is the same; empty where it can't be looked at.
    std::string stamp() const;
    void wait();

    asio::steady_timer m_timer;
    const std::string m_path;
    std::function<void()> m_changed;
    std::string m_stamp;
};

} // namespace berylridge
