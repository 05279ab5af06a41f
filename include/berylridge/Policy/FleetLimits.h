// Limits that hold over the whole fleet, kept without asking anyone: each node uses its part.
#pragma once

#include "berylridge/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace berylridge {

/// Idle connections that each of so many nodes may keep to a target, which takes `limit`
/// connections of them all; a limit of 0 is not known.
///
/// Load it answers: 70 nodes keep as many connections as they once needed at the same moment. The
/// target's limit is used up by idle ones, and it resets each new one.
std::uint32_t idleConnectionLimit(std::uint32_t limit, std::size_t nodes);

/// Requests a second to a cold target: a token bucket with one node's part of the rate.
///
/// Load it answers: a zone's targets come back cold at once while the rest is overloaded, and every
/// node sends them all it has. They fall over and come back cold again.
class ColdTargetLimiter
{
public:
    /// Takes one request's place where there is one. The burst of one request a node stays below
    /// the platform's slack as long as there are fewer nodes than the rate and slack bear.
    bool tryTake(double ratePerSecond, std::size_t nodes, TimePoint now);
    /// Whether tryTake() would succeed.
    bool hasToken(double ratePerSecond, std::size_t nodes, TimePoint now) const;

private:
    static constexpr double burst = 1;

    double refilledTokens(double ratePerSecond, std::size_t nodes, TimePoint now) const;

    double m_tokens = burst;
    TimePoint m_filledAt {};
};

/// Further attempts at a service: a part of its first attempts in a sliding window, and this node's
/// part of a fixed slack.
///
/// Load it answers: a fault fails all attempts, and sending each again doubles the load just when
/// the targets bear least.
class FleetRetryBudget
{
public:
    struct Limits
    {
        double ratio = 0.1; ///< Further attempts for each first one.
        double slack = 10;  ///< On top, over the whole fleet.
        Duration window = std::chrono::seconds(10);
    };

    void onFirstAttempt(TimePoint now);
    /// Takes one further attempt where one is left.
    bool tryTake(const Limits &limits, std::size_t nodes, TimePoint now);

private:
    /// The bound is fleet-wide and is counted at the targets; this node's view of its part may be
    /// off by a few, so it uses less than all of it.
    static constexpr double usableFraction = 0.8;

    void expire(Duration window, TimePoint now);

    std::deque<TimePoint> m_firstAttempts;
    std::deque<TimePoint> m_retries;
};

} // namespace berylridge
