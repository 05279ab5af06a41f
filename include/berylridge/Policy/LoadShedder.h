// Estimates how many requests per second one thread's processor can handle, and selects the
// requests to shed when more arrive.
//
// Guards against a node overload: all callers of a large workspace are sent to one node, which
// receives ten times its usual requests. Its processor is saturated, and every caller of the node,
// including those of small workspaces, waits for seconds until the client gives up. Callers that
// are rejected at once reach other nodes.
#pragma once

#include "berylridge/Policy/Rate.h"
#include "berylridge/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

namespace berylridge {

/// hash32() of a credential; 0 for callers without one.
using CredentialKey = std::uint32_t;

/// Number of shed requests of one credential.
struct ShedCount
{
    CredentialKey credential = 0;
    std::uint64_t requests = 0;
};

/// This class is not thread-safe.
class LoadShedder
{
public:
    /// A tenth of the shortest latency target in use.
    static constexpr Duration defaultAcceptedLag = std::chrono::milliseconds(30);

    explicit LoadShedder(Duration acceptedLag = defaultAcceptedLag)
        : m_acceptedLag(acceptedLag)
    {
    }

    /// Time between two reports of a thread that is not late.
    static constexpr Duration reportPeriod = std::chrono::milliseconds(50);

    /// Records how late the thread ran. Called each period, which is longer by that lag. Time
    /// without a report carries no information, since the late thread is the one that reports.
    void onLag(Duration lag, TimePoint now);

    /// Returns whether to shed the request with this credential, and counts its arrival.
    bool sheds(CredentialKey credential, TimePoint now);

    /// Returns whether requests may be shed at present.
    bool isLimited() const { return m_limit < unlimited; }
    /// Returns the accepted requests per second; infinite while the thread keeps up.
    double limit() const { return m_limit; }
    /// Returns the number of requests shed since the last call, by credential.
    std::vector<ShedCount> takeShedCounts();
    std::size_t credentialCount() const { return m_arrivals.size(); }

private:
    static constexpr double unlimited = std::numeric_limits<double>::infinity();

    struct Arrivals
    {
        Rate rate;
        double tokens = 1; ///< Token bucket: requests that may be accepted at once.
        TimePoint filledAt {};
        std::uint64_t shed = 0; ///< Since the last call of takeShedCounts().
    };

    bool tryTake(Arrivals &arrivals, TimePoint now);
    void updateFairRate(TimePoint now);

    const Duration m_acceptedLag;
    std::unordered_map<CredentialKey, Arrivals> m_arrivals;
    Rate m_acceptedRate;
    double m_onTimeRate = 0; ///< Accepted rate at the last report of a thread that was on time.
    // In requests per second. The sustainable rate is the estimate of what the processor can
    // handle. The limit is below it while the thread is late. The fair rate is what each credential
    // may use of the limit.
    double m_sustainableRate = unlimited;
    double m_limit = unlimited;
    double m_fairRate = unlimited;
    double m_arrivalRate = 0;
    TimePoint m_fairRateUpdatedAt {};
    Duration m_lag {0};
    bool m_wasLate = false;
    bool m_hasShedSinceReport = false; ///< Since the last report.
};

} // namespace berylridge
