// Computes an exponentially smoothed rate of events.
#pragma once

#include "berylridge/Support/Time.h"

namespace berylridge {

/// Units per second, smoothed exponentially.
class Rate
{
public:
    /// Long enough to include a few requests of a small workspace, and short compared to the
    /// several seconds over which shares are compared.
    static constexpr double defaultSmoothingSeconds = 1.5;

    explicit Rate(double smoothingSeconds = defaultSmoothingSeconds)
        : m_smoothingSeconds(smoothingSeconds)
    {
    }

    void add(double units, TimePoint now);
    double at(TimePoint now) const;

private:
    double m_smoothingSeconds;
    double m_rate = 0;
    TimePoint m_countedAt {};
};

} // namespace berylridge
