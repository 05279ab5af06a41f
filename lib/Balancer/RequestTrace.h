// What was decided about one request and on which inputs, kept until its end. Most requests need
// only one line in the log; where one was refused, failed or late, its steps go into that line too.
#pragma once

#include "TargetSelector.h"

#include "berylridge/Policy/WorkspaceShares.h"

#include <json/value.h>
#include <string>
#include <variant>
#include <vector>

namespace berylridge {

/// A target was chosen; the request went there, or was turned away as the wait is too long.
struct PlacementStep
{
    TargetChoice choice;
    bool isAccepted = false;
    bool isWithinShare = true;
    double allowedMs = 0; ///< Longest wait that is accepted; 0 where none is set.
    WorkspaceShares::Standing standing;
};

/// No target could be chosen.
struct NoTargetStep
{
};

/// The target's answer began.
struct ResponseStartedStep
{
    unsigned status = 0;
};

/// The attempt ended without a whole answer.
struct AttemptFailedStep
{
    TargetId target;
    const char *failure = "";
    bool isSent = false; ///< A byte of the request left this node.
};

using RequestTraceStep
    = std::variant<PlacementStep, NoTargetStep, ResponseStartedStep, AttemptFailedStep>;

class RequestTrace
{
public:
    /// `at` counts from the request's arrival.
    void add(Duration at, RequestTraceStep step);

    /// The steps as a list of objects, for the log.
    Json::Value details() const;

private:
    struct Entry
    {
        Duration at;
        RequestTraceStep step;
    };

    /// Attempts are few; this bounds a request that is refused by one target after the other.
    static constexpr std::size_t maxSteps = 16;

    std::vector<Entry> m_entries;
};

} // namespace berylridge
