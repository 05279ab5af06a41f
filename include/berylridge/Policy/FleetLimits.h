// Fleet-wide limits that need no coordination: each node uses its part of the limit.
#pragma once

#include "berylridge/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace berylridge {

/// Returns how many idle connections each of `nodes` nodes may keep to a target that accepts
/// `limit` connections in total; a limit of 0 means unknown.
///
/// Guards against 70 nodes each keeping as many idle connections as they once needed at the same
/// moment. Idle connections then use up the target's limit, and it resets each new one.
std::uint32_t idleConnectionLimit(std::uint32_t limit, std::size_t nodes);

/// Limits the requests per second to a cold target, with a token bucket that holds one node's part
/// of the rate.
///
/// Guards against targets of a zone that return cold all at once while the others are overloaded:
/// if every node sends them all its requests, they crash and return cold again.
class ColdTargetLimiter
{
public:
    /// Takes a token for one request if there is one. The burst of one request per node stays below
    /// the platform's slack as long as there are fewer nodes than the rate and the slack allow for.
    bool tryTake(double ratePerSecond, std::size_t nodes, TimePoint now);
    /// Returns whether tryTake() would succeed.
    bool hasToken(double ratePerSecond, std::size_t nodes, TimePoint now) const;

private:
    static constexpr double burst = 1;

    double refilledTokens(double ratePerSecond, std::size_t nodes, TimePoint now) const;

    double m_tokens = burst;
    TimePoint m_filledAt {};
};

/// Limits the retries of a service to a ratio of its first attempts in a sliding window, plus this
/// node's part of a fixed slack.
///
/// Guards against retry amplification: when a fault fails every attempt, one retry of each doubles
/// the load just when the targets have the least capacity.
class FleetRetryBudget
{
public:
    struct Limits
    {
        double ratio = 0.1; ///< Retries allowed per first attempt.
        double slack = 10;  ///< Additional retries, over the whole fleet.
        Duration window = std::chrono::seconds(10);
    };

    void onFirstAttempt(TimePoint now);
    /// Takes one retry from the budget if one is left. With a smaller fraction, the rest of the
    /// budget is kept for others.
    bool tryTake(const Limits &limits, std::size_t nodes, TimePoint now, double fraction = 1);

private:
    /// The limit holds for the whole fleet and is measured at the targets. A node may misjudge its
    /// part by a few retries, so it uses less than all of it.
    static constexpr double usableFraction = 0.8;

    void expire(Duration window, TimePoint now);

    std::deque<TimePoint> m_firstAttempts;
    std::deque<TimePoint> m_retries;
};

} // namespace berylridge
