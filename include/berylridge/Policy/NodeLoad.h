// What this node's own processor bears, and whose requests are turned away when it bears no more.
//
// Load it answers: all callers of a large workspace are sent to one node, which gets ten times its
// usual requests. Its processor is used up, and every caller of the node waits for seconds until
// the client gives up, those of small workspaces too. Turned away at once, the callers reach other
// nodes.
#pragma once

#include "berylridge/Policy/WorkspaceShares.h"
#include "berylridge/Support/Time.h"

#include <unordered_map>

namespace berylridge {

/// Not safe for use by two threads at once.
class NodeLoad
{
public:
    /// How late a traffic thread ran; told each period while it is late, and once after.
    void onLag(Duration lag, TimePoint now);

    /// Whether a request of the workspace is to be turned away; counts it as arrived.
    bool sheds(WorkspaceKey workspace, TimePoint now);

    /// Part of the arrivals that are turned away, from 0 to 1.
    double shedPart(TimePoint now) const;

private:
    struct Arrivals
    {
        Rate rate;
        double kept = 1; ///< Requests that may still be kept; a whole one keeps the next.
    };

    double keptPart(const Arrivals &arrivals, TimePoint now) const;

    std::unordered_map<WorkspaceKey, Arrivals> m_arrivals;
    double m_part = 0; ///< As of the last report.
    TimePoint m_reportedAt {};
};

} // namespace berylridge
