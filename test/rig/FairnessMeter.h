// Samples a test run: the service gap between backlogged workspaces, starvation, and how much of
// the capacity is used while work waits.
#pragma once

#include "berylridge/Support/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace berylridge::rig {

class Rig;

/// One second of a run.
struct SecondSample
{
    double usedSlots = 0;
    double slots = 0; ///< That targets in service could bear.
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost = 0;
    double waiting = 0;
};

class FairnessMeter
{
public:
    explicit FairnessMeter(Rig &rig);

    /// Begins to measure; what came before is left out.
    void start();

    /// Largest service gap between two workspaces that were both backlogged, in slot seconds over
    /// weight.
    double gap() const { return m_gap; }
    /// The largest cost that one workspace had in flight, over weight: what no rule could avoid.
    double largestInFlightCost() const { return m_largestInFlightCost; }
    /// Of the engine slots, while engine requests waited.
    double utilisation() const
    {
        return m_availableSlotSeconds > 0 ? m_usedSlotSeconds / m_availableSlotSeconds : 1.0;
    }
    /// The longest time that a backlogged workspace got nothing at all.
    double longestStarvationSeconds() const { return m_longestStarvationSeconds; }
    const std::vector<SecondSample> &seconds() const { return m_seconds; }

private:
    void sample();
    void sampleFlows(double stepSeconds);
    void sampleGap();
    void sampleSecond(double used, double slots);
    double availableSlots() const;

    Rig &m_rig;
    TimePoint m_since {};
    std::vector<double> m_normalizedService; ///< Slot seconds over weight, per workspace.
    std::vector<double> m_starvationSeconds;
    std::vector<bool> m_isBacklogged;
    struct Range
    {
        bool isActive = false;
        double low = 0;
        double high = 0;
    };
    std::vector<std::vector<Range>> m_gapRanges;
    double m_gap = 0;
    double m_largestInFlightCost = 0;
    double m_usedSlotSeconds = 0;
    double m_availableSlotSeconds = 0;
    double m_longestStarvationSeconds = 0;
    std::uint64_t m_sampleCount = 0;
    std::vector<SecondSample> m_seconds;
    SecondSample m_previousTotals;
};

} // namespace berylridge::rig
