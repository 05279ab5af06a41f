// Predicts which requests the core will reject, from its recent decisions on the same
// credential.
//
// Guards against a flood of one workspace at all nodes: the core rejects most of it as over its
// share, but a small node uses up its processor by reading those requests, and sheds requests of
// other workspaces that the core would accept.
#pragma once

#include "berylridge/Policy/LoadShedder.h"
#include "berylridge/Policy/Rate.h"
#include "berylridge/Support/Time.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace berylridge {

/// This class is not thread-safe.
class AcceptancePredictor
{
public:
    /// Record what the core decided on a new request, and when it wants a rejected caller back.
    void onAccepted(CredentialKey credential, TimePoint now);
    void onRejected(CredentialKey credential, std::optional<Duration> retryAfter, TimePoint now);

    /// Returns whether the core would probably reject a further request. Passes some more than it
    /// accepts, so that a change of its decisions is noticed.
    bool predictsRejection(CredentialKey credential, TimePoint now);
    /// Returns when the core last wanted a rejected caller back, if it rejects most requests.
    std::optional<Duration> retryAfter(CredentialKey credential, TimePoint now) const;

    std::size_t callerCount() const { return m_callers.size(); }

private:
    static constexpr double smoothingSeconds = 0.5;

    struct Caller
    {
        Rate accepted {smoothingSeconds};
        Rate rejected {smoothingSeconds};
        double tokens = 1; ///< Token bucket: requests that may be passed at once.
        TimePoint filledAt {};
        std::optional<Duration> retryAfter; ///< Of the last rejection.

        bool isMostlyRejected(TimePoint now) const;
    };

    void removeIdleCallers(TimePoint now);

    std::unordered_map<CredentialKey, Caller> m_callers;
    TimePoint m_cleanedAt {};
};

} // namespace berylridge
