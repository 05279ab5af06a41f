#include "Meter.h"

#include "Rig.h"

#include <algorithm>

namespace berylridge::rig {

namespace {

constexpr Duration samplePeriod = std::chrono::milliseconds(50);
constexpr std::uint64_t samplesPerSecond = 20;

} // namespace

Meter::Meter(Rig &rig)
    : m_rig(rig)
{
}

void Meter::start()
{
    const std::size_t count = m_rig.options.workspaces;
    m_service.assign(count, 0);
    m_starving.assign(count, 0);
    m_isBacklogged.assign(count, false);
    m_pairs.assign(count, std::vector<Range>(count));
    m_since = m_rig.world.queue.now();
    sample();
}

void Meter::sample()
{
    const double step = toSeconds(samplePeriod);
    sampleFlows(step);
    sampleGap();
    double used = 0;
    bool isWaiting = false;
    for (std::size_t i = 0; i < m_service.size(); ++i) {
        const auto &flow = m_rig.world.journal.flow(Rig::engineService, i);
        used += flow.running;
        isWaiting = isWaiting || flow.waiting > 0;
    }
    const double slots = slotsInService();
    if (isWaiting) {
        m_used += std::min(used, slots) * step;
        m_offered += slots * step;
    }
    sampleSecond(used, slots);
    m_rig.world.queue.after(samplePeriod, [this] { sample(); });
}

void Meter::sampleFlows(double step)
{
    const auto &shares = m_rig.services[Rig::engineService].workspaces;
    for (std::size_t i = 0; i < m_service.size(); ++i) {
        const auto &flow = m_rig.world.journal.flow(Rig::engineService, i);
        m_service[i] += flow.running * step / shares[i].weight;
        m_isBacklogged[i] = flow.waiting > 0;
        m_starving[i] = flow.waiting > 0 && flow.running == 0 ? m_starving[i] + step : 0;
        m_longestStarvation = std::max(m_longestStarvation, m_starving[i]);
    }
    std::vector<double> inFlight(m_service.size(), 0);
    for (const auto &target : m_rig.targets) {
        if (target->service() == m_rig.services[Rig::engineService].service)
            target->addCosts(inFlight);
    }
    for (std::size_t i = 0; i < inFlight.size(); ++i)
        m_largestInFlight = std::max(m_largestInFlight, inFlight[i] / shares[i].weight);
}

/// The gap of a pair over all intervals in which both stayed backlogged is the range of the
/// difference of their services since both became so.
void Meter::sampleGap()
{
    for (std::size_t i = 0; i < m_service.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            Range &range = m_pairs[i][j];
            if (!m_isBacklogged[i] || !m_isBacklogged[j]) {
                range.isOpen = false;
                continue;
            }
            const double difference = m_service[i] - m_service[j];
            if (!range.isOpen)
                range = {true, difference, difference};
            range.low = std::min(range.low, difference);
            range.high = std::max(range.high, difference);
            m_gap = std::max(m_gap, range.high - range.low);
        }
    }
}

double Meter::slotsInService() const
{
    double slots = 0;
    for (const auto &target : m_rig.targets) {
        const bool isEngine = target->service() == m_rig.services[Rig::engineService].service;
        if (isEngine && target->isUp() && !m_rig.isOut(target->spec().zone))
            slots += target->bearable();
    }
    return slots;
}

void Meter::sampleSecond(double used, double slots)
{
    if (m_samples++ % samplesPerSecond == 0) {
        const auto &journal = m_rig.world.journal;
        const SecondSample total {0, 0, journal.count(Ending::Answered),
                                  journal.count(Ending::NotRun) + journal.count(Ending::MayHaveRun),
                                  journal.count(Ending::Cut) + journal.count(Ending::Lost)
                                      + journal.count(Ending::GivenUp)};
        if (!m_seconds.empty()) {
            m_seconds.back().answered = total.answered - m_before.answered;
            m_seconds.back().refused = total.refused - m_before.refused;
            m_seconds.back().lost = total.lost - m_before.lost;
        }
        m_before = total;
        m_seconds.emplace_back();
    }
    m_seconds.back().usedSlots += used / samplesPerSecond;
    m_seconds.back().slots += slots / samplesPerSecond;
    double waiting = 0;
    for (std::size_t i = 0; i < m_service.size(); ++i)
        waiting += m_rig.world.journal.flow(Rig::engineService, i).waiting;
    m_seconds.back().waiting += waiting / samplesPerSecond;
}

} // namespace berylridge::rig
