// Decides which summaries of another zone's state to use.
//
// Each node of a zone sends summaries. A node that has just started, was paused or is partitioned
// from its zone knows the loads of few of the zone's nodes; with its summary, busy targets would
// appear to be idle.
#pragma once

#include "berylridge/Support/Time.h"

#include <cstddef>
#include <map>
#include <string>

namespace berylridge {

/// Not thread-safe.
class ZoneSummaryFilter
{
public:
    /// Returns whether to use a summary that covers this many nodes of the zone, and records it if
    /// so.
    bool accepts(const std::string &zone, std::size_t nodes, TimePoint now)
    {
        const auto found = m_accepted.find(zone);
        const bool isComplete = found == m_accepted.end()
            || nodes * minCoverageDivisor >= found->second.nodes * minCoverageFactor
            || now - found->second.receivedAt > maxWaitForCompleteSummary;
        if (isComplete)
            m_accepted[zone] = {nodes, now};
        return isComplete;
    }

    /// Returns whether a summary of the zone was accepted lately, so that its nodes' own digests
    /// must not be counted in addition.
    bool hasRecentSummary(const std::string &zone, TimePoint now) const
    {
        const auto found = m_accepted.find(zone);
        return found != m_accepted.end() && now - found->second.receivedAt <= summaryLifetime;
    }

private:
    /// A summary must cover at least three quarters of the nodes that the last one covered.
    static constexpr std::size_t minCoverageFactor = 3;
    static constexpr std::size_t minCoverageDivisor = 4;
    /// After this time without such a summary, the zone has probably lost nodes.
    static constexpr Duration maxWaitForCompleteSummary = std::chrono::milliseconds(600);
    static constexpr Duration summaryLifetime = std::chrono::milliseconds(1500);

    struct Accepted
    {
        std::size_t nodes = 0;
        TimePoint receivedAt;
    };

    std::map<std::string, Accepted> m_accepted;
};

} // namespace berylridge
