#include "ConnectionPool.h"

#include <array>
#include <utility>

namespace berylridge {

namespace {

/// A byte or an end that waits on an idle connection is something unexpected.
bool isClean(tcp::socket &socket)
{
    std::array<char, 1> byte {};
    error_code error;
    socket.receive(asio::buffer(byte), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace

std::optional<tcp::socket> ConnectionPool::take(const Endpoint &endpoint)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end())
        return std::nullopt;
    auto &idle = found->second;
    while (!idle.empty()) {
        tcp::socket socket = std::move(idle.back().socket);
        idle.pop_back();
        if (isClean(socket))
            return socket;
    }
    return std::nullopt;
}

void ConnectionPool::put(const Endpoint &endpoint, tcp::socket socket)
{
    error_code error;
    if (!socket.non_blocking()) // Once a connection: it is a system call.
        socket.non_blocking(true, error);
    auto &idle = m_idle[endpoint];
    if (error || idle.size() >= limitPerTarget)
        return;
    idle.push_back({std::move(socket), std::chrono::steady_clock::now()});
}

void ConnectionPool::closeIdle()
{
    const auto oldest = std::chrono::steady_clock::now() - idleLimit;
    for (auto &[endpoint, idle] : m_idle)
        std::erase_if(idle, [&](const Idle &entry) { return entry.since < oldest; });
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace berylridge
