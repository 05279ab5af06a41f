// The two clocks of the decision core: a monotonic clock for leases and timeouts, and the wall
// clock for the age of idempotency keys.
#pragma once

#include <chrono>
#include <cmath>
#include <concepts>
#include <cstdint>

namespace berylridge {

using Duration = std::chrono::microseconds;

/// Tag type for monotonic time. Its epoch is arbitrary and differs between nodes.
struct MonotonicTime
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicTime>;
    static constexpr bool is_steady = true; // NOLINT: std::chrono requires this name.
};

using TimePoint = MonotonicTime::time_point;
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Requirements on a clock that supplies both times.
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

/// Reads the machine's clocks.
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

/// A clock that only moves when a test or a replay advances it.
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
    /// 2026-01-01, so that keys created with this clock contain valid UUIDv7 times.
    static constexpr WallTime wallStart()
    {
        return WallTime(std::chrono::milliseconds(1767225600000));
    }

    TimePoint m_now {Duration(1'000'000)};
    Duration m_elapsed {0};
    WallTime m_wall = wallStart();
};

static_assert(Clock<SystemClock> && Clock<ManualClock>);

/// Converts a duration to seconds as a floating-point number, for metrics and virtual time.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Converts seconds to the nearest duration.
inline Duration fromSeconds(double seconds)
{
    return Duration(std::llround(seconds * 1e6));
}

/// Converts a duration to whole milliseconds, the unit of durations in messages. Negative durations
/// become zero.
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
