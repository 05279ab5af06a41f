#include "FairnessMeter.h"

#include "Rig.h"

#include <algorithm>

namespace berylridge::rig {

namespace {

constexpr Duration samplePeriod = std::chrono::milliseconds(50);
constexpr std::uint64_t samplesPerSecond = 20;

} // namespace

FairnessMeter::FairnessMeter(Rig &rig)
    : m_rig(rig)
{
}

void FairnessMeter::start()
{
    const std::size_t count = m_rig.options.workspaces;
    m_normalizedService.assign(count, 0);
    m_starvationSeconds.assign(count, 0);
    m_isBacklogged.assign(count, false);
    m_gapRanges.assign(count, std::vector<Range>(count));
    m_since = m_rig.simulation.queue.now();
    sample();
}

void FairnessMeter::sample()
{
    const double stepSeconds = toSeconds(samplePeriod);
    sampleFlows(stepSeconds);
    sampleGap();
    double used = 0;
    bool isWaiting = false;
    for (std::size_t i = 0; i < m_normalizedService.size(); ++i) {
        const auto &flow = m_rig.simulation.journal.flow(Rig::engineService, i);
        used += flow.running;
        isWaiting = isWaiting || flow.waiting > 0;
    }
    const double slots = availableSlots();
    if (isWaiting) {
        m_usedSlotSeconds += std::min(used, slots) * stepSeconds;
        m_availableSlotSeconds += slots * stepSeconds;
    }
    sampleSecond(used, slots);
    m_rig.simulation.queue.scheduleAfter(samplePeriod, [this] { sample(); });
}

void FairnessMeter::sampleFlows(double stepSeconds)
{
    const auto &shares = m_rig.services[Rig::engineService].workspaces;
    for (std::size_t i = 0; i < m_normalizedService.size(); ++i) {
        const auto &flow = m_rig.simulation.journal.flow(Rig::engineService, i);
        m_normalizedService[i] += flow.running * stepSeconds / shares[i].weight;
        m_isBacklogged[i] = flow.waiting > 0;
        m_starvationSeconds[i]
            = flow.waiting > 0 && flow.running == 0 ? m_starvationSeconds[i] + stepSeconds : 0;
        m_longestStarvationSeconds = std::max(m_longestStarvationSeconds, m_starvationSeconds[i]);
    }
    std::vector<double> inFlight(m_normalizedService.size(), 0);
    for (const auto &target : m_rig.targets) {
        if (target->service() == m_rig.services[Rig::engineService].service)
            target->addRunningCosts(inFlight);
    }
    for (std::size_t i = 0; i < inFlight.size(); ++i)
        m_largestInFlightCost = std::max(m_largestInFlightCost, inFlight[i] / shares[i].weight);
}

/// Updates the service gap of each pair of workspaces. The largest gap over all intervals in which
/// both stayed backlogged is the range (highest less lowest value) of the difference of their
/// services since both became backlogged.
void FairnessMeter::sampleGap()
{
    for (std::size_t i = 0; i < m_normalizedService.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            Range &range = m_gapRanges[i][j];
            if (!m_isBacklogged[i] || !m_isBacklogged[j]) {
                range.isActive = false;
                continue;
            }
            const double difference = m_normalizedService[i] - m_normalizedService[j];
            if (!range.isActive)
                range = {true, difference, difference};
            range.low = std::min(range.low, difference);
            range.high = std::max(range.high, difference);
            m_gap = std::max(m_gap, range.high - range.low);
        }
    }
}

double FairnessMeter::availableSlots() const
{
    double slots = 0;
    for (const auto &target : m_rig.targets) {
        const bool isEngine = target->service() == m_rig.services[Rig::engineService].service;
        if (isEngine && target->isUp() && !m_rig.isZoneEvacuated(target->spec().zone))
            slots += target->concurrencyLimit();
    }
    return slots;
}

void FairnessMeter::sampleSecond(double used, double slots)
{
    if (m_sampleCount++ % samplesPerSecond == 0) {
        const auto &journal = m_rig.simulation.journal;
        const SecondSample total {
            0, 0, journal.count(AttemptOutcome::Answered),
            journal.count(AttemptOutcome::NotRun) + journal.count(AttemptOutcome::MayHaveRun),
            journal.count(AttemptOutcome::Truncated) + journal.count(AttemptOutcome::NodeLost)
                + journal.count(AttemptOutcome::CallerClosed)};
        if (!m_seconds.empty()) {
            m_seconds.back().answered = total.answered - m_previousTotals.answered;
            m_seconds.back().refused = total.refused - m_previousTotals.refused;
            m_seconds.back().lost = total.lost - m_previousTotals.lost;
        }
        m_previousTotals = total;
        m_seconds.emplace_back();
    }
    m_seconds.back().usedSlots += used / samplesPerSecond;
    m_seconds.back().slots += slots / samplesPerSecond;
    double waiting = 0;
    for (std::size_t i = 0; i < m_normalizedService.size(); ++i)
        waiting += m_rig.simulation.journal.flow(Rig::engineService, i).waiting;
    m_seconds.back().waiting += waiting / samplesPerSecond;
}

} // namespace berylridge::rig
