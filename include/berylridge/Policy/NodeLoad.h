// What one thread's processor bears, and whose requests are turned away when it bears no more.
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
#include <unordered_map>
#include <vector>

namespace berylridge {

/// shortHash() of a credential; 0 for callers without one.
using CredentialKey = std::uint32_t;

/// Requests of one credential that were turned away.
struct ShedCount
{
    CredentialKey credential = 0;
    std::uint64_t requests = 0;
};

/// Not safe for use by two threads at once.
class NodeLoad
{
public:
    /// A tenth of the shortest latency target in use.
    static constexpr Duration usualAcceptedLag = std::chrono::milliseconds(30);

    explicit NodeLoad(Duration acceptedLag = usualAcceptedLag)
        : m_acceptedLag(acceptedLag)
    {
    }

    /// Between two reports of a thread that isn't late.
    static constexpr Duration reportPeriod = std::chrono::milliseconds(50);

    /// How late the thread ran; told each period, which is longer by as much. Time without a report
    /// says nothing: the thread that reports is the one that is late.
    void onLag(Duration lag);

    /// Whether a request with the credential is to be turned away; counts it as arrived.
    bool sheds(CredentialKey credential, TimePoint now);

    /// Part of the arrivals that are turned away, from 0 to 1.
    double shedPart() const { return m_part; }
    /// What was turned away since the last call, by credential.
    std::vector<ShedCount> takeShed();
    std::size_t knownCredentials() const { return m_arrivals.size(); }

private:
    struct Arrivals
    {
        Rate rate;
        double kept = 1;        ///< Requests that may still be kept; a whole one keeps the next.
        std::uint64_t shed = 0; ///< Since takeShed() was called.
    };

    void updateLevel(TimePoint now);

    const Duration m_acceptedLag;
    std::unordered_map<CredentialKey, Arrivals> m_arrivals;
    double m_part = 0;
    double m_level = 0; ///< Requests a second that no credential with more is kept below.
    TimePoint m_levelAt {};
};

} // namespace berylridge
