// Predicts which requests the core will reject, from its recent decisions on similar ones.
//
// Guards against a flood of one workspace at all nodes: the core rejects most of it as over its
// share, but a small node uses up its processor by reading those requests, and sheds requests of
// other workspaces that the core would accept.
#pragma once

#include "berylridge/Policy/LoadShedder.h"
#include "berylridge/Policy/Rate.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace berylridge {

/// Identifies the requests of one credential for the paths of one directory, such as those of a
/// route.
using RequestGroupKey = std::uint64_t;

RequestGroupKey requestGroupOf(std::string_view credential, std::string_view path);

/// This class is not thread-safe.
class AcceptancePredictor
{
public:
    void onAccepted(RequestGroupKey group, TimePoint now) { m_groups[group].accepted.add(1, now); }
    /// Records that the core rejected a request of the group, which has not run.
    void onRejected(RequestGroupKey group, TimePoint now) { m_groups[group].rejected.add(1, now); }

    /// Returns whether the core would probably reject a further request of the group. Passes some
    /// more than it accepts, so that a change of its decisions is noticed.
    bool predictsRejection(RequestGroupKey group, TimePoint now);

    std::size_t groupCount() const { return m_groups.size(); }

private:
    static constexpr double smoothingSeconds = 0.5;

    struct Group
    {
        Rate accepted {smoothingSeconds};
        Rate rejected {smoothingSeconds};
        double tokens = 1; ///< Token bucket: requests that may be passed at once.
        TimePoint filledAt {};
    };

    void removeIdleGroups(TimePoint now);

    std::unordered_map<RequestGroupKey, Group> m_groups;
    TimePoint m_cleanedAt {};
};

} // namespace berylridge
