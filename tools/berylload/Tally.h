// What a load run saw: counts and latencies per workspace, and the keyOutcome of each purchase.
#pragma once

#include "Outcome.h"

#include "berylridge/Support/Time.h"

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace berylridge {

/// Latencies in milliseconds, in bins that grow by a five-hundredth.
class LatencyHistogram
{
public:
    LatencyHistogram();
    void add(Duration latency);
    /// The upper edge of the bin that holds this quantile of all samples; 0 where there are none.
    double quantileMs(double quantile) const;
    std::uint64_t count() const { return m_count; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<Axis>> m_bins;
    std::uint64_t m_count = 0;
};

struct WorkspaceTally
{
    std::uint64_t sent = 0;
    std::uint64_t tokensRequested = 0;
    std::uint64_t tokensServed = 0;
    std::array<std::uint64_t, outcomeCount> outcomes {};
    LatencyHistogram firstByte;    ///< Of streams.
    LatencyHistogram lookup;       ///< To the end.
    LatencyHistogram purchase;     ///< To the receipt, over all attempts.
    std::uint32_t openStreams = 0; ///< Sent and not yet ended.

    std::uint64_t count(Outcome outcome) const
    {
        return outcomes[static_cast<std::size_t>(outcome)];
    }
    void add(Outcome outcome) { ++outcomes[static_cast<std::size_t>(outcome)]; }
};

/// The keyOutcome of one key over all its attempts.
struct PurchaseOutcome
{
    bool isServed = false;            ///< Some attempt got its receipt.
    bool hasUnknownOutcome = false;   ///< Some attempt may have run it.
    bool isLastAttemptNotRun = false; ///< The last attempt's answer said that the key has not run.
};

struct Tally
{
    std::vector<WorkspaceTally> workspaces; ///< In the profile's order.
    std::map<std::string, PurchaseOutcome> purchases;
    std::vector<std::string>
        faultyResponses; ///< The first few answers that broke a promise, for people.
};

} // namespace berylridge
