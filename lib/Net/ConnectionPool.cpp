#include "ConnectionPool.h"

#include "HttpSerialization.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace berylridge {

namespace {

/// Returns whether neither bytes nor an end of stream are pending on an idle connection; both are
/// unexpected there.
bool hasNoPendingInput(tcp::socket &socket)
{
    std::array<char, 1> byte {};
    error_code error;
    socket.receive(asio::buffer(byte), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

ConnectionPool::Clock::duration fractionOf(std::chrono::seconds whole, double fraction)
{
    return std::chrono::duration_cast<ConnectionPool::Clock::duration>(whole * fraction);
}

} // namespace

std::optional<std::chrono::seconds> announcedIdleTimeout(const http::fields &head)
{
    constexpr std::string_view name = "timeout=";
    const std::string_view text = view(head[http::field::keep_alive]);
    const std::size_t at = text.find(name);
    if (at == std::string_view::npos)
        return std::nullopt;
    const std::string_view number = text.substr(at + name.size());
    unsigned seconds = 0;
    const auto [end, error]
        = std::from_chars(number.data(), number.data() + number.size(), seconds);
    if (error != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

std::optional<tcp::socket> ConnectionPool::take(const Endpoint &endpoint, ResendPolicy resendPolicy,
                                                Clock::time_point now)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end())
        return std::nullopt;
    auto &idle = found->second;
    while (!idle.empty()) {
        const Idle &last = idle.back();
        if (now > (resendPolicy == ResendPolicy::Allowed ? last.usableWithResendUntil
                                                         : last.usableWithoutResendUntil))
            return std::nullopt; // The other connections have been idle for longer.
        tcp::socket socket = std::move(idle.back().socket);
        idle.pop_back();
        if (hasNoPendingInput(socket))
            return socket;
    }
    return std::nullopt;
}

void ConnectionPool::put(const Endpoint &endpoint, tcp::socket socket,
                         std::optional<std::chrono::seconds> announced, std::size_t limit,
                         Clock::time_point now)
{
    error_code error;
    if (!socket.non_blocking()) // Set only once per connection, to save the system call.
        socket.non_blocking(true, error);
    auto &idle = m_idle[endpoint];
    if (error || idle.size() >= limit)
        return;
    Clock::duration withResend = maxIdleTime;
    Clock::duration withoutResend = maxIdleTimeWithoutResend;
    if (announced) {
        withResend = std::min(withResend, fractionOf(*announced, idleFractionWithResend));
        withoutResend = std::min<Clock::duration>(
            maxIdleTime, fractionOf(*announced, idleFractionWithoutResend));
    }
    idle.push_back({std::move(socket), now + withResend, now + withoutResend});
}

void ConnectionPool::closeIdle(Clock::time_point now)
{
    for (auto &[endpoint, idle] : m_idle)
        std::erase_if(idle, [&](const Idle &entry) { return entry.usableWithResendUntil < now; });
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace berylridge
