// Samples a simulation: the service gap between backlogged workspaces, starvation, and the share of
// the capacity that is used while requests wait.
#pragma once

#include "berylridge/Support/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace berylridge::rig {

class Rig;

/// Figures of one simulated second. Requests are counted, all else is averaged.
struct SecondSample
{
    double usedSlots = 0;
    double slots = 0; ///< Concurrency limits of the targets in service, in sum.
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost = 0;
    double waiting = 0;
};

class FairnessMeter
{
public:
    explicit FairnessMeter(Rig &rig);

    /// Starts to sample. Earlier requests don't count.
    void start();

    /// Returns the largest service gap between two workspaces that were both backlogged, in slot
    /// seconds over weight.
    double gap() const { return m_gap; }
    /// Returns the largest cost that one workspace had in flight, in slot seconds over weight. No
    /// scheduling policy can guarantee a smaller gap.
    double largestInFlightCost() const { return m_largestInFlightCost; }
    /// Returns the used share of the engine slots while engine requests waited.
    double utilisation() const
    {
        return m_availableSlotSeconds > 0 ? m_usedSlotSeconds / m_availableSlotSeconds : 1.0;
    }
    /// Returns the longest time that a backlogged workspace received no service at all.
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
    std::vector<double> m_normalizedService; ///< Received slot seconds over weight, per workspace.
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
