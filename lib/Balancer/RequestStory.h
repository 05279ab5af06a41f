// What was decided about one request and on which inputs, kept until its end. Most requests need
// only one line in the log; where one was refused, failed or late, its steps go into that line too.
#pragma once

#include "TargetBoard.h"

#include "berylridge/Policy/WorkspaceShares.h"

#include <json/value.h>
#include <string>
#include <variant>
#include <vector>

namespace berylridge {

/// A target was chosen; the request went there, or was turned away as the wait is too long.
struct PlacedStep
{
    BoardChoice choice;
    bool isTaken = false;
    bool isWithinShare = true;
    double allowedMs = 0; ///< Longest wait that is accepted; 0 where none is set.
    WorkspaceShares::Standing standing;
};

/// No target could be chosen.
struct NoTargetStep
{
};

/// The target's answer began.
struct AnswerBegunStep
{
    unsigned status = 0;
};

/// The attempt ended without a whole answer.
struct FailedStep
{
    TargetId target;
    const char *failure = "";
    bool isSent = false; ///< A byte of the request left this node.
};

using StoryStep = std::variant<PlacedStep, NoTargetStep, AnswerBegunStep, FailedStep>;

class RequestStory
{
public:
    /// `at` counts from the request's arrival.
    void add(Duration at, StoryStep step);

    /// The steps as a list of objects, for the log.
    Json::Value details() const;

private:
    struct Entry
    {
        Duration at;
        StoryStep step;
    };

    /// Attempts are few; this bounds a request that is refused by one target after the other.
    static constexpr std::size_t limit = 16;

    std::vector<Entry> m_entries;
};

} // namespace berylridge
