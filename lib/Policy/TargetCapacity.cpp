#include "berylridge/Policy/TargetCapacity.h"

#include <algorithm>

namespace berylridge {

namespace {

constexpr Duration warmPollPeriod = std::chrono::milliseconds(1000);
constexpr Duration coldPollPeriod = std::chrono::milliseconds(250);
constexpr std::size_t maxEndedBoots = 8;

/// A target may restart unnoticed while nothing runs there. The next requests would all reach the
/// new boot at once and crash it. If the boot was not confirmed for this long, the owner grants
/// only cold slots until a poll or a response confirms it.
constexpr Duration bootEvidenceLifetime = std::chrono::milliseconds(2500);

} // namespace

std::uint32_t allottedSlots(std::uint32_t slots, OwnerAgreement agreement)
{
    const std::uint32_t listed = std::max(agreement.listed, 1U);
    const std::uint32_t agreeing = std::min(agreement.agreeing, listed);
    const std::uint32_t others = listed - agreeing;
    if (agreeing > others)
        return slots - slots * others / listed;
    return slots * agreeing / listed;
}

TargetCapacity::TargetCapacity(const TargetStateMachine &stateMachine, TimePoint now)
    : m_stateMachine(&stateMachine)
    , m_state(stateMachine.initial())

    , m_reportedAt(now - 2 * bootEvidenceLifetime)
{
}

void TargetCapacity::configure(const ServiceDocument &document, bool isLeaving)
{
    m_slots = document.slots;
    m_coldSlots = document.coldSlots;
    m_warmAfter = document.warmAfter;
    if (isLeaving == (m_state == TargetState::Leaving))
        return;
    step(isLeaving ? TargetSignal::LeaveOrdered : TargetSignal::ReturnOrdered);
    // The target may have been restarted while it was out of service: only cold slots are granted
    // until its boot is confirmed again.
    m_bootConfirmedAt.reset();
}

bool TargetCapacity::onSignal(TargetSignal signal, std::string_view bootId, TimePoint now)
{
    // A report about a boot that has already ended says nothing about the present one.
    const bool isLate
        = hasEnded(bootId) || (!bootId.empty() && !m_bootId.empty() && bootId != m_bootId);
    switch (signal) {
    case TargetSignal::NewBoot:
    case TargetSignal::Heard:
        return confirmBoot(bootId, now);
    case TargetSignal::RefusedConnection:
    case TargetSignal::Crash:
        if (isLate)
            return false;
        step(signal);
        // The next poll shows whether the boot has ended or only a connection broke.
        m_isDown = true;
        return true;
    default:
        if (!isLate)
            step(signal);
        return false;
    }
}

void TargetCapacity::onCompleted(std::uint32_t count, std::string_view bootId, TimePoint now)
{
    // A return that was in flight while its boot crashed does not show that the boot still runs.
    const bool isOfEndedBoot = m_isDown && (bootId.empty() || bootId == m_bootId);
    if (count == 0 || isOfEndedBoot || hasEnded(bootId))
        return;
    confirmBoot(bootId, now);
    // The target's report counts the same responses, so the two are never added up.
    m_reportedByHolders += count;
    m_completed = std::max(m_completed, m_reportedByHolders);
    step(TargetSignal::FirstAnswer);
    if (m_completed >= m_warmAfter)
        step(TargetSignal::RampDone);
}

bool TargetCapacity::onLoadReport(std::string_view bootId, std::uint32_t running,
                                  std::uint64_t completed, Duration age, TimePoint now)
{
    if (hasEnded(bootId))
        return false;
    const bool isNew = confirmBoot(bootId, now);
    m_reportedRunning = running;
    m_reportedAt = now - age;
    m_completed = std::max(m_completed, completed);
    step(TargetSignal::Heard);
    if (m_completed >= m_warmAfter)
        step(TargetSignal::RampDone);
    return isNew;
}

void TargetCapacity::onPollFailed(bool isRefused, TimePoint now)
{
    if (isRefused)
        onSignal(TargetSignal::RefusedConnection, {}, now);
    else
        step(TargetSignal::Silence);
}

std::uint32_t TargetCapacity::limit(OwnerAgreement agreement, TimePoint now) const
{
    if (m_isDown || m_state == TargetState::Leaving || m_state == TargetState::Gone
        || m_state == TargetState::Suspect) {
        return 0;
    }
    const bool isEvidenceFresh
        = m_bootConfirmedAt && now - *m_bootConfirmedAt <= bootEvidenceLifetime;
    if (isCold() || !isEvidenceFresh)
        return allottedSlots(m_coldSlots, agreement);
    // Beyond warmAfter the limit doubles with each round of responses. A target whose document
    // states too many slots then fails with one more request at a time and not with all of them.
    std::uint64_t ramped = m_coldSlots;
    std::uint64_t left = m_completed - m_warmAfter;
    while (ramped < m_slots && left >= ramped) {
        left -= ramped;
        ramped *= 2;
    }
    ramped = std::max<std::uint64_t>(ramped * 2, ramped + left);
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(ramped, m_slots));
}

Duration TargetCapacity::pollPeriod() const
{
    return isCold() || m_isDown || m_state == TargetState::Suspect ? coldPollPeriod
                                                                   : warmPollPeriod;
}

bool TargetCapacity::hasEnded(std::string_view bootId) const
{
    return !bootId.empty()
        && std::find(m_endedBoots.begin(), m_endedBoots.end(), bootId) != m_endedBoots.end();
}

/// Records that the boot runs. Returns whether it differs from the one known before.
bool TargetCapacity::confirmBoot(std::string_view bootId, TimePoint now)
{
    // A late message about a boot that has ended would make its successor cold, or count as
    // evidence that the successor runs.
    if (hasEnded(bootId))
        return false;

    m_isDown = false;
    m_bootConfirmedAt = now;
    if (bootId.empty() || bootId == m_bootId) {
        step(TargetSignal::Heard);
        return false;
    }
    if (!m_bootId.empty())
        m_endedBoots.push_back(m_bootId);
    if (m_endedBoots.size() > maxEndedBoots)
        m_endedBoots.pop_front();
    step(TargetSignal::NewBoot);
    m_bootId = bootId;
    m_completed = 0;
    m_reportedByHolders = 0;
    m_reportedRunning = 0;
    return true;
}

} // namespace berylridge
