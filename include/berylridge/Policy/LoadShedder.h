// How many requests a second one thread's processor bears, and whose are turned away when more
// come.
//
// Load it answers: all callers of a large workspace are sent to one node, which gets ten times its
// usual requests. Its processor is used up, and every caller of the node waits for seconds until
// the client gives up, those of small workspaces too. Turned away at once, the callers reach other
// nodes.
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

/// Requests of one credential that were turned away.
struct ShedCount
{
    CredentialKey credential = 0;
    std::uint64_t requests = 0;
};

/// Not safe for use by two threads at once.
class LoadShedder
{
public:
    /// A tenth of the shortest latency target in use.
    static constexpr Duration defaultAcceptedLag = std::chrono::milliseconds(30);

    explicit LoadShedder(Duration acceptedLag = defaultAcceptedLag)
        : m_acceptedLag(acceptedLag)
    {
    }

    /// Between two reports of a thread that isn't late.
    static constexpr Duration reportPeriod = std::chrono::milliseconds(50);

    /// How late the thread ran; told each period, which is longer by as much. Time without a report
    /// says nothing: the thread that reports is the one that is late.
    void onLag(Duration lag, TimePoint now);

    /// Whether a request with the credential is to be turned away; counts it as arrived.
    bool sheds(CredentialKey credential, TimePoint now);

    /// Whether any request may be turned away now.
    bool isLimited() const { return m_limit < unlimited; }
    /// Requests a second that are kept; infinite while the thread keeps up.
    double limit() const { return m_limit; }
    /// What was turned away since the last call, by credential.
    std::vector<ShedCount> takeShedCounts();
    std::size_t credentialCount() const { return m_arrivals.size(); }

private:
    static constexpr double unlimited = std::numeric_limits<double>::infinity();

    struct Arrivals
    {
        Rate rate;
        double tokens = 1; ///< Requests that may be kept at once.
        TimePoint filledAt {};
        std::uint64_t shed = 0; ///< Since takeShedCounts() was called.
    };

    bool tryTake(Arrivals &arrivals, TimePoint now);
    void updateFairRate(TimePoint now);

    const Duration m_acceptedLag;
    std::unordered_map<CredentialKey, Arrivals> m_arrivals;
    Rate m_acceptedRate;
    double m_onTimeRate = 0; ///< Of what was kept, at the last report of a thread in time.
    // Requests a second. The borne rate is what the processor is taken to bear; the limit is below
    // it while the thread is late, and the level is what each credential may have of the limit.
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
