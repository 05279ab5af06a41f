// What a node knows of the platform's availability to the whole fleet, from its own reads and from
// what other nodes report of theirs.
#pragma once

#include "berylridge/Support/Time.h"

#include <optional>

namespace berylridge {

/// Tells an outage of the platform from an outage of this node's path to it, and from a time in
/// which no node read: the platform was up while it answered any node of the fleet, and it was down
/// if a node waited in vain for its answer while it answered none. Not thread-safe.
class PlatformUptime
{
public:
    /// What nodes report to each other.
    struct Report
    {
        Duration sinceAnswer {0}; ///< Time since the platform's last answer.
        /// Time since the end of the platform's last outage, or since the first answer that is
        /// known.
        Duration upFor {0};
        /// Time for which a request to the platform has waited for an answer; 0 if there is none.
        Duration waitingFor = sinceAnswer;
        bool followsOutage = false; ///< Whether an outage is known to have ended `upFor` ago.
    };

    /// Longest pause between answers that is never an outage. Entries lapse only after several
    /// seconds without their targets' reports.
    static constexpr Duration maxAnswerGap = std::chrono::seconds(2);
    /// Longest time between the answers to one node's watches: a watch without changes takes a
    /// second. A request that has waited for longer was not answered.
    static constexpr Duration maxWatchTime = std::chrono::milliseconds(1300);

    /// Records that this node begins to read the platform's state, or ceases to. A new object is
    /// taken for that of a node that reads from its first answer on.
    void onReadingStarted(TimePoint now);
    void onReadingEnded();
    /// Records that the platform answered this node, which then sends its next request if it reads.
    void onAnswered(TimePoint now);
    /// Records another node's report.
    void onReported(const Report &report, TimePoint now);
    /// Records for how long another node has waited for an answer of the platform.
    void onWaitReported(Duration wait, TimePoint now);
    /// Forgets everything after a pause of this process. What it receives next may have waited for
    /// it, and says nothing about the present.
    void onProcessResumed(TimePoint now);

    /// Returns since when the platform has been up without an outage; empty if no answer is known.
    std::optional<TimePoint> upSince() const;
    /// Returns when the last outage that this node may have missed answers in ended; empty if there
    /// was none since the process started.
    std::optional<TimePoint> outageEnd() const
    {
        return m_followsOutage ? upSince() : std::nullopt;
    }
    /// Returns the time of the newest answer to any node that this node knows of.
    std::optional<TimePoint> answeredAt() const;
    /// Returns whether the platform is probably down: no answer to any node is known for longer
    /// than a watch takes, and some node has waited for one in vain.
    bool isSilent(TimePoint now) const
    {
        return m_up && now - m_up->to > maxWatchTime && isUnanswered(now);
    }
    /// Returns all that this node knows; empty if no answer is known.
    std::optional<Report> report(TimePoint now) const;
    /// The same with the last answer to this node itself, for messages that are sent all the time:
    /// if nodes exchanged each other's, the error of the time would grow with each message. Empty
    /// if the platform has not answered this node since its last outage.
    std::optional<Report> ownReport(TimePoint now) const;
    /// Returns for how long this node has waited for an answer of the platform; empty if it doesn't
    /// read the platform's state.
    std::optional<Duration> ownWait(TimePoint now) const;

private:
    struct Period
    {
        TimePoint from;
        TimePoint to;
    };

    /// Time in which a resumed process handles what waited for it.
    static constexpr Duration backlogTime = std::chrono::milliseconds(200);

    void merge(const Period &period, bool followsOutage, TimePoint now);
    /// Returns whether some node has waited for longer than a watch takes since the last answer.
    bool isUnanswered(TimePoint now) const;

    std::optional<Period> m_up;   ///< The newest period without an outage.
    bool m_followsOutage = false; ///< Whether an outage preceded that period, or may have.
    bool m_isOutageKnown = false; ///< Whether a node has seen that outage.
    /// When a request to the platform was last known to be without an answer.
    std::optional<TimePoint> m_unansweredAt;
    std::optional<TimePoint> m_ownAnswerAt;
    bool m_isReading = true; ///< Whether this node sends a request after each answer.
    std::optional<TimePoint> m_waitingSince; ///< When this node began to wait for an answer.
    TimePoint m_backlogEnd {};               ///< Answers and reports before this time are ignored.
};

} // namespace berylridge
