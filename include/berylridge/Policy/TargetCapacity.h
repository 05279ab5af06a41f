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

/// The agreement of a cold target's slots that this owner may use, in a zone whose nodes don't all
/// agree that it is the owner: others may have another view and an owner of their own.
struct OwnerAgreement
{
    std::uint32_t agreeing = 1; ///< Nodes of the zone that hold the same view, this one included.
    std::uint32_t listed = 1;   ///< Nodes of the zone that are not known to be gone.

    auto operator<=>(const OwnerAgreement &) const = default;
};

/// Slots of `slots` for an owner with that agreement. Over all owners with disjoint agreeing nodes
/// the sum is at most `slots`: a minority rounds down, and a majority, of which there is only one,
/// takes the rest.
std::uint32_t allottedSlots(std::uint32_t slots, OwnerAgreement agreement);

class TargetCapacity
{
public:
    TargetCapacity(const TargetStateMachine &stateMachine, TimePoint now);

    /// Limits from the document; they may change while the target runs.
    void configure(const ServiceDocument &document, bool isLeaving);

    /// A signal from a node's news, an answer or a poll. An empty boot id means that it is unknown.
    /// Returns whether the target is cold again.
    bool onSignal(TargetSignal signal, std::string_view bootId, TimePoint now);
    /// Whole answers that a holder got from the boot.
    void onCompleted(std::uint32_t count, std::string_view bootId, TimePoint now);
    /// The target's own load report. Returns whether the target is cold again.
    bool onLoadReport(std::string_view bootId, std::uint32_t running, std::uint64_t completed,
                      Duration age, TimePoint now);
    void onPollFailed(bool isRefused, TimePoint now);

    /// Requests that may run there at once now.
    std::uint32_t limit(OwnerAgreement agreement, TimePoint now) const;
    /// Whether it still ramps up, so that work of unknown owners must be counted against it.
    bool isCold() const { return m_completed < m_warmAfter; }

    TargetState state() const { return m_state; }
    const std::string &stateName() const { return m_stateMachine->name(m_state); }
    const std::string &bootId() const { return m_bootId; }
    std::uint32_t reportedRunning() const { return m_reportedRunning; }
    /// When the newest load report was true.
    TimePoint reportedAt() const { return m_reportedAt; }
    Duration pollPeriod() const;

    TimePoint nextPoll {}; ///< Kept by the owner.

private:
    bool hasEnded(std::string_view bootId) const;

    void step(TargetSignal signal) { m_stateMachine->step(m_state, signal); }
    bool confirmBoot(std::string_view bootId, TimePoint now);

    const TargetStateMachine *m_stateMachine;
    TargetState m_state;
    std::string m_bootId;
    std::deque<std::string> m_endedBoots; ///< The last few, to know late word of them.

    std::uint32_t m_slots = 1;
    std::uint32_t m_coldSlots = 1;
    std::uint32_t m_warmAfter = 1;
    std::uint64_t m_completed = 0;              ///< Whole answers in this boot.
    std::uint64_t m_reportedByHolders = 0;      ///< Those of them that holders told.
    bool m_isDown = false;                      ///< Its boot has ended and no new one was heard.
    std::optional<TimePoint> m_bootConfirmedAt; ///< When this boot was last known to run.
    std::uint32_t m_reportedRunning = 0;
    TimePoint m_reportedAt {};
};

} // namespace berylridge
