// Tracks how many requests one target may run at present, as known to its pool's owner: its state,
// its ramp-up after a start, and the evidence that its boot still runs.
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

/// How many nodes of a zone agree on this owner. If not all of them do, others may have a different
/// view and an owner of their own, and this owner may use only a part of a cold target's slots.
struct OwnerAgreement
{
    std::uint32_t agreeing = 1; ///< Nodes of the zone with the same view, including this one.
    std::uint32_t listed = 1;   ///< Nodes of the zone that are not known to be gone.

    auto operator<=>(const OwnerAgreement &) const = default;
};

/// Returns how many of `slots` the owner may use. Over all owners with disjoint agreeing nodes the
/// sum is at most `slots`: a minority rounds down, and the majority, of which there is at most one,
/// takes the remainder.
std::uint32_t allottedSlots(std::uint32_t slots, OwnerAgreement agreement);

class TargetCapacity
{
public:
    TargetCapacity(const TargetStateMachine &stateMachine, TimePoint now);

    /// Applies the limits of the document, which may change while the target runs.
    void configure(const ServiceDocument &document, bool isLeaving);

    /// Handles a signal from a node's report, a response or a poll. An empty boot id means that the
    /// boot is unknown. Returns whether the target is cold again.
    bool onSignal(TargetSignal signal, std::string_view bootId, TimePoint now);
    /// Adds complete responses that a holder received from the boot.
    void onCompleted(std::uint32_t count, std::string_view bootId, TimePoint now);
    /// Handles the target's own load report. Returns whether the target is cold again.
    bool onLoadReport(std::string_view bootId, std::uint32_t running, std::uint64_t completed,
                      Duration age, TimePoint now);
    void onPollFailed(bool isRefused, TimePoint now);

    /// Returns how many requests may run on the target concurrently.
    std::uint32_t limit(OwnerAgreement agreement, TimePoint now) const;
    /// Returns whether the target still ramps up. Then requests of unknown owners count against its
    /// limit.
    bool isCold() const { return m_completed < m_warmAfter; }

    TargetState state() const { return m_state; }
    const std::string &stateName() const { return m_stateMachine->name(m_state); }
    const std::string &bootId() const { return m_bootId; }
    std::uint32_t reportedRunning() const { return m_reportedRunning; }
    /// Returns the time at which the latest load report was valid.
    TimePoint reportedAt() const { return m_reportedAt; }
    Duration pollPeriod() const;

    TimePoint nextPoll {}; ///< Maintained by the owner.

private:
    bool hasEnded(std::string_view bootId) const;

    void step(TargetSignal signal) { m_stateMachine->step(m_state, signal); }
    bool confirmBoot(std::string_view bootId, TimePoint now);

    const TargetStateMachine *m_stateMachine;
    TargetState m_state;
    std::string m_bootId;
    std::deque<std::string> m_endedBoots; ///< The most recent ones, to detect late messages.

    std::uint32_t m_slots = 1;
    std::uint32_t m_coldSlots = 1;
    std::uint32_t m_warmAfter = 1;
    std::uint64_t m_completed = 0;         ///< Complete responses of this boot.
    std::uint64_t m_reportedByHolders = 0; ///< Those of them that holders reported.
    bool m_isDown = false;                 ///< Its boot has ended and no new one was confirmed.
    std::optional<TimePoint> m_bootConfirmedAt; ///< When this boot was last known to run.
    std::uint32_t m_reportedRunning = 0;
    TimePoint m_reportedAt {};
};

} // namespace berylridge
