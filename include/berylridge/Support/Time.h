// The two clocks that the decision core is handed: one that only moves forward, for leases and
// waits, and the wall clock, for the age of idempotency keys.
#pragma once

#include <chrono>
#include <cmath>
#include <concepts>
#include <cstdint>

namespace berylridge {

using Duration = std::chrono::microseconds;

/// Tag for time that never steps back. Its epoch is arbitrary and differs between nodes.
struct MonotonicTime
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicTime>;
    static constexpr bool is_steady = true; // NOLINT: the name that std::chrono asks for
};

using TimePoint = MonotonicTime::time_point;
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// What a clock of the system must offer.
template <typename T>
concept Clock = requires(const T &clock)
{
    {
        clock.now()
        } -> std::same_as<TimePoint>;
    {
        clock.wallNow()
        } -> std::same_as<WallTime>;
};

/// The clocks of the machine.
class SystemClock
{
public:
    TimePoint now() const
    {
        return TimePoint(std::chrono::duration_cast<Duration>(
            std::chrono::steady_clock::now().time_since_epoch()));
    }
    WallTime wallNow() const
    {
        return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    }
};

/// A clock that stands still until a test or a replay advances it.
class ManualClock
{
public:
    TimePoint now() const { return m_now; }
    WallTime wallNow() const { return m_wall; }

    void advance(Duration by)
    {
        m_now += by;
        m_elapsed += by;
        m_wall = wallStart() + std::chrono::floor<std::chrono::milliseconds>(m_elapsed);
    }

private:
    /// 2026-01-01, so that keys made under this clock are valid UUIDv7 times.
    static constexpr WallTime wallStart()
    {
        return WallTime(std::chrono::milliseconds(1767225600000));
    }

    TimePoint m_now {Duration(1'000'000)};
    Duration m_elapsed {0};
    WallTime m_wall = wallStart();
};

static_assert(Clock<SystemClock> && Clock<ManualClock>);

/// Seconds as a floating-point number, for metrics and virtual time.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// The nearest duration to a number of seconds.
inline Duration fromSeconds(double seconds)
{
    return Duration(std::llround(seconds * 1e6));
}

/// Durations stand as whole milliseconds in messages; below zero counts as zero.
inline std::uint32_t toMilliseconds(Duration duration)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return ms > 0 ? static_cast<std::uint32_t>(ms) : 0;
}

constexpr Duration fromMilliseconds(std::uint32_t ms)
{
    return std::chrono::milliseconds(ms);
}

} // namespace berylridge
