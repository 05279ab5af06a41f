// Records the decisions about one request and their inputs until the request ends. Most requests
// need only one log line; if a request was refused, failed or late, the line includes its steps.
#pragma once

#include "TargetSelector.h"

#include "berylridge/Policy/StreamOrigins.h"
#include "berylridge/Policy/WorkspaceShares.h"

#include <json/value.h>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace berylridge {

/// Records how the software version that began a stream was found.
struct OriginStep
{
    std::optional<OriginBasis> basis; ///< Empty if the version was not found.
    NodeId answeredBy;                ///< Empty if this node knew it.
    std::size_t asked = 0;            ///< Number of nodes that were asked.
    std::size_t answers = 0;
    std::uint64_t revision = 0; ///< This node's revision of the directory.
    /// Time since the platform's last answer to any node.
    std::optional<Duration> platformAnswerAge;
};

/// Records that a target was chosen, and whether the request was sent there or rejected because the
/// wait is too long.
struct PlacementStep
{
    TargetChoice choice;
    bool isAccepted = false;
    bool isWithinShare = true;
    double allowedMs = 0; ///< Maximum accepted wait; 0 if there is no limit.
    WorkspaceShares::ShareStatus shareStatus;
};

/// Records that no target could be chosen.
struct NoTargetStep
{
};

/// Records that the target started its response.
struct ResponseStartedStep
{
    unsigned status = 0;
};

/// Records that the attempt ended without a complete response.
struct AttemptFailedStep
{
    TargetId target;
    const char *failure = "";
    unsigned status = 0;    ///< Status of the target's response; 0 if there was none.
    bool isSent = false;    ///< A byte of the request has left this node.
    Duration silentFor {0}; ///< Time since the target's last byte.
    /// Time since the target last began any response of this node.
    std::optional<Duration> targetSilentFor;
};

/// Records that the target is silent. The attempt goes on unless the next step is a placement.
struct TargetSilentStep
{
    TargetId target;
    Duration silentFor {0}; ///< As in AttemptFailedStep.
    std::optional<Duration> targetSilentFor;
};

using RequestTraceStep = std::variant<OriginStep, PlacementStep, NoTargetStep, ResponseStartedStep,
                                      AttemptFailedStep, TargetSilentStep>;

class RequestTrace
{
public:
    /// Appends a step. `at` is the time since the request's arrival.
    void add(Duration at, RequestTraceStep step);

    /// Returns the steps as a list of objects for the log.
    Json::Value details() const;

private:
    struct Entry
    {
        Duration at;
        RequestTraceStep step;
    };

    /// Bounds the steps of a request that one target after the other rejects; other requests have
    /// few attempts.
    static constexpr std::size_t maxSteps = 16;

    std::vector<Entry> m_entries;
};

} // namespace berylridge
