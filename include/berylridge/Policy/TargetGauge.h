// How much one target bears now, as its pool's owner knows it: state, ramp and evidence of its
// boot.
#pragma once

#include "berylridge/Chart/TargetStateMachine.h"
#include "berylridge/Config/Documents.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace berylridge {

/// The part of a cold target's slots that this owner may use, in a zone whose nodes don't all agree
/// that it is the owner: others may have another view and an owner of their own.
struct OwnerPart
{
    std::uint32_t agreeing = 1; ///< Nodes of the zone that hold the same view, this one included.
    std::uint32_t listed = 1;   ///< Nodes of the zone that are not known to be gone.

    auto operator<=>(const OwnerPart &) const = default;
};

/// Slots of `slots` for an owner with that part. Over all owners with disjoint agreeing nodes the
/// sum is at most `slots`: a minority rounds down, and a majority, of which there is only one,
/// takes the rest.
std::uint32_t partOfSlots(std::uint32_t slots, OwnerPart part);

class TargetGauge
{
public:
    TargetGauge(const TargetStateMachine &chart, TimePoint now);

    /// Limits from the document; they may change while the target runs.
    void configure(const ServiceDocument &document, bool isLeaving);

    /// A sign from a node's news, an answer or a poll. An empty boot id means that it is unknown.
    /// Returns whether the target is cold again.
    bool onSign(TargetSignal sign, std::string_view bootId, TimePoint now);
    /// Whole answers that a holder got from the boot.
    void onCompleted(std::uint32_t count, std::string_view bootId, TimePoint now);
    /// The target's own load report. Returns whether the target is cold again.
    bool onReport(std::string_view bootId, std::uint32_t running, std::uint64_t completed,
                  Duration age, TimePoint now);
    void onPollFailed(bool isRefused, TimePoint now);

    /// Requests that may run there at once now.
    std::uint32_t limit(OwnerPart part, TimePoint now) const;
    /// Whether it still ramps up, so that work of unknown owners must be counted against it.
    bool isCold() const { return m_completed < m_warmAfter; }

    TargetState state() const { return m_state; }
    const std::string &stateName() const { return m_chart->name(m_state); }
    const std::string &bootId() const { return m_bootId; }
    std::uint32_t reportedRunning() const { return m_reportedRunning; }
    /// When the newest load report was true.
    TimePoint reportedAt() const { return m_reportedAt; }
    Duration pollPeriod() const;

    TimePoint nextPoll {}; ///< Kept by the owner.

private:
    bool hasEnded(std::string_view bootId) const;

    void step(TargetSignal sign) { m_chart->step(m_state, sign); }
    bool heardBoot(std::string_view bootId, TimePoint now);

    const TargetStateMachine *m_chart;
    TargetState m_state;
    std::string m_bootId;
    std::deque<std::string> m_endedBoots; ///< The last few, to know late word of them.

    std::uint32_t m_slots = 1;
    std::uint32_t m_coldSlots = 1;
    std::uint32_t m_warmAfter = 1;
    std::uint64_t m_completed = 0;         ///< Whole answers in this boot.
    std::uint64_t m_told = 0;              ///< Those of them that holders told.
    bool m_isDown = false;                 ///< Its boot has ended and no new one was heard.
    std::optional<TimePoint> m_evidenceAt; ///< When this boot was last known to run.
    std::uint32_t m_reportedRunning = 0;
    TimePoint m_reportedAt {};
};

} // namespace berylridge
