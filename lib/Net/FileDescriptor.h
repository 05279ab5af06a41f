// Owns a file descriptor of the operating system.
#pragma once

#include <unistd.h>
#include <utility>

namespace berylridge {

class FileDescriptor
{
public:
    explicit FileDescriptor(int number = none)
        : m_number(number)
    {
    }
    ~FileDescriptor()
    {
        if (isOpen())
            ::close(m_number);
    }
    FileDescriptor(FileDescriptor &&other) noexcept
        : m_number(other.release())
    {
    }
    FileDescriptor(const FileDescriptor &) = delete;
    FileDescriptor &operator=(const FileDescriptor &) = delete;

    bool isOpen() const { return m_number != none; }
    int number() const { return m_number; }
    /// Transfers ownership to the caller.
    int release() { return std::exchange(m_number, none); }

private:
    static constexpr int none = -1;

    int m_number;
};

} // namespace berylridge
