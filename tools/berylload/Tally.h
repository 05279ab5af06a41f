// Counts and latencies of a load run per workspace, and the outcome of each purchase.
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

/// A histogram of latencies in milliseconds; each bin is about 1/500 wider than the one before.
class LatencyHistogram
{
public:
    LatencyHistogram();
    void add(Duration latency);
    /// Returns the upper edge of the bin that holds the quantile (0 to 1), or 0 without samples.
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
    LatencyHistogram firstByte;    ///< Streams, to the first byte of the body.
    LatencyHistogram lookup;       ///< Lookups, to the end of the response.
    LatencyHistogram purchase;     ///< Purchases, to the receipt, over all attempts.
    std::uint32_t openStreams = 0; ///< Sent and not yet ended.

    std::uint64_t count(Outcome outcome) const
    {
        return outcomes[static_cast<std::size_t>(outcome)];
    }
    void add(Outcome outcome) { ++outcomes[static_cast<std::size_t>(outcome)]; }
};

/// The outcome of one idempotency key over all its attempts.
struct PurchaseOutcome
{
    bool isServed = false;            ///< An attempt got the receipt.
    bool hasUnknownOutcome = false;   ///< An attempt without a receipt may have run.
    bool isLastAttemptNotRun = false; ///< The last response said not-run.
};

struct Tally
{
    std::vector<WorkspaceTally> workspaces; ///< In the profile's order.
    std::map<std::string, PurchaseOutcome> purchases;
    std::vector<std::string> faultyResponses; ///< The first few responses that are violations.
};

} // namespace berylridge
