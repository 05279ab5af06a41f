// Predicts which requests the core will reject as over the share of their workspace, from its
// recent decisions on the same credential.
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
    /// Rejections for other reasons don't count: what is accepted beside them shrinks with what is
    /// passed, and passing a multiple of it would end in passing next to nothing. What is accepted
    /// of a workspace over its share doesn't shrink below the share.
    void onAccepted(CredentialKey credential, TimePoint now);
    void onOverShare(CredentialKey credential, std::optional<Duration> retryAfter, TimePoint now);

    /// Returns whether the core would probably reject a further request. Passes some more than it
    /// accepts, so that a change of its decisions is noticed.
    bool predictsRejection(CredentialKey credential, TimePoint now);
    /// Returns when the core last wanted a rejected caller back, if it rejects most requests as
    /// over the share.
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
